"""Tests of pimentomill.links."""
