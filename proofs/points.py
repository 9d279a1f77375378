"""The ten guarantees of the system, each checked by a proof."""

import argparse
import io
import sys
import unittest
from collections import Counter
from collections.abc import Callable
from functools import cache

import msgspec

from pimentomill.exceptions import InvariantError
from proofs.authority import MUTATIONS as AUTHORITY_MUTATIONS
from proofs.authority import SCENARIOS, AuthorityResult, run_scenario, run_seed
from proofs.histories import (
    HistoryStats,
    check_answers,
    check_backends,
    check_keys,
    check_requests,
)
from proofs.soak import Soak, SoakResult

__all__ = ["POINTS", "Evidence", "Point", "main"]

SOAK_SEEDS = range(1, 9)
SOAK_STEPS = 20_000
HISTORY_SEEDS = range(1, 11)
HISTORY_STEPS = 400
ANSWER_SEEDS = range(1, 6)
ANSWER_STEPS = 80
AUTHORITY_SEEDS = range(1, 21)
SCENARIO_SEEDS = range(1, 6)


class Evidence(msgspec.Struct):
    """Result of a proof.

    Parameters
    ----------
    steps : int
        Executed steps.
    faults : dict
        Injected faults, by kind.
    failure : str
        Description of the violation, empty if there is none.
    """

    steps: int
    faults: dict[str, int]
    failure: str = ""


class Point(msgspec.Struct):
    """A guarantee and its proof.

    Parameters
    ----------
    point : str
        Statement of the guarantee.
    proof : str
        Description of the proof.
    run : callable or None
        Returns the `Evidence`; None if there is no proof.
    mutations : list of str
        Mutations that the proof detects.
    """

    point: str
    proof: str
    run: Callable[[], Evidence] | None
    mutations: list[str] = []


@cache
def soak_results() -> list[SoakResult]:
    """Return the results of the soak runs, which several points share."""
    return [Soak(seed).run(SOAK_STEPS) for seed in SOAK_SEEDS]


def prove_by_soak() -> Evidence:
    """Return the combined evidence of the soak runs."""
    faults: Counter = Counter()
    for result in soak_results():
        faults.update(result.faults)
    failures = [f"seed {r.seed}: {r.failure}" for r in soak_results() if r.failure]
    steps = sum(result.steps for result in soak_results())
    return Evidence(steps, dict(faults), "; ".join(failures))


def prove_by_authority() -> Evidence:
    """Return the combined evidence of the runs of the model of authority."""
    results = [run_seed(seed) for seed in AUTHORITY_SEEDS]
    results += [
        run_scenario(name, seed) for name in SCENARIOS for seed in SCENARIO_SEEDS
    ]
    faults: Counter = Counter()
    for result in results:
        faults.update(result.faults)
    failures = [_describe(result) for result in results if result.failures]
    checks = sum(result.starts + result.orders for result in results)
    return Evidence(checks, dict(faults), "; ".join(failures))


def _describe(result: AuthorityResult) -> str:
    violations = ", ".join(result.failures)
    return f"{'/'.join(result.faults)} seed {result.seed}: {violations}"


def prove_by_histories(
    check: Callable[[int, int], HistoryStats],
    seeds: range = HISTORY_SEEDS,
    steps: int = HISTORY_STEPS,
) -> Callable[[], Evidence]:
    """Return a proof by random histories of one component."""

    def run() -> Evidence:
        evidence = Evidence(0, {})
        faults: Counter = Counter()
        for seed in seeds:
            try:
                history = check(seed, steps)
            except InvariantError as exc:
                evidence.failure = f"seed {seed}: {exc}"
                break
            evidence.steps += history.steps
            faults.update(history.faults)
        evidence.faults = dict(faults)
        return evidence

    return run


def prove_by_processes(name: str, fault: str) -> Callable[[], Evidence]:
    """Return a proof by a named test of real processes."""

    def run() -> Evidence:
        suite = unittest.defaultTestLoader.loadTestsFromName(name)
        result = unittest.TextTestRunner(stream=io.StringIO()).run(suite)
        failed = [*result.failures, *result.errors]
        failure = failed[0][1].strip().splitlines()[-1] if failed else ""
        return Evidence(result.testsRun, {fault: result.testsRun}, failure)

    return run


def prove_by_both(first: Callable[[], Evidence], second: Callable[[], Evidence]):
    """Return a proof that holds if both given proofs hold."""

    def run() -> Evidence:
        a, b = first(), second()
        faults = dict(Counter(a.faults) + Counter(b.faults))
        return Evidence(a.steps + b.steps, faults, a.failure or b.failure)

    return run


POINTS = [
    Point(
        "No instance ever holds more work than its capacity allows.",
        "soak: resources of running tasks at each start",
        prove_by_soak,
        ["nothing is promised"],
    ),
    Point(
        "No task ever runs in two places at once.",
        "soak: all workers at each start, one holder a group at each step; entries of "
        "the platform beside cuts: all workers at each start, leases at each order",
        prove_by_both(prove_by_soak, prove_by_authority),
        [
            "lost tasks are not waited for",
            "guard is always valid",
            "claims do not wait",
            *AUTHORITY_MUTATIONS,
        ],
    ),
    Point(
        "Work is taken only for the key's team; a withdrawn key stops working.",
        "random histories of keys against a plain dict",
        prove_by_histories(check_keys),
        ["digests are not compared"],
    ),
    Point(
        "No team ever has more running across the fleet than its upper limit.",
        "soak: what each team has running at each start",
        prove_by_soak,
        ["limits are not split"],
    ),
    Point(
        "A caller gets the whole answer to its own request.",
        "a server that truncates, crosses, drops and refuses answers",
        prove_by_histories(check_answers, ANSWER_SEEDS, ANSWER_STEPS),
        ["answers are not matched"],
    ),
    Point(
        "When the system says a request was not run, it was not run.",
        "the same server, and soak: recorded ends against real starts",
        prove_by_both(
            prove_by_histories(check_answers, ANSWER_SEEDS, ANSWER_STEPS), prove_by_soak
        ),
        ["lost answers count as not run"],
    ),
    Point(
        "A non-idempotent request runs at most once.",
        "random histories of claims, and soak: starts of non-idempotent work",
        prove_by_both(prove_by_histories(check_requests), prove_by_soak),
        ["claims of requests are forgotten"],
    ),
    Point(
        "A leaving backend server receives no new work.",
        "random histories of the instance list against the list itself",
        prove_by_histories(check_backends),
        ["leaving is not noticed"],
    ),
    Point(
        "A planned stop cuts off no request in flight.",
        "real processes: SIGTERM with a request in flight",
        prove_by_processes(
            "tests.test_callers.GracefulStopTest."
            "test_stop_cuts_off_nothing_in_flight_and_work_goes_on",
            "entry stopped",
        ),
        ["killed instead of stopped"],
    ),
    Point(
        "An accepted configuration is in force everywhere and never reverts.",
        "soak: versions at each step, agreement 4 s after the last change",
        prove_by_soak,
        ["older snapshots are taken"],
    ),
]


class PointReport(msgspec.Struct):
    """Printed result of a point; `holds` is null if there is no proof."""

    point: str
    proof: str
    faults: dict[str, int]
    steps: int
    holds: bool | None
    failure: str = ""


def run_point(point: Point) -> PointReport:
    """Run the proof of a point and return its report."""
    if point.run is None:
        return PointReport(point.point, point.proof, {}, 0, None)
    evidence = point.run()
    return PointReport(
        point.point,
        point.proof,
        evidence.faults,
        evidence.steps,
        not evidence.failure,
        evidence.failure,
    )


def main() -> int:
    """Run all proofs, print a JSON line for each, and return the exit code."""
    argparse.ArgumentParser(description="Check the ten guarantees.").parse_args()
    code = 0
    for point in POINTS:
        line = run_point(point)
        print(msgspec.json.encode(line).decode(), flush=True)
        code = code or int(line.holds is False)
    return code


if __name__ == "__main__":
    sys.exit(main())
