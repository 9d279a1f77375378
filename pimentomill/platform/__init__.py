"""Adapter to the users' platform: its wire names stand only here."""

from ._daemon import main, serve
from ._settings import NodeFile, load_node_file

__all__ = ["NodeFile", "load_node_file", "main", "serve"]
