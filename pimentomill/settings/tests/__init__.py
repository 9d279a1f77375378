"""Tests of pimentomill.settings."""
