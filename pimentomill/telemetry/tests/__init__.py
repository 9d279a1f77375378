"""Tests of pimentomill.telemetry."""
