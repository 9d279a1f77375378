"""Exception hierarchy of the project.

Every error that the library raises deliberately derives from `PimentomillError`,
so that callers can catch all of them with a single ``except`` clause.
"""

__all__ = [
    "AdmissionError",
    "AppendUnknownError",
    "BodyLostError",
    "BodyTimeoutError",
    "BodyTooLargeError",
    "CapacityError",
    "ConflictError",
    "FencedError",
    "HeaderTooLargeError",
    "InvariantError",
    "LogUnavailableError",
    "NotFoundError",
    "NotHolderError",
    "OutOfSequenceError",
    "PimentomillError",
    "ProcessEndedError",
    "QuerySyntaxError",
    "RecordsForgottenError",
    "SettingsError",
    "StateUnavailableError",
    "SubmissionRefusedError",
    "TransportError",
    "UnauthorizedError",
    "UnknownKeyError",
    "ValidationError",
]


class PimentomillError(Exception):
    """Base class of all errors raised by the project."""


class SettingsError(PimentomillError):
    """A settings file can't be read or is invalid."""


class ValidationError(PimentomillError, ValueError):
    """A value passed by a caller violates a documented constraint."""


class BodyTooLargeError(ValidationError):
    """A request body exceeds the size limit."""


class HeaderTooLargeError(ValidationError):
    """The header of a request exceeds the size limit."""


class BodyTimeoutError(PimentomillError):
    """A request body is not complete in time."""


class BodyLostError(PimentomillError):
    """A request body is malformed, or its caller left before it was complete."""


class QuerySyntaxError(ValidationError):
    """A statement of the operators' language can't be parsed.

    Parameters
    ----------
    message : str
        Expected tokens and the token that was found.
    column : int
        Position of the token in the statement, counted from 1.
    """

    def __init__(self, message: str, column: int) -> None:
        super().__init__(message)
        self.column = column


class UnauthorizedError(PimentomillError):
    """The key is unknown, revoked, or lacks the required permission."""


class UnknownKeyError(UnauthorizedError):
    """The key is well formed but unknown or revoked."""


class NotFoundError(PimentomillError, LookupError):
    """The named object does not exist."""


class ConflictError(PimentomillError):
    """The object has changed since the version that the caller read."""


class AdmissionError(PimentomillError):
    """Work is rejected temporarily.

    Parameters
    ----------
    message : str
        Reason for the rejection.
    retry_after_ms : int
        Milliseconds after the answer at which the caller may retry.
    """

    def __init__(self, message: str, retry_after_ms: int) -> None:
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class CapacityError(PimentomillError):
    """No worker of the cell is ever able to run the work."""


class NotHolderError(PimentomillError):
    """The entry does not hold the requested group."""


class TransportError(PimentomillError):
    """A message could not be delivered, or its answer was lost.

    Parameters
    ----------
    message : str
        Description of the failure.
    sent : bool
        Whether the message may have reached the recipient.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class ProcessEndedError(TransportError):
    """The connection was refused or closed: the recipient's process has ended.

    Unlike a recipient that is silent, it fails a call at once and usually restarts.
    """


class LogUnavailableError(PimentomillError):
    """The platform's log is unreachable or rejected the call; nothing is stored."""


class SubmissionRefusedError(PimentomillError):
    """A submission is refused under overload; it is not stored and never runs.

    Parameters
    ----------
    reason : str
        Reason, for the answer and the log.
    retry_after_s : int
        Seconds after which a retry may be accepted.
    """

    def __init__(self, reason: str, retry_after_s: int) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class AppendUnknownError(PimentomillError):
    """An append may or may not have taken effect."""


class FencedError(PimentomillError):
    """A process with a higher fencing token has taken over."""


class OutOfSequenceError(PimentomillError):
    """An append does not continue the sequence of its writer.

    Parameters
    ----------
    message : str
        Description of the rejected append.
    expected : int
        Sequence number that the log expects next.
    """

    def __init__(self, message: str, expected: int) -> None:
        super().__init__(message)
        self.expected = expected


class RecordsForgottenError(PimentomillError):
    """The requested records are no longer retained by the log."""


class StateUnavailableError(PimentomillError):
    """The latest state is temporarily unreadable."""


class InvariantError(PimentomillError, AssertionError):
    """An invariant is violated."""
