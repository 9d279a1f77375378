"""Tests of pimentomill.ownership."""
