"""Tests of pimentomill.catalog."""
