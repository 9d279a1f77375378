"""Actor that serializes access to the core of an entry."""

from collections.abc import Callable
from typing import Any

import msgspec
import pykka

from ..exceptions import InvariantError
from ..telemetry import ComponentLogger
from ._core import EntryCore

__all__ = ["CoreActor", "CoreHandle"]


class Ask(msgspec.Struct):
    """A call on the core whose result the sender waits for."""

    call: Callable[[EntryCore], Any]


class Tell(msgspec.Struct):
    """A call on the core whose result is discarded."""

    call: Callable[[EntryCore], Any]


class CoreActor(pykka.ThreadingActor):
    """Run calls on the core one at a time.

    Parameters
    ----------
    core : EntryCore
        The core; only this actor may change it.
    log : ComponentLogger
        Logger for fatal errors.
    on_fatal : callable
        Called with any exception of a `Tell`, and with an `InvariantError`
        of an `Ask`.
    """

    use_daemon_thread = True

    def __init__(
        self,
        core: EntryCore,
        log: ComponentLogger,
        on_fatal: Callable[[Exception], None],
    ) -> None:
        super().__init__()
        self.core = core
        self.log = log
        self.on_fatal = on_fatal

    def on_receive(self, message: Ask | Tell) -> Any:
        """Run the call that a message carries."""
        try:
            return message.call(self.core)
        except Exception as exc:
            if isinstance(message, Ask) and not isinstance(exc, InvariantError):
                raise
            self.log.warning("Call on the core failed.", error=repr(exc))
            self.on_fatal(exc)
            if isinstance(message, Ask):
                raise
        return None


class CoreHandle:
    """Call the core from other threads.

    Parameters
    ----------
    ref : pykka.ActorRef
        Reference to the `CoreActor`.
    timeout_ms : int
        Maximum time to wait for a result.
    """

    def __init__(self, ref: pykka.ActorRef, timeout_ms: int) -> None:
        self.ref = ref
        self.timeout_ms = timeout_ms

    def ask(self, call: Callable[[EntryCore], Any]) -> Any:
        """Run a call on the core and return its result."""
        return self.ref.ask(Ask(call), timeout=self.timeout_ms / 1000)

    def tell(self, call: Callable[[EntryCore], Any]) -> None:
        """Queue a call on the core and return at once."""
        self.ref.tell(Tell(call))

    def stop(self) -> None:
        """Stop the actor after the calls that are already queued."""
        self.ref.stop()
