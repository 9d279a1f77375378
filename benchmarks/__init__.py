"""Measurements, one JSON line each."""
