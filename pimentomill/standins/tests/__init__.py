"""Tests of pimentomill.standins."""
