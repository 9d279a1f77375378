"""Randomised run of real entries against stand-ins, with faults from outside."""
