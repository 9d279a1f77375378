"""An entry of the cell: replication, leader election and request forwarding."""

from ._members import Members
from ._node import CellNode, NodeSettings
from ._records import MemberRecord

__all__ = ["CellNode", "MemberRecord", "Members", "NodeSettings"]
