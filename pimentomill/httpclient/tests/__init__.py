"""Tests of pimentomill.httpclient."""
