"""Tests of pimentomill.dispatch."""
