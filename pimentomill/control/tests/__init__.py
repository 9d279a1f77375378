"""Tests of pimentomill.control."""
