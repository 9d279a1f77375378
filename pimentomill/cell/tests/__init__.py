"""Tests of pimentomill.cell."""
