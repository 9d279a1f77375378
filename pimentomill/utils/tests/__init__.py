"""Tests of pimentomill.utils."""
