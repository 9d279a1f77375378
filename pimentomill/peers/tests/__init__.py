"""Tests of pimentomill.peers."""
