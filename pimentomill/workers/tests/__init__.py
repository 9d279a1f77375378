"""Tests of pimentomill.workers."""
