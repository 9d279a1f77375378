"""Actor that owns the core of an entry."""

from collections.abc import Callable
from typing import Any

import msgspec
import pykka

from ..exceptions import InvariantError
from ..telemetry import ComponentLogger
from ._core import EntryCore

__all__ = ["CoreActor", "CoreHandle"]


class Ask(msgspec.Struct):
    """A call to make on the core, whose result is wanted."""

    call: Callable[[EntryCore], Any]


class Tell(msgspec.Struct):
    """A call to make on the core, whose result is not wanted."""

    call: Callable[[EntryCore], Any]


class CoreActor(pykka.ThreadingActor):
    """Make calls on the core one at a time.

    Parameters
    ----------
    core : EntryCore
        The core; nothing else may change it.
    log : ComponentLogger
        Where failures of told calls go.
    on_fatal : callable
        Called with the exception of a told call, and with any broken
        invariant.
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
        """Make the call that a message holds."""
        try:
            return message.call(self.core)
        except Exception as exc:
            if isinstance(message, Ask) and not isinstance(exc, InvariantError):
                raise
            self.log.warning("A step of the core failed.", error=repr(exc))
            self.on_fatal(exc)
            if isinstance(message, Ask):
                raise
        return None


class CoreHandle:
    """Reach the core from other threads.

    Parameters
    ----------
    ref : pykka.ActorRef
        The actor.
    timeout_ms : int
        How long to wait for a result.
    """

    def __init__(self, ref: pykka.ActorRef, timeout_ms: int) -> None:
        self.ref = ref
        self.timeout_ms = timeout_ms

    def ask(self, call: Callable[[EntryCore], Any]) -> Any:
        """Make a call on the core and return its result."""
        return self.ref.ask(Ask(call), timeout=self.timeout_ms / 1000)

    def tell(self, call: Callable[[EntryCore], Any]) -> None:
        """Make a call on the core some time soon."""
        self.ref.tell(Tell(call))

    def stop(self) -> None:
        """Stop the actor after the calls made so far."""
        self.ref.stop()
