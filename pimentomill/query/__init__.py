"""Query and command language for operators."""

from ._parse import parse_statement
from ._statements import (
    CancelJob,
    CloseQueue,
    Condition,
    CreateTeam,
    Field,
    GiveKey,
    OpenQueue,
    Operator,
    RemoveTeam,
    SetEvacuation,
    SetTeam,
    SetWorkerDrain,
    ShowJob,
    ShowJobs,
    ShowList,
    Statement,
    Subject,
    Why,
    WithdrawKey,
)
from ._table import format_table

__all__ = [
    "CancelJob",
    "CloseQueue",
    "Condition",
    "CreateTeam",
    "Field",
    "GiveKey",
    "OpenQueue",
    "Operator",
    "RemoveTeam",
    "SetEvacuation",
    "SetTeam",
    "SetWorkerDrain",
    "ShowJob",
    "ShowJobs",
    "ShowList",
    "Statement",
    "Subject",
    "Why",
    "WithdrawKey",
    "format_table",
    "parse_statement",
]
