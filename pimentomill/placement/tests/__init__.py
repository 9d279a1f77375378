"""Tests of pimentomill.placement."""
