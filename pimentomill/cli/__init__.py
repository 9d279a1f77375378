"""Command line of the project."""

from ._commands import Pimentomill, main

__all__ = ["Pimentomill", "main"]
