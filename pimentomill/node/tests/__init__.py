"""Tests of pimentomill.node."""
