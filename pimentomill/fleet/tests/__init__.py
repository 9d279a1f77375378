"""Tests of pimentomill.fleet."""
