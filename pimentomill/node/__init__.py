"""One entry of the cell."""

from ._node import CellNode, NodeSettings
from ._records import MemberRecord

__all__ = ["CellNode", "MemberRecord", "NodeSettings"]
