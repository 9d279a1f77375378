"""Scripts that run the tests, the demo and local cells."""
