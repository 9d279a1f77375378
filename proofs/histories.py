"""Random operation histories of single components, checked against simple models."""

import random
import socket
import threading

import msgspec

from pimentomill.admission import make_key, resolve_team
from pimentomill.cell import CellFold, KeyIssued, KeyRevoked, TeamSet
from pimentomill.exceptions import InvariantError, UnauthorizedError
from pimentomill.journal import (
    Instance,
    InstanceKind,
    InstanceState,
    decode_envelope,
    encode_envelope,
)
from pimentomill.requests import (
    BackendPool,
    DispatchCall,
    Dispatcher,
    RetryBudget,
)
from pimentomill.utils import Resources, SystemClock
from pimentomill.work import (
    EpochStarted,
    RequestClaimed,
    RequestEnded,
    RequestOutcome,
    WorkFold,
)

__all__ = [
    "HistoryStats",
    "check_answers",
    "check_backends",
    "check_keys",
    "check_requests",
]

TEAMS = ("kiln", "planting", "sorting")
RACK = "dc1/r1"


class HistoryStats(msgspec.Struct):
    """Statistics of a history.

    Parameters
    ----------
    steps : int
        Executed steps.
    faults : dict
        Injected faults, by kind.
    """

    steps: int = 0
    faults: dict[str, int] = {}

    def record_fault(self, kind: str) -> None:
        """Count a fault."""
        self.faults[kind] = self.faults.get(kind, 0) + 1


class _DuplicatingLog:
    """Fold records and delayed duplicates of earlier ones."""

    def __init__(self, fold, rng: random.Random, history: HistoryStats) -> None:
        self.fold = fold
        self.rng = rng
        self.history = history
        self._sent: list[bytes] = []
        self._seq = 0

    def append(self, record):
        """Append a record, and sometimes a delayed duplicate of an earlier one."""
        self._seq += 1
        self._sent.append(encode_envelope("w", self._seq, record))
        applied = self._fold(self._sent[-1])
        if self.rng.random() < 0.2:
            self.history.record_fault("late copy of a record")
            self._fold(self.rng.choice(self._sent))
        return applied

    def _fold(self, payload: bytes):
        offset = self.fold.state_.next_offset
        return self.fold.apply(offset, decode_envelope(payload))


def check_keys(seed: int, steps: int) -> HistoryStats:
    """Issue, revoke and use keys at random, and compare with a plain dict.

    Raises
    ------
    InvariantError
        If a key is accepted for another team, or after its revocation.
    """
    rng, history, fold = random.Random(seed), HistoryStats(), CellFold()
    log = _DuplicatingLog(fold, rng, history)
    for team in TEAMS:
        log.append(TeamSet(team, 1, Resources(1, 1, 1), -1))
    secrets: dict[str, str] = {}
    valid_teams: dict[str, str] = {}
    for number in range(steps):
        history.steps += 1
        draw = rng.random()
        if draw < 0.3:
            key_id, team = f"k{number}", rng.choice(TEAMS)
            key, digest = make_key(key_id)
            log.append(KeyIssued(key_id, team, digest, ""))
            secrets[key_id], valid_teams[key_id] = key, team
        elif draw < 0.5 and valid_teams:
            key_id = rng.choice(sorted(valid_teams))
            log.append(KeyRevoked(key_id))
            del valid_teams[key_id]
        elif secrets:
            _check_key(fold, rng, secrets, valid_teams)
    return history


def _check_key(
    fold: CellFold, rng: random.Random, secrets: dict, valid_teams: dict
) -> None:
    key_id = rng.choice(sorted(secrets))
    key = secrets[key_id]
    is_forged = rng.random() < 0.3
    if is_forged:
        other = secrets[rng.choice(sorted(secrets))].rpartition(".")[2]
        key = f"pm.{key_id}.{other}x"
    expected = None if is_forged else valid_teams.get(key_id)
    try:
        resolved = resolve_team(fold.state_, f"Bearer {key}")
    except UnauthorizedError:
        resolved = None
    if resolved != expected:
        raise InvariantError(f"key {key_id} resolved to {resolved}, not {expected}")


def check_requests(seed: int, steps: int) -> HistoryStats:
    """Let holders claim requests, send them, crash and be replaced.

    Records of earlier holders and delayed duplicates occur in between.

    Raises
    ------
    InvariantError
        If a non-idempotent request is sent twice although the first may have
        run.
    """
    rng, history, fold = random.Random(seed), HistoryStats(), WorkFold()
    log = _DuplicatingLog(fold, rng, history)
    epoch = 0
    may_have_run: set[str] = set()
    for _ in range(steps):
        history.steps += 1
        if rng.random() < 0.1:
            history.record_fault("holder crashed")
            epoch += 1
            log.append(EpochStarted(0, epoch, "m"))
        request = f"r{rng.randrange(steps // 4 + 1)}"
        record_epoch = epoch
        if rng.random() < 0.1:
            history.record_fault("record of an earlier holder")
            record_epoch -= 1
        applied = log.append(RequestClaimed(0, record_epoch, request, "kiln", "svc"))
        if applied.refusal:
            continue
        if request in may_have_run:
            raise InvariantError(f"{request} was sent twice")
        _send_request(rng, history, log, epoch, request, may_have_run)
    return history


def _send_request(rng, history, log, epoch, request, may_have_run) -> None:
    outcome = rng.choice(["answered", "lost", "refused", "crash"])
    if outcome == "refused":
        log.append(RequestEnded(0, epoch, request, RequestOutcome.NOT_RUN, 0))
        return
    may_have_run.add(request)
    if outcome == "answered":
        log.append(RequestEnded(0, epoch, request, RequestOutcome.ANSWERED, 200))
    elif outcome == "lost":
        history.record_fault("answer lost")
        log.append(RequestEnded(0, epoch, request, RequestOutcome.UNKNOWN, 0))
    else:
        history.record_fault("crash after sending")


def check_backends(seed: int, steps: int) -> HistoryStats:
    """Acquire and release slots while backend servers join, leave and vanish.

    Raises
    ------
    InvariantError
        If a leaving backend server gets a new request, or any server gets more
        requests than it has slots.
    """
    rng, history = random.Random(seed), HistoryStats()
    pool = BackendPool([RACK], rng)
    instances: dict[str, Instance] = {}
    acquired: list = []
    for _ in range(steps):
        history.steps += 1
        if rng.random() < 0.2:
            _change_instances(rng, history, instances)
            pool.update(list(instances.values()))
        if acquired and rng.random() < 0.4:
            pool.release(acquired.pop(rng.randrange(len(acquired))))
        slot = pool.acquire("svc", 0, set())
        if slot is None:
            continue
        acquired.append(slot)
        instance = instances.get(slot.backend)
        if instance is None or instance.state is not InstanceState.LIVE:
            raise InvariantError(f"{slot.backend} got a request while leaving")
        in_use = sum(other.backend == slot.backend for other in acquired)
        if in_use > instance.slots:
            raise InvariantError(
                f"{slot.backend} got {in_use} requests for {instance.slots} slots"
            )
    return history


def _change_instances(
    rng, history: HistoryStats, instances: dict[str, Instance]
) -> None:
    name = f"b{rng.randrange(5)}"
    state = rng.choice(["live", "live", "leaving", "gone"])
    if state == "gone":
        history.record_fault("backend server vanished")
        instances.pop(name, None)
        return
    if state == "leaving":
        history.record_fault("backend server leaving")
    instances[name] = Instance(
        name, InstanceKind.BACKEND, InstanceState(state), f"{name}:1", RACK, "svc", 8
    )


class _FaultyServer:
    """Answer requests in full, truncated, with a wrong id, with 503, or not at all."""

    def __init__(self, rng: random.Random, history: HistoryStats) -> None:
        self.rng = rng
        self.history = history
        self.executed: list[str] = []
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self) -> None:
        """Stop serving."""
        self._socket.close()

    def _serve(self) -> None:
        while True:
            try:
                conn, _ = self._socket.accept()
            except OSError:
                return
            with conn:
                self._answer(conn)

    def _answer(self, conn: socket.socket) -> None:
        raw = conn.recv(65_536).decode()
        headers = dict(
            line.lower().split(": ", 1) for line in raw.splitlines() if ": " in line
        )
        request = headers["pimentomill-request"]
        outcome = self.rng.choice(
            ["whole", "truncated", "crossed", "dropped", "refused"]
        )
        if outcome != "whole":
            self.history.record_fault(f"answer {outcome}")
        if outcome == "refused":
            conn.sendall(
                b"HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
            )
            return
        self.executed.append(request)
        if outcome == "dropped":
            return
        body = f"answer to {request}"
        req_id = "another" if outcome == "crossed" else request
        payload = body[:5] if outcome == "truncated" else body
        conn.sendall(
            f"HTTP/1.1 200 OK\r\nPimentomill-Request: {req_id}\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{payload}".encode()
        )


def check_answers(seed: int, steps: int) -> HistoryStats:
    """Send requests to a server that truncates, mixes up and drops answers.

    Raises
    ------
    InvariantError
        If a caller gets anything but the complete answer to its own request, if
        a request that is reported as not run did run, or if a non-idempotent
        request ran twice.
    """
    rng, history = random.Random(seed), HistoryStats()
    server = _FaultyServer(random.Random(-seed), history)
    pool = BackendPool([RACK], rng)
    live = InstanceState.LIVE
    pool.update(
        [Instance("b", InstanceKind.BACKEND, live, server.address, RACK, "svc", 8)]
    )
    dispatcher = Dispatcher(
        SystemClock(), RetryBudget(), random.Random(seed), lambda _: None
    )
    try:
        for number in range(steps):
            history.steps += 1
            call = DispatchCall(
                f"r{number}", "g1", 1, "kiln", "svc", b"", 5_000, number % 2
            )
            _check_result(call, dispatcher.run(call, pool), server.executed)
    finally:
        server.close()
    return history


def _check_result(call: DispatchCall, result, executed: list[str]) -> None:
    runs = executed.count(call.request)
    if result.outcome is RequestOutcome.ANSWERED:
        if result.body != f"answer to {call.request}".encode():
            raise InvariantError(f"{call.request} got {result.body!r}")
    elif result.outcome is RequestOutcome.NOT_RUN and runs:
        raise InvariantError(f"{call.request} was reported as not run, but ran")
    if not call.is_idempotent and runs > 1:
        raise InvariantError(f"{call.request} ran {runs} times")
