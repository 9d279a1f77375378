"""Tests of the proofs."""
