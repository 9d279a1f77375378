"""Tests of pimentomill.snapshots."""
