"""Command-line interface."""

from ._commands import Pimentomill, main

__all__ = ["Pimentomill", "main"]
