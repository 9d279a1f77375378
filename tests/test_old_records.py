"""Records and messages of earlier builds are read, and rewritten byte for byte.

``data/records.json`` was written by an earlier build and must not change. It holds
samples with values that differ from the defaults: bytes in hex, and the keys and tag
of the outermost message.
"""

import json
import unittest
from functools import reduce
from operator import or_
from pathlib import Path
from typing import get_args

import msgspec

from pimentomill.cell import CellRecord, CellState, EvacuationSet
from pimentomill.control import FLEET_KEY
from pimentomill.entry import EntryHealth
from pimentomill.entry._caller_api import UnknownOutcome
from pimentomill.entry._jobs import SubmissionReceipt
from pimentomill.entry._operator import StatementResult as StatementAnswer
from pimentomill.fleet import EndKind, WorkerInfo
from pimentomill.holder import JobAnswer, WorkerAnswer
from pimentomill.holder import JobState as ShownState
from pimentomill.http._errors import ErrorBody
from pimentomill.jobs import (
    JobRecord,
    JobState,
    Withdrawn,
    accepted_key,
    cancelled_key,
    progress_key,
    withdrawn_key,
)
from pimentomill.journal import (
    Appended,
    AppendRequest,
    Envelope,
    InstanceKind,
    InstanceList,
    InstanceState,
    ReadRequest,
    ReadResult,
)
from pimentomill.links import CallerAnswer, CallerRequest
from pimentomill.links._messages import (
    FAILING_HEARTBEAT,
    HEARTBEAT,
    AppendedRecords,
    PolicyAnswer,
    RelayedAppend,
    RemotePolicyQuery,
    StateAnswer,
    StateQuery,
)
from pimentomill.links._messages import Path as LinkPath
from pimentomill.node import MemberRecord
from pimentomill.node._records import member_key
from pimentomill.peers import ErrorCode, PeerMessage, PeerReply
from pimentomill.platform import NodeFile
from pimentomill.platform._jobs import WireJob, WireState, WireWaiting
from pimentomill.platform._policy import WirePolicyAnswer, WirePolicyQuery
from pimentomill.platform._rules import WireConfig
from pimentomill.platform._store import AppendBody, NewestBody
from pimentomill.platform._workers import (
    WireHold,
    WireOrderReply,
    WirePace,
    WireReport,
    WireStart,
    WireStop,
    WireWorker,
)
from pimentomill.replica import LEADER_KEY, LeaderRecord
from pimentomill.settings import (
    BackendSettings,
    EntrySettings,
    PlatformSettings,
    WorkerSettings,
)
from pimentomill.snapshots import SnapshotPart, snapshot_stream
from pimentomill.standins import LogFaults
from pimentomill.work import (
    JobCancelled,
    JobWithdrawn,
    RequestOutcome,
    Spread,
    Submission,
    TaskOutcome,
    TaskState,
    WorkRecord,
    WorkState,
)
from pimentomill.workers import (
    CommandAnswer,
    CommandBatch,
    ReportReply,
    StartTask,
    StopTask,
    ThrottleTask,
    WorkerOutcome,
    WorkerReport,
)

DATA = json.loads((Path(__file__).parent / "data" / "records.json").read_text())
RECORDS = DATA["records"]


def union_of(base):
    """Return the union of all record types of a stream."""
    return reduce(or_, base.__subclasses__())


TYPES = {
    "job record": JobRecord,
    "leader heartbeat": LeaderRecord,
    "entry heartbeat": MemberRecord,
    "known workers": list[WorkerInfo],
    "relayed policy query": RemotePolicyQuery,
    "relayed policy answer": PolicyAnswer,
    "relayed append": RelayedAppend,
    "appended records": AppendedRecords,
    "state query": StateQuery,
    "state answer": StateAnswer,
    "caller's request": CallerRequest,
    "answer to a caller": CallerAnswer,
    "request between entries": PeerMessage,
    "reply between entries": PeerReply,
    "record of the cell": union_of(CellRecord),
    "record of a group": union_of(WorkRecord),
    "envelope": Envelope,
    "state of the cell": CellState,
    "state of a group": WorkState,
    "part of a snapshot": SnapshotPart,
    "append": AppendRequest,
    "append's answer": Appended,
    "read": ReadRequest,
    "read's answer": ReadResult,
    "list of instances": InstanceList,
    "faults of the log": LogFaults,
    "command": StartTask | StopTask | ThrottleTask,
    "batch of commands": CommandBatch,
    "worker's report": WorkerReport,
    "reply to a report": ReportReply,
    "worker's answer": CommandAnswer,
    "submission": Submission,
    "submission receipt": SubmissionReceipt,
    "job as shown": JobAnswer,
    "workers as shown": WorkerAnswer,
    "answer to a statement": StatementAnswer,
    "error": ErrorBody,
    "unknown outcome": UnknownOutcome,
    "health": EntryHealth,
    "settings of an entry": EntrySettings,
    "settings of the platform": PlatformSettings,
    "settings of a worker": WorkerSettings,
    "settings of a backend": BackendSettings,
    "node file": NodeFile,
    "registered worker": WireWorker,
    "start": WireStart,
    "stop": WireStop,
    "pace": WirePace,
    "hold": WireHold,
    "reply to an order": WireOrderReply,
    "answer to a hold": WireReport,
    "settings of operators": WireConfig,
    "submitted job": WireJob,
    "reported state of a job": WireState,
    "number of waiting jobs": WireWaiting,
    "store's answer": AppendBody,
    "page of newest": NewestBody,
    "policy query": WirePolicyQuery,
    "policy answer": WirePolicyAnswer,
}
ENUMS = {
    "state of a job": JobState,
    "state shown": ShownState,
    "end of a task": TaskOutcome,
    "state of a task": TaskState,
    "end of a request": RequestOutcome,
    "spread": Spread,
    "error code": ErrorCode,
    "end on a worker": WorkerOutcome,
    "kind of instance": InstanceKind,
    "state of an instance": InstanceState,
    "end of a run": EndKind,
    "path between entries": LinkPath,
}


def samples():
    """Yield name, codec, type, bytes and description of each sample."""
    for name, kind in RECORDS.items():
        codec = msgspec.json if kind["codec"] == "json" else msgspec.msgpack
        for sample in kind["samples"].values():
            yield name, codec, TYPES[name], bytes.fromhex(sample["hex"]), sample


ADDED_FIELDS = {
    ("job record", "progress"): ["crashes", "done_occurrences", "services"],
    ("state of the cell", None): ["data_centres"],
    ("state of a group", None): ["withdrawn"],
    ("workers as shown", None): ["is_evacuated"],
    ("registered worker", None): ["ColdLeftMs"],
    ("answer to a caller", None): ["retry_after_s"],
    ("settings of an entry", None): ["machine"],
}
"""Fields that earlier builds do not know; they are written only when they are set."""

ADDED_TYPES = {
    EvacuationSet: ("cell", "94a26465a3646331c311"),
    Withdrawn: (
        "job",
        "85a474797065a977697468647261776ea36a6f62a56a6f622d32a57175657565a171"
        "a47465616da174a561745f6d73cf0000018bcfe5680a",
    ),
}
"""Types that earlier builds do not know, each with a sample of the build that added it:
like those in the file, it must not change."""


class OldRecordsTest(unittest.TestCase):
    def test_each_sample_is_read_and_written_byte_for_byte(self):
        for name, codec, kind, raw, sample in samples():
            with self.subTest(name, tag=sample.get("tag")):
                self.assertEqual(codec.encode(codec.decode(raw, type=kind)), raw)

    def test_keys_and_tags_are_those_of_the_samples(self):
        for name, codec, kind, raw, sample in samples():
            with self.subTest(name, tag=sample.get("tag")):
                plain = codec.decode(raw)
                value = codec.decode(raw, type=kind)
                if isinstance(value, list):
                    self.assertEqual(len(value[0]._fields), len(plain[0]))
                    continue
                names = [f.encode_name for f in msgspec.structs.fields(value)]
                cfg = value.__struct_config__
                self.assertEqual(cfg.tag, sample.get("tag"))
                if cfg.array_like:
                    tags = 1 if "tag" in sample else 0
                    self.assertEqual(len(names) + tags, sample["length"])
                else:
                    self.assertEqual(cfg.tag_field, sample.get("tag_key"))
                    tags = [cfg.tag_field] if "tag" in sample else []
                    added = ADDED_FIELDS.get((name, cfg.tag), [])
                    self.assertEqual(tags + names, sample["keys"] + added)
                    self.assertEqual(list(plain), sample["keys"])

    def test_added_fields_are_left_out_until_they_are_set(self):
        seen = set()
        for name, codec, kind, raw, sample in samples():
            added = ADDED_FIELDS.get((name, sample.get("tag")), [])
            value = codec.decode(raw, type=kind)
            if added:
                fields = msgspec.structs.fields(value)
                attributes = {item.encode_name: item.name for item in fields}
            for field in added:
                with self.subTest(name, field=field):
                    self.assertNotIn(field, codec.decode(raw))
                    self.assertIs(getattr(value, attributes[field]), msgspec.UNSET)
                    seen.add((name, sample.get("tag")))
        self.assertEqual(seen, set(ADDED_FIELDS))

    def test_each_type_has_a_sample(self):
        self.assertEqual(set(TYPES), set(RECORDS))
        seen = {name: set() for name in TYPES}
        for name, codec, kind, raw, _ in samples():
            seen[name].add(type(codec.decode(raw, type=kind)))
        for name in set(TYPES) - {"known workers"}:
            with self.subTest(name):
                expected = get_args(TYPES[name]) or [TYPES[name]]
                self.assertEqual(seen[name], set(expected) - set(ADDED_TYPES))

    def test_added_types_are_read_and_written_byte_for_byte(self):
        unions = {"cell": union_of(CellRecord), "job": JobRecord}
        for kind, (union, sample) in ADDED_TYPES.items():
            with self.subTest(kind.__name__):
                raw = bytes.fromhex(sample)
                value = msgspec.msgpack.decode(raw, type=unions[union])
                self.assertIs(type(value), kind)
                self.assertEqual(msgspec.msgpack.encode(value), raw)

    def test_earlier_builds_read_a_withdrawal_as_a_cancellation(self):
        raw = msgspec.msgpack.encode(JobWithdrawn(7, "j", "kiln"))
        self.assertEqual(raw.hex(), "94a26a6307a16aa46b696c6e")
        earlier = union_of(WorkRecord)
        read = msgspec.msgpack.decode(raw, type=earlier)
        self.assertEqual(read, JobCancelled(7, "j"))

    def test_values_and_names_stay(self):
        values = {name: [item.value for item in enum] for name, enum in ENUMS.items()}
        self.assertEqual(values, DATA["values"])
        names = {
            "accepted": accepted_key("x"),
            "progress": progress_key("x"),
            "cancelled": cancelled_key("x"),
            "leader": LEADER_KEY,
            "fleet": FLEET_KEY,
            "entry": member_key("x"),
            "snapshot": snapshot_stream("x"),
            "heartbeat": HEARTBEAT.decode(),
            "failing heartbeat": FAILING_HEARTBEAT.decode(),
        }
        self.assertEqual(names, DATA["names"])
        self.assertEqual(withdrawn_key("x", "q", "t"), "d:x:23f05655f92ade53")
