"""Tests of pimentomill.cli."""
