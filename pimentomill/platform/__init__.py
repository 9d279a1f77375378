"""Adapter to the users' platform; its wire names are confined to this package."""

from ._daemon import main, serve
from ._jobs import decode_job
from ._rules import decode_rule
from ._settings import NodeFile, load_node_file
from ._store import read_newest
from ._workers import decode_worker

__all__ = [
    "NodeFile",
    "decode_job",
    "decode_rule",
    "decode_worker",
    "load_node_file",
    "main",
    "read_newest",
    "serve",
]
