"""Data centres that operators have evacuated."""

from typing import NamedTuple

from ..utils import Instant

__all__ = ["Evacuation", "EvacuationChange", "EvacuationRequest", "Evacuations"]


class EvacuationRequest(NamedTuple):
    """Record of an operator about the evacuation of a data centre.

    Parameters
    ----------
    data_centre : str
        Name of the data centre.
    is_active : bool
        Whether nothing may be started there; False ends the evacuation.
    """

    data_centre: str
    is_active: bool


class Evacuation(NamedTuple):
    """Evacuation in effect.

    Parameters
    ----------
    data_centre : str
        Name of the data centre.
    version : int
        Offset of the record; for a record from a reload, which has no offset, the
        offset up to which the reload has read.
    since : Instant
        Time at which this entry applied the record.
    """

    data_centre: str
    version: int
    since: Instant


class EvacuationChange(NamedTuple):
    """Begin or end of an evacuation.

    Parameters
    ----------
    evacuation : Evacuation
        Evacuation as it was begun.
    has_begun : bool
        False if the evacuation has ended.
    version : int
        Offset at which the change was read.
    """

    evacuation: Evacuation
    has_begun: bool
    version: int


class Evacuations:
    """Evacuations in effect, by replay of the operators' records.

    During a reload the evacuations known before stay in effect until the reload has
    ended, since a page that has not been read yet may confirm them.

    Examples
    --------
    >>> evacuations = Evacuations()
    >>> change = evacuations.apply(EvacuationRequest("dc-1", True), 7, Instant(0))
    >>> change.has_begun, sorted(evacuations.data_centres)
    (True, ['dc-1'])
    >>> evacuations.apply(EvacuationRequest("dc-1", True), 8, Instant(5)) is None
    True
    """

    def __init__(self) -> None:
        self._active: dict[str, Evacuation] = {}
        self._confirmed: set[str] | None = None

    @property
    def data_centres(self) -> frozenset[str]:
        """Names of the evacuated data centres."""
        return frozenset(self._active)

    def active(self) -> list[Evacuation]:
        """Return the evacuations in effect, by data centre."""
        return [self._active[name] for name in sorted(self._active)]

    def apply(
        self, request: EvacuationRequest, version: int, now: Instant
    ) -> EvacuationChange | None:
        """Apply a record.

        Parameters
        ----------
        request : EvacuationRequest
            Decoded record.
        version : int
            Offset at which it was read.
        now : Instant
            Current time.

        Returns
        -------
        EvacuationChange or None
            None if the record changes nothing.
        """
        name = request.data_centre
        if not request.is_active:
            return self._end(name, version)
        if self._confirmed is not None:
            self._confirmed.add(name)
        if name in self._active:
            return None
        self._active[name] = Evacuation(name, version, now)
        return EvacuationChange(self._active[name], True, version)

    def _end(self, name: str, version: int) -> EvacuationChange | None:
        evacuation = self._active.pop(name, None)
        if evacuation is None:
            return None
        return EvacuationChange(evacuation, False, version)

    def begin_reload(self) -> None:
        """Prepare for a reload of the newest records."""
        self._confirmed = set()

    def end_reload(self, version: int) -> list[EvacuationChange]:
        """End the evacuations that the reload did not contain and return them.

        Returns nothing if no reload is in progress.

        Parameters
        ----------
        version : int
            Offset up to which the reload has read.
        """
        if self._confirmed is None:
            return []
        missing = sorted(self._active.keys() - self._confirmed)
        self._confirmed = None
        return [change for name in missing if (change := self._end(name, version))]
