"""Tests of pimentomill.replica."""
