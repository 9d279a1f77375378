"""Tests of pimentomill.work."""
