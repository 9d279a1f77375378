"""Randomised runs of all parts through fakes, with invariants checked."""
