"""Randomised simulations of the system that check its invariants."""
