"""Exception tree of the project.

Every error that the library raises on purpose derives from
`PimentomillError`, so that a caller can catch the family with one clause.
"""

__all__ = [
    "AdmissionError",
    "AppendUnknownError",
    "BodyTooLargeError",
    "CapacityError",
    "ConflictError",
    "FencedError",
    "InvariantError",
    "LogUnavailableError",
    "NotFoundError",
    "NotHolderError",
    "OutOfSequenceError",
    "PimentomillError",
    "QuerySyntaxError",
    "RecordsForgottenError",
    "SettingsError",
    "StateUnavailableError",
    "TransportError",
    "UnauthorizedError",
    "UnknownKeyError",
    "ValidationError",
]


class PimentomillError(Exception):
    """Base of all errors raised by the project."""


class SettingsError(PimentomillError):
    """A settings file can't be used."""


class ValidationError(PimentomillError, ValueError):
    """A value given by a caller breaks a stated rule."""


class BodyTooLargeError(ValidationError):
    """A request's body is longer than what is taken."""


class QuerySyntaxError(ValidationError):
    """A command of the operators' language can't be parsed.

    Parameters
    ----------
    message : str
        What was expected, and the token that was found.
    column : int
        Position of the token in the command, counted from 1.
    """

    def __init__(self, message: str, column: int) -> None:
        super().__init__(message)
        self.column = column


class UnauthorizedError(PimentomillError):
    """The key is unknown, withdrawn, or lacks the right asked for."""


class UnknownKeyError(UnauthorizedError):
    """The key is well formed, but unknown or withdrawn."""


class NotFoundError(PimentomillError, LookupError):
    """The named object does not exist."""


class ConflictError(PimentomillError):
    """The object has changed since the version that the caller saw."""


class AdmissionError(PimentomillError):
    """Work is refused for now.

    Parameters
    ----------
    message : str
        Why it is refused.
    retry_after_ms : int
        When the caller may come back, in milliseconds from the answer.
    """

    def __init__(self, message: str, retry_after_ms: int) -> None:
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class CapacityError(PimentomillError):
    """No worker of the cell could ever run the work."""


class NotHolderError(PimentomillError):
    """The entry does not hold the group that was asked for."""


class TransportError(PimentomillError):
    """A message could not be delivered or its answer was lost.

    Parameters
    ----------
    message : str
        What went wrong.
    sent : bool
        Whether the message may have reached the other side.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class LogUnavailableError(PimentomillError):
    """The platform's log refused or could not be reached; nothing was kept."""


class AppendUnknownError(PimentomillError):
    """An append may or may not have taken effect."""


class FencedError(PimentomillError):
    """A holder of a higher fencing token has taken over."""


class OutOfSequenceError(PimentomillError):
    """An append does not follow the last one of its writer.

    Parameters
    ----------
    message : str
        What was refused.
    expected : int
        Sequence number that the log expects.
    """

    def __init__(self, message: str, expected: int) -> None:
        super().__init__(message)
        self.expected = expected


class RecordsForgottenError(PimentomillError):
    """The log no longer keeps the records that were asked for."""


class StateUnavailableError(PimentomillError):
    """The newest state can't be read now."""


class InvariantError(PimentomillError, AssertionError):
    """A rule that must always hold was found broken."""
