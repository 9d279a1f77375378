"""Jobs in the form in which callers submit them."""

import msgspec

from ..exceptions import ValidationError
from ..jobs import MAX_STEPS, MAX_TASKS, JobSpec, JobState, StepSpec
from ..utils import Resources
from ._numbers import WholeNumber

__all__ = ["decode_job", "encode_state", "encode_waiting"]

MAX_PAYLOAD_BYTES = 4000
"""Maximum size of a job's payload, by the platform's contract."""


class WireStep(msgspec.Struct):
    """A step of a submitted job."""

    count: WholeNumber = msgspec.field(name="Count", default=1)
    cpu_milli: WholeNumber = msgspec.field(name="Cpu", default=0)
    memory_mb: WholeNumber = msgspec.field(name="MemMb", default=0)
    accelerators: WholeNumber = msgspec.field(name="Gpu", default=0)
    estimate_ms: WholeNumber = msgspec.field(name="EstimateMs", default=0)
    depends_on: list[WholeNumber] = msgspec.field(
        name="DependsOn", default_factory=list
    )
    checkpointed: bool = msgspec.field(name="Checkpointed", default=False)
    gang: bool = msgspec.field(name="Gang", default=False)
    rack_sensitive: bool = msgspec.field(name="RackSensitive", default=False)
    # Label that the worker must have.
    required_label: str = msgspec.field(name="Requires", default="")
    # Rack that holds the data. Other racks may run the step, but more slowly.
    data_rack: str = msgspec.field(name="Affinity", default="")
    # Maximum tasks of this step on one worker; it does not concern other steps.
    max_per_worker: WholeNumber = msgspec.field(name="AntiAffinity", default=0)
    speculative: bool = msgspec.field(name="Speculative", default=False)
    long_running: bool = msgspec.field(name="LongRunning", default=False)
    image: str = msgspec.field(name="Image", default="")
    # Bound on the tail latency that the task's own users see.
    tail_target_ms: WholeNumber = msgspec.field(name="TargetMs", default=0)
    uses_idle_cpu: bool = msgspec.field(name="Fills", default=False)
    max_unavailable: WholeNumber = msgspec.field(name="MayMiss", default=0)

    def to_spec(self) -> StepSpec:
        """Convert to the internal form."""
        return StepSpec(
            self.count,
            Resources(self.cpu_milli, self.memory_mb, self.accelerators),
            self.estimate_ms,
            tuple(self.depends_on),
            self.checkpointed,
            self.gang,
            self.rack_sensitive,
            self.required_label,
            self.data_rack,
            self.max_per_worker,
            self.speculative,
            self.long_running,
            self.image,
            self.tail_target_ms,
            self.uses_idle_cpu,
            self.max_unavailable,
        )


class WireJob(msgspec.Struct):
    """A submitted job."""

    payload: str = msgspec.field(name="Spec", default="")
    steps: list[WireStep] = msgspec.field(name="Steps", default_factory=list)
    occurrences: WholeNumber = msgspec.field(name="Times", default=0)
    # Milliseconds since 1970 (Unix time).
    first_due_ms: WholeNumber = msgspec.field(name="StartAtMs", default=0)
    interval_ms: WholeNumber = msgspec.field(name="IntervalMs", default=0)


class WireState(msgspec.Struct):
    """Answer to a query for a job."""

    state: str = msgspec.field(name="State")


class WireWaiting(msgspec.Struct):
    """Answer to a query for a queue: number of jobs without a started task."""

    waiting: int = msgspec.field(name="Waiting")


_job_decoder = msgspec.json.Decoder(WireJob)


def decode_job(body: bytes) -> JobSpec:
    """Decode and validate a submitted job.

    Raises
    ------
    ValidationError
        If the body can't be decoded or violates a limit; the message names the field.
    """
    try:
        wire = _job_decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise ValidationError(f"body: {exc}") from exc
    if len(wire.payload.encode()) > MAX_PAYLOAD_BYTES:
        raise ValidationError(f"Spec: more than {MAX_PAYLOAD_BYTES} bytes")
    if not 1 <= len(wire.steps) <= MAX_STEPS:
        raise ValidationError(f"Steps: {len(wire.steps)} is not 1 to {MAX_STEPS}")
    for index, step in enumerate(wire.steps):
        _check_step(index, step)
    steps = tuple(step.to_spec() for step in wire.steps)
    return JobSpec(
        wire.payload, steps, wire.occurrences, wire.first_due_ms, wire.interval_ms
    )


def _check_step(index: int, step: WireStep) -> None:
    if not 1 <= step.count <= MAX_TASKS:
        raise ValidationError(f"Steps[{index}].Count: {step.count} is out of range")
    if min(step.cpu_milli, step.memory_mb, step.accelerators) < 0:
        raise ValidationError(f"Steps[{index}]: a negative amount")
    if any(not 0 <= earlier < index for earlier in step.depends_on):
        raise ValidationError(f"Steps[{index}].DependsOn: {step.depends_on}")


def encode_state(state: JobState) -> bytes:
    """Encode the answer to a query for a job."""
    return msgspec.json.encode(WireState(state.value))


def encode_waiting(count: int) -> bytes:
    """Encode the answer to a query for a queue."""
    return msgspec.json.encode(WireWaiting(count))
