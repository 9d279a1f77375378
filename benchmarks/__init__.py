"""Benchmarks, which print one JSON line per figure."""
