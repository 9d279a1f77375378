"""Tests of pimentomill.admission."""
