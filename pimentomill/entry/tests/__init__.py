"""Tests of pimentomill.entry."""
