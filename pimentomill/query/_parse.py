"""Parser of the operators' language."""

from decimal import Decimal
from functools import cache
from pathlib import Path

from lark import Lark, Token, Transformer
from lark.exceptions import (
    UnexpectedCharacters,
    UnexpectedEOF,
    UnexpectedToken,
    VisitError,
)

from ..exceptions import QuerySyntaxError
from ..utils import InstanceId, JobId, KeyId, Offset, Resources, TeamName
from . import _statements as st

__all__ = ["parse_statement"]

MAX_TEXT_CHARS = 4_000
MB_PER_UNIT = {"MB": 1, "GB": 1_000, "TB": 1_000_000}
MILLI_PER_UNIT = 1_000
MAX_NUMBER = 2**53
TERMINAL_DESCRIPTIONS = {
    "NAME": "a name",
    "INT": "a whole number",
    "STRING": "a string in double quotes",
    "SIZE": "a size such as 64GB",
    "DECIMAL": "a number",
    "OPERATOR": "'=' or '!='",
    "FIELD": "a field (team, state, kind, worker, urgent, group)",
    "SUBJECT": "teams, workers, groups, entries, keys, queues or version",
    "$END": "the end of the statement",
}


@cache
def _load_parser() -> Lark:
    grammar = Path(__file__).with_name("grammar.lark").read_text()
    return Lark(grammar, parser="lalr", maybe_placeholders=True)


def parse_statement(text: str) -> st.Statement:
    """Parse a single statement.

    Parameters
    ----------
    text : str
        Text of the statement.

    Returns
    -------
    Statement
        Parsed statement.

    Raises
    ------
    QuerySyntaxError
        If the text is not a valid statement; the error states the unexpected
        token, its column and the expected tokens.

    Examples
    --------
    >>> parse_statement("withdraw key k-1")
    WithdrawKey(key='k-1')
    """
    if len(text) > MAX_TEXT_CHARS:
        raise QuerySyntaxError(
            f"a statement has at most {MAX_TEXT_CHARS} characters, got {len(text)}",
            MAX_TEXT_CHARS + 1,
        )
    try:
        tree = _load_parser().parse(text)
    except UnexpectedToken as exc:
        raise _token_error(exc, text) from exc
    except UnexpectedCharacters as exc:
        message = f"unexpected {text[exc.pos_in_stream]!r}"
        raise QuerySyntaxError(message, exc.column) from exc
    except UnexpectedEOF as exc:
        raise QuerySyntaxError("the statement is incomplete", len(text) + 1) from exc
    try:
        return _StatementBuilder().transform(tree)
    except VisitError as exc:
        raise exc.orig_exc from exc


def _token_error(exc: UnexpectedToken, text: str) -> QuerySyntaxError:
    expected = ", ".join(sorted(_describe_terminal(name) for name in exc.expected))
    if exc.token.type == "$END":
        return QuerySyntaxError(
            f"the statement ends too early, expected {expected}", len(text) + 1
        )
    return QuerySyntaxError(
        f"unexpected {str(exc.token)!r}, expected {expected}", exc.column
    )


def _describe_terminal(terminal: str) -> str:
    return TERMINAL_DESCRIPTIONS.get(terminal, f"'{terminal.lower()}'")


def _parse_int(token: Token) -> int:
    return _check_bound(int(token), token)


def _check_bound(value: int, token: Token) -> int:
    if value > MAX_NUMBER:
        raise QuerySyntaxError(f"the number {token} is too large", token.column)
    return value


class _StatementBuilder(Transformer):
    """Transform the parse tree into statements.

    Methods are named after the rules of the grammar.
    """

    def show_jobs(self, children):
        return st.ShowJobs([c for c in children if c is not None])

    def show_job(self, children):
        return st.ShowJob(JobId(str(children[0])))

    def show_list(self, children):
        return st.ShowList(st.Subject(str(children[0])))

    def why(self, children):
        return st.Why(JobId(str(children[0])))

    def create_team(self, children):
        name, share, limit = children
        return st.CreateTeam(TeamName(str(name)), _parse_int(share), limit)

    def set_team(self, children):
        name, share, limit, expected = children
        return st.SetTeam(
            TeamName(str(name)),
            None if share is None else _parse_int(share),
            limit,
            Offset(_parse_int(expected)),
        )

    def remove_team(self, children):
        return st.RemoveTeam(
            TeamName(str(children[0])), Offset(_parse_int(children[1]))
        )

    def give_key(self, children):
        label = "" if children[1] is None else str(children[1])[1:-1]
        return st.GiveKey(TeamName(str(children[0])), label)

    def withdraw_key(self, children):
        return st.WithdrawKey(KeyId(str(children[0])))

    def open_queue(self, children):
        return st.OpenQueue(str(children[0]), TeamName(str(children[1])))

    def close_queue(self, children):
        return st.CloseQueue(str(children[0]), Offset(_parse_int(children[1])))

    def drain(self, children):
        return self._mark_worker(children, drained=True)

    def undrain(self, children):
        return self._mark_worker(children, drained=False)

    @staticmethod
    def _mark_worker(children, drained):
        expected = None if children[1] is None else Offset(_parse_int(children[1]))
        return st.SetWorkerDrain(InstanceId(str(children[0])), drained, expected)

    def evacuate(self, children):
        return self._mark_data_centre(children, evacuated=True)

    def return_(self, children):
        return self._mark_data_centre(children, evacuated=False)

    @staticmethod
    def _mark_data_centre(children, evacuated):
        expected = None if children[1] is None else Offset(_parse_int(children[1]))
        return st.SetEvacuation(str(children[0]), evacuated, expected)

    def cancel(self, children):
        return st.CancelJob(JobId(str(children[0])))

    def condition(self, children):
        field, operator, value = children
        return st.Condition(st.Field(str(field)), st.Operator(str(operator)), value)

    def value(self, children):
        return str(children[0]).strip('"')

    def amount(self, children):
        cpu, memory, accelerators = children
        count = 0 if accelerators is None else _parse_int(accelerators)
        return Resources(cpu, memory, count)

    def number(self, children):
        return _check_bound(round(Decimal(children[0]) * MILLI_PER_UNIT), children[0])

    def size(self, children):
        token = children[0]
        if token.type == "INT":
            return _parse_int(token)
        return _check_bound(int(token[:-2]) * MB_PER_UNIT[token[-2:]], token)
