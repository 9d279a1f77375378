"""Pool of request slots on the backend servers of one group."""

import random
import threading

import msgspec

from ..journal import Instance, InstanceKind, InstanceState
from ..utils import InstanceId, ServiceName

__all__ = ["BackendPool", "BackendSlot"]


class _Backend(msgspec.Struct):
    instance: Instance
    busy: int = 0

    @property
    def free(self) -> int:
        return max(self.instance.slots - self.busy, 0)


class BackendSlot(msgspec.Struct, frozen=True):
    """An acquired slot of a backend server.

    Parameters
    ----------
    backend : InstanceId
        Id of the backend server.
    address : str
        ``host:port`` of the backend server.
    """

    backend: InstanceId
    address: str


class BackendPool:
    """Allocate request slots, never more than a backend server has.

    Parameters
    ----------
    racks : list of str
        Racks of the group.
    rng : random.Random
        Random generator for the choice between two backend servers.

    Notes
    -----
    Only the holder of the group allocates slots of its backend servers, so that
    their limit holds across all entries.
    """

    def __init__(self, racks: list[str], rng: random.Random) -> None:
        self.racks = racks
        self.rng = rng
        self._backends: dict[InstanceId, _Backend] = {}
        self._slot_freed = threading.Condition()

    def update(self, instances: list[Instance]) -> None:
        """Apply the platform's list; a leaving backend gets no new requests."""
        listed = {
            instance.id: instance
            for instance in instances
            if instance.kind is InstanceKind.BACKEND and instance.rack in self.racks
        }
        with self._slot_freed:
            for id, instance in listed.items():
                known = self._backends.get(id)
                busy = known.busy if known else 0
                self._backends[id] = _Backend(instance, busy)
            for id in self._backends.keys() - listed.keys():
                if not self._backends[id].busy:
                    del self._backends[id]
                else:
                    last = self._backends[id].instance
                    leaving = msgspec.structs.replace(last, state=InstanceState.LEAVING)
                    self._backends[id].instance = leaving
            self._slot_freed.notify_all()

    def free_slots(self) -> dict[ServiceName, int]:
        """Return the number of free slots of each service."""
        free: dict[ServiceName, int] = {}
        with self._slot_freed:
            for backend in self._backends.values():
                if backend.instance.state is InstanceState.LIVE:
                    service = ServiceName(backend.instance.service)
                    free[service] = free.get(service, 0) + backend.free
        return free

    def acquire(
        self, service: ServiceName, wait_ms: int, avoid: set[InstanceId]
    ) -> BackendSlot | None:
        """Acquire a slot of a backend server of a service.

        Parameters
        ----------
        service : ServiceName
            Service that the request is for.
        wait_ms : int
            Maximum time to wait for a slot.
        avoid : set of InstanceId
            Backend servers that failed this request before; used only if no
            other has a free slot.

        Returns
        -------
        BackendSlot or None
            None if no slot became free in time.
        """
        with self._slot_freed:
            backend = self._select(service, avoid)
            if backend is None and wait_ms > 0:
                self._slot_freed.wait_for(
                    lambda: self._select(service, avoid) is not None, wait_ms / 1000
                )
                backend = self._select(service, avoid)
            if backend is None:
                return None
            backend.busy += 1
            return BackendSlot(backend.instance.id, backend.instance.address)

    def _select(self, service: ServiceName, avoid: set[InstanceId]) -> _Backend | None:
        """Return the one of two random candidates that has more free slots."""
        candidates = [
            backend
            for backend in self._backends.values()
            if backend.instance.service == service
            and backend.instance.state is InstanceState.LIVE
            and backend.free
        ]
        preferred = [b for b in candidates if b.instance.id not in avoid]
        candidates = preferred or candidates
        if not candidates:
            return None
        first = self.rng.choice(candidates)
        second = self.rng.choice(candidates)
        return first if first.free >= second.free else second

    def release(self, slot: BackendSlot) -> None:
        """Release an acquired slot."""
        with self._slot_freed:
            backend = self._backends.get(slot.backend)
            if backend is not None:
                backend.busy -= 1
            self._slot_freed.notify()
