"""Tests of pimentomill.jobs."""
