"""Randomized fault-injection soak: real entry processes against stand-ins."""
