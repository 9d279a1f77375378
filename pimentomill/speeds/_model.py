"""Speeds of workers, learned from the durations of finished runs."""

import math
import statistics
from collections import OrderedDict, deque
from collections.abc import Collection
from typing import Protocol

from ..fleet import WorkerInfo
from ..jobs import StepKey, StepSpec, WorkerId
from ._estimate import Estimate
from ._record import decode_speeds, encode_speeds

__all__ = ["SpeedModel", "StepLike"]

KIND_VARIANCE = 0.35**2
"""Variance of the logarithm of the speed between kinds of workers before any run: two
in three kinds within a factor of 1.4."""
WORKER_VARIANCE = 0.2**2
"""The same between workers of one kind: two in three within a factor of 1.2."""
DRIFT_VARIANCE = 0.03**2
"""Variance added with each run, so that a lasting change of speed is still learned."""
TASK_VARIANCE = 0.25**2
"""Variance of the logarithm of the duration between tasks of a step before any run."""
MIN_TASK_VARIANCE = 0.1**2
"""Lower bound of the learned variance, for delays of starts and reports."""
TASK_VARIANCE_WEIGHT = 0.02
"""Weight of the latest run in the learned variance between tasks."""
ESTIMATE_VARIANCE = 0.5**2
"""Variance of the logarithm of actual to declared duration before any run."""
MIN_ESTIMATE_VARIANCE = 0.1**2
"""Lower bound of that variance once it is learned."""
ESTIMATE_WEIGHT = 0.1
"""Weight of the latest run in what is learned about declared durations."""
RECENTER_RUNS = 50
"""Runs after which the factors are scaled to a mean of 1. Only their ratios are
observed, and as long tasks are more frequent than short ones, all would grow together.
"""
MAX_STEPS = 4096
"""Steps whose finished runs are remembered."""
MAX_SAMPLES = 32
"""Finished runs remembered of each step."""
MAX_IMAGES = 512
"""Images whose actual durations are compared with the declared ones."""


class StepLike(Protocol):
    """Step of a job, as far as its duration is concerned."""

    key: StepKey
    spec: StepSpec


class _WorkerSpeed:
    """Learned speed of one worker, as a deviation from its kind."""

    __slots__ = ("deviation", "kind", "log_factor")

    def __init__(self, kind: str, is_kind_known: bool) -> None:
        self.kind = kind
        variance = WORKER_VARIANCE + (0.0 if is_kind_known else KIND_VARIANCE)
        self.deviation = Estimate(0.0, variance)
        self.log_factor = 0.0


class _Image:
    """Logarithm of actual to declared durations of the steps of an image."""

    __slots__ = ("mean", "variance")

    def __init__(self, mean: float, variance: float) -> None:
        self.mean = mean
        self.variance = variance

    def learn(self, surprise: float) -> None:
        self.mean += ESTIMATE_WEIGHT * surprise
        change = surprise * surprise - self.variance
        learned = self.variance + ESTIMATE_WEIGHT * change
        self.variance = max(MIN_ESTIMATE_VARIANCE, learned)


class SpeedModel:
    """Predicts how long a task takes on a worker.

    A duration is the product of what the step needs on a standard worker, the factor of
    the worker, and known causes; its logarithm is a sum of estimates. What a step needs
    is learned from its finished tasks and from its declared duration, corrected by the
    image. The factor of a worker is that of its kind times its own deviation.

    Parameters
    ----------
    far_factor : float
        Multiple of its duration that a task takes off the rack with its data.

    Notes
    -----
    The memory is bounded by `MAX_STEPS`, `MAX_IMAGES` and the workers in use. What was
    restored of a worker or kind applies once a worker of that name and kind registers.

    Attributes
    ----------
    runs_ : int
        Finished runs that a speed was learned from.

    Examples
    --------
    >>> model = SpeedModel(far_factor=1.5)
    >>> model.factor("w1")
    1.0
    """

    def __init__(self, far_factor: float) -> None:
        self.log_far = math.log(max(1.0, far_factor))
        self.task_variance = TASK_VARIANCE
        self._kinds: dict[str, Estimate] = {}
        self._workers: dict[WorkerId, _WorkerSpeed] = {}
        self._factors: dict[WorkerId, float] = {}
        self._restored_kinds: dict[str, Estimate] = {}
        self._restored_workers: dict[WorkerId, _WorkerSpeed] = {}
        self.runs_ = 0
        self._all_images = _Image(0.0, ESTIMATE_VARIANCE)
        self._images: OrderedDict[str, _Image] = OrderedDict()
        self._steps: OrderedDict[StepKey, deque[tuple[WorkerId, float]]] = OrderedDict()

    # Workers

    def factor(self, worker: WorkerId) -> float:
        """Return the duration of tasks on a worker relative to a standard worker.

        A worker that has not been registered counts as a standard one.
        """
        return self._factors.get(worker, 1.0)

    def register(self, info: WorkerInfo) -> None:
        """Note a worker and its kind; what was learned of another kind is dropped."""
        known = self._workers.get(info.worker)
        if known is not None and known.kind == info.kind:
            return
        restored = self._restored_workers.get(info.worker)
        self.forget(info.worker)
        kind = info.kind
        if kind and kind not in self._kinds:
            self._kinds[kind] = self._restored_kinds.pop(kind, None) or Estimate(
                0.0, KIND_VARIANCE
            )
        speed = _WorkerSpeed(kind, bool(kind))
        if restored is not None and restored.kind == kind:
            speed = restored
        elif restored is not None and not kind:
            # The stored fleet lacks the kinds; the registration tells it later.
            self._restored_workers[info.worker] = restored
        self._workers[info.worker] = speed
        self._update_factor(info.worker)

    def forget(self, worker: WorkerId) -> None:
        """Drop a worker that is gone, and its kind if it was the last one."""
        gone = self._workers.pop(worker, None)
        self._factors.pop(worker, None)
        self._restored_workers.pop(worker, None)
        if gone is not None and all(
            other.kind != gone.kind for other in self._workers.values()
        ):
            self._kinds.pop(gone.kind, None)

    def _update_factor(self, worker: WorkerId) -> None:
        speed = self._workers[worker]
        kind = self._kinds.get(speed.kind)
        speed.log_factor = speed.deviation.mean + (kind.mean if kind else 0.0)
        self._factors[worker] = math.exp(speed.log_factor)

    def log_factor(self, worker: WorkerId) -> float:
        """Return the natural logarithm of `factor`."""
        speed = self._workers.get(worker)
        return speed.log_factor if speed is not None else 0.0

    def _worker_variance(self, worker: WorkerId) -> float:
        speed = self._workers.get(worker)
        if speed is None:
            return KIND_VARIANCE + WORKER_VARIANCE
        kind = self._kinds.get(speed.kind)
        return speed.deviation.variance + (kind.variance if kind else 0.0)

    # Steps

    def forget_step(self, key: StepKey) -> None:
        """Drop what is known of a step that is done."""
        self._steps.pop(key, None)

    def has_samples(self, step: StepLike) -> bool:
        """Return whether a task of the step has finished."""
        return step.key in self._steps

    def _declared(self, spec: StepSpec) -> tuple[float, float] | None:
        """Return the step's need by its declaration, and the variance of its error."""
        if spec.estimate_ms <= 0:
            return None
        image = self._images.get(spec.image, self._all_images)
        return math.log(spec.estimate_ms) + image.mean, image.variance

    def _need(self, step: StepLike) -> tuple[float, float] | None:
        """Return the logarithm of what a task needs, and its variance, None if unknown.

        The median of the finished tasks resists the few that take much longer.
        """
        declared = self._declared(step.spec)
        measured = self._measured(self._steps.get(step.key, ()))
        if declared is None or measured is None:
            return measured or declared
        weight = declared[1] / (declared[1] + measured[1])
        mean = declared[0] + weight * (measured[0] - declared[0])
        return mean, weight * measured[1]

    def _measured(
        self, samples: Collection[tuple[WorkerId, float]]
    ) -> tuple[float, float] | None:
        """Return the need by finished tasks, and its variance, None without any."""
        if not samples:
            return None
        median = statistics.median(
            log_ms - self.log_factor(worker) for worker, log_ms in samples
        )
        return median, self.task_variance / len(samples)

    def _reference(
        self, step: StepLike, worker: WorkerId
    ) -> tuple[float, float] | None:
        """Return the need with which a run on a worker is compared, and its variance.

        Runs on other workers come first: declared durations are often wrong by the same
        factor everywhere, which would be taken for the speed of all workers. They count
        for images of which the usual error is known.
        """
        samples = self._steps.get(step.key, ())
        others = [sample for sample in samples if sample[0] != worker]
        measured = self._measured(others)
        if measured is not None:
            return measured
        return self._declared(step.spec) if step.spec.image in self._images else None

    def _log_distance(self, spec: StepSpec, info: WorkerInfo) -> float:
        is_far = bool(spec.data_rack) and info.rack != spec.data_rack
        return self.log_far if is_far else 0.0

    # Predictions

    def expected_ms(self, step: StepLike, info: WorkerInfo) -> float | None:
        """Return how long a whole task of a step takes on a worker, in milliseconds.

        Returns
        -------
        float or None
            None if neither a finished task nor a declared duration tells.
        """
        need = self._need(step)
        if need is None:
            return None
        distance = self._log_distance(step.spec, info)
        return math.exp(need[0] + distance) * self.factor(info.worker)

    def spread(self, step: StepLike, info: WorkerInfo) -> float:
        """Return the standard deviation of the logarithm of `expected_ms`."""
        need = self._need(step)
        need_variance = need[1] if need is not None else ESTIMATE_VARIANCE
        worker_variance = self._worker_variance(info.worker)
        return math.sqrt(need_variance + worker_variance + self.task_variance)

    # Learning

    def record_end(
        self, step: StepLike, info: WorkerInfo, took_ms: float, is_typical: bool = True
    ) -> None:
        """Learn from a task that has finished.

        Parameters
        ----------
        step : StepLike
            Step of the task.
        info : WorkerInfo
            Worker that ran it.
        took_ms : float
            Milliseconds that the whole task took or would have taken, without the time
            of a restore.
        is_typical : bool, default=True
            Whether the worker ran at its usual speed; otherwise nothing is learned.
        """
        if not is_typical:
            return
        self.register(info)
        log_ms = math.log(max(1.0, took_ms)) - self._log_distance(step.spec, info)
        need = self._reference(step, info.worker)
        if need is not None:
            surprise = log_ms - self.log_factor(info.worker) - need[0]
            self._learn_worker(info.worker, surprise, need[1])
        self._learn_image(step.spec, log_ms - self.log_factor(info.worker))
        samples = self._steps.get(step.key)
        if samples is None:
            samples = self._steps[step.key] = deque(maxlen=MAX_SAMPLES)
            if len(self._steps) > MAX_STEPS:
                self._steps.popitem(last=False)
        samples.append((info.worker, log_ms))

    def _learn_worker(
        self, worker: WorkerId, surprise: float, need_variance: float
    ) -> None:
        speed = self._workers[worker]
        kind = self._kinds.get(speed.kind)
        variance = self._worker_variance(worker)
        total = variance + need_variance + self.task_variance
        surprise = Estimate.cut_off(surprise, total)
        if kind is not None:
            kind.update(surprise, kind.variance / total)
            kind.variance += DRIFT_VARIANCE / max(1, len(self._workers))
        speed.deviation.update(surprise, speed.deviation.variance / total)
        speed.deviation.variance += DRIFT_VARIANCE
        own_part = surprise * surprise * self.task_variance / total
        change = TASK_VARIANCE_WEIGHT * (own_part - self.task_variance)
        self.task_variance = max(MIN_TASK_VARIANCE, self.task_variance + change)
        self.runs_ += 1
        if self.runs_ % RECENTER_RUNS == 0:
            self._recenter()
        for name, other in self._workers.items():
            if other is speed or (kind is not None and other.kind == speed.kind):
                self._update_factor(name)

    def _recenter(self) -> None:
        """Scale all factors to a geometric mean of 1, and the deviations of each kind.

        Predictions for known workers do not change.
        """
        for name, kind in self._kinds.items():
            own = [
                speed.deviation
                for speed in self._workers.values()
                if speed.kind == name
            ]
            common = statistics.fmean(deviation.mean for deviation in own)
            kind.mean += common
            for deviation in (*own, *self._restored_deviations(name)):
                deviation.mean -= common
        shift = statistics.fmean(other.log_factor for other in self._workers.values())
        for kind in (*self._kinds.values(), *self._restored_kinds.values()):
            kind.mean -= shift
        for deviation in self._restored_deviations(""):
            deviation.mean -= shift
        for image in (self._all_images, *self._images.values()):
            image.mean += shift
        for name, other in self._workers.items():
            if other.kind not in self._kinds:
                other.deviation.mean -= shift
            self._update_factor(name)

    def _restored_deviations(self, kind: str) -> list[Estimate]:
        return [
            restored.deviation
            for restored in self._restored_workers.values()
            if restored.kind == kind
        ]

    def _learn_image(self, spec: StepSpec, log_need: float) -> None:
        if spec.estimate_ms <= 0:
            return
        ratio = log_need - math.log(spec.estimate_ms)
        image = self._images.get(spec.image)
        if image is None:
            of_all = self._all_images
            image = self._images[spec.image] = _Image(of_all.mean, of_all.variance)
            if len(self._images) > MAX_IMAGES:
                self._images.popitem(last=False)
        for learned in (image, self._all_images):
            surprise = ratio - learned.mean
            learned.learn(Estimate.cut_off(surprise, max(0.25, learned.variance)))

    # Record for a successor

    def encode(self) -> bytes:
        """Return what has been learned of workers and images, for `restore`.

        The workers that differ most from their kind come first, and the latest
        images. Those beyond the bound of the record are learned again.
        """
        workers = {
            name: (speed.kind, speed.deviation) for name, speed in self._workers.items()
        }
        return encode_speeds(
            self.task_variance, self._all_images, self._kinds, self._images, workers
        )

    def restore(self, value: bytes) -> int:
        """Restore what a predecessor has learned, before any worker is registered.

        Parameters
        ----------
        value : bytes
            Result of `encode`.

        Returns
        -------
        int
            Number of workers whose speed is known.

        Raises
        ------
        msgspec.DecodeError
            If the record can't be read; nothing is restored.
        """
        record = decode_speeds(value)
        self.task_variance = max(MIN_TASK_VARIANCE, record.task_variance)
        self._all_images = _Image(*record.all_images)
        for name, numbers in record.images:
            self._images[name] = _Image(*numbers)
        for name, numbers in record.kinds:
            self._restored_kinds[name] = Estimate(*numbers)
        for name, kind, numbers in record.workers:
            restored = _WorkerSpeed(kind, bool(kind))
            restored.deviation = Estimate(*numbers)
            self._restored_workers[WorkerId(name)] = restored
        return len(record.workers)
