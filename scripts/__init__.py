"""Scripts that run the tests and the demonstration."""
