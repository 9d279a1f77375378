"""Tests of pimentomill.query."""
