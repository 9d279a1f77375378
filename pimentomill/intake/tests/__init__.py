"""Tests of pimentomill.intake."""
