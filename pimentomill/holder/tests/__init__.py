"""Tests of pimentomill.holder."""
