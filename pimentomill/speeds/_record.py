"""Stored form of the learned speeds, for a successor of the leader."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple, Protocol

import msgspec

__all__ = ["MAX_RECORD_BYTES", "decode_speeds", "encode_speeds"]

UNITS_PER_LOG = 100
"""Stored units of a logarithm: 1 %, far below the differences between tasks."""
MAX_LOG_UNITS = 300
"""Bound of a stored logarithm, a factor of 20, against records that are wrong."""
WORKERS_BYTES = 5120
"""Bytes for workers; holds over 220 with names of 12 bytes."""
IMAGES_BYTES = 1024
KINDS_BYTES = 512
HEADER_BYTES = 64
MAX_RECORD_BYTES = WORKERS_BYTES + IMAGES_BYTES + KINDS_BYTES + HEADER_BYTES
"""Upper bound of the record, which is written every few seconds and read by all."""
NUMBERS_BYTES = 11
"""Most bytes of an entry beside its name: three numbers and two headers."""

Numbers = tuple[float, float]


class Learned(Protocol):
    """Learned logarithm with the variance of its error."""

    mean: float
    variance: float


class LearnedSpeeds(NamedTuple):
    """Decoded record; each estimate is a mean and a variance.

    Parameters
    ----------
    task_variance : float
        Variance between the tasks of a step.
    all_images : tuple of float
        Actual to declared duration of all images.
    kinds, images : list of tuple of str and tuple of float
        Estimates by name.
    workers : list of tuple of str, str and tuple of float
        Name, kind and deviation from the kind.
    """

    task_variance: float
    all_images: Numbers
    kinds: list[tuple[str, Numbers]]
    images: list[tuple[str, Numbers]]
    workers: list[tuple[str, str, Numbers]]


class _Record(msgspec.Struct, array_like=True, frozen=True):
    """Stored record: names, means and standard deviations in units of the logarithm.

    A worker refers to its kind by index, -1 for none.
    """

    task_sd: int
    all_images: tuple[int, int]
    kinds: list[tuple[str, int, int]]
    images: list[tuple[str, int, int]]
    workers: list[tuple[str, int, int, int]]


def encode_speeds(
    task_variance: float,
    all_images: Learned,
    kinds: Mapping[str, Learned],
    images: Mapping[str, Learned],
    workers: Mapping[str, tuple[str, Learned]],
) -> bytes:
    """Return the record, at most `MAX_RECORD_BYTES` long.

    Workers that differ most from their kind and the latest images come first; what
    does not fit is left out.

    Parameters
    ----------
    task_variance : float
        Variance between the tasks of a step.
    all_images : Learned
        Actual to declared duration of all images.
    kinds, images : mapping of str to Learned
        Estimates by name.
    workers : mapping of str to tuple of str and Learned
        Kind and deviation from it, by worker.
    """
    stored_kinds = _limited(
        ((name, *_to_units(kind.mean, kind.variance)) for name, kind in kinds.items()),
        KINDS_BYTES,
    )
    stored_images = _limited(
        (
            (name, *_to_units(image.mean, image.variance))
            for name, image in reversed(images.items())
        ),
        IMAGES_BYTES,
    )
    index = {name: number for number, (name, _, _) in enumerate(stored_kinds)}
    index[""] = -1
    ordered = sorted(workers.items(), key=lambda item: -abs(item[1][1].mean))
    stored_workers = _limited(
        (
            (name, index[kind], *_to_units(deviation.mean, deviation.variance))
            for name, (kind, deviation) in ordered
            if kind in index
        ),
        WORKERS_BYTES,
    )
    return msgspec.msgpack.encode(
        _Record(
            _to_units(0.0, task_variance)[1],
            _to_units(all_images.mean, all_images.variance),
            stored_kinds,
            stored_images,
            stored_workers,
        )
    )


def decode_speeds(value: bytes) -> LearnedSpeeds:
    """Decode a record.

    Raises
    ------
    msgspec.DecodeError
        If the record can't be read.
    """
    try:
        record = msgspec.msgpack.decode(value, type=_Record)
    except RecursionError as exc:
        raise msgspec.DecodeError(f"nested too deeply: {exc}") from exc
    names = [name for name, _, _ in record.kinds]
    return LearnedSpeeds(
        _from_units(0, record.task_sd)[1],
        _from_units(*record.all_images),
        [(name, _from_units(*units)) for name, *units in record.kinds],
        [(name, _from_units(*units)) for name, *units in record.images],
        [
            (name, names[kind] if kind >= 0 else "", _from_units(*units))
            for name, kind, *units in record.workers
            if kind < len(names)
        ],
    )


def _to_units(mean: float, variance: float) -> tuple[int, int]:
    """Return the stored mean and standard deviation, which is at least one unit."""
    sd = _bounded(round(variance**0.5 * UNITS_PER_LOG))
    return _bounded(round(mean * UNITS_PER_LOG)), max(1, sd)


def _from_units(mean: int, sd: int) -> Numbers:
    """Return the mean and the variance of stored numbers."""
    bounded_sd = max(1, _bounded(sd)) / UNITS_PER_LOG
    return _bounded(mean) / UNITS_PER_LOG, bounded_sd * bounded_sd


def _bounded(units: int) -> int:
    return max(-MAX_LOG_UNITS, min(MAX_LOG_UNITS, units))


def _limited(entries: Iterable[tuple], max_bytes: int) -> list[tuple]:
    """Return the first entries that fit; each begins with its name."""
    found = []
    for entry in entries:
        max_bytes -= len(entry[0].encode()) + NUMBERS_BYTES
        if max_bytes < 0:
            break
        found.append(entry)
    return found
