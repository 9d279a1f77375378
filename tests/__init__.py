"""Integration tests with real processes, and compatibility tests."""
