"""Tests of pimentomill.platform."""
