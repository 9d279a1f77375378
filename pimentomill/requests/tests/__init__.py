"""Tests of pimentomill.requests."""
