"""Tests of pimentomill.http."""
