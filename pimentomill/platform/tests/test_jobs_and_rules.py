import json
import tempfile
import unittest
from pathlib import Path

from pimentomill.catalog import EvacuationRequest
from pimentomill.dispatch.tests.samples import queue
from pimentomill.exceptions import SettingsError, ValidationError
from pimentomill.ingress import Machine
from pimentomill.jobs import Accepted, JobState, encode_record
from pimentomill.platform._jobs import decode_job, encode_state, encode_waiting
from pimentomill.platform._rules import decode_rule, decode_rules
from pimentomill.platform._settings import load_node_file
from pimentomill.utils import Resources

from .odd_shapes import odd_json_records

NODE_FILE = """
NodeName = "edge-golfo-a-1"
Zone = "golfo-a"
Ip = "10.1.0.5"
Advice = "10.200.1.9:8683"
NewField = 3
[ListenAddrs]
Front = "10.1.0.5:8686"
Ready = "10.1.0.5:8689"
Control = "10.1.0.5:8688"
[Bounds]
GraceS = 6
RevokeMs = 5000
[platform]
Address = "10.200.1.7:8683"
"""


class TestJobs(unittest.TestCase):
    def decode(self, *steps, **fields):
        job = {"Spec": "x", "Steps": list(steps), **fields}
        return decode_job(json.dumps(job).encode())

    # Guards against a job that is answered with 500, as it can be decoded but not
    # stored, and against a body that ends the request without an answer.
    def test_an_odd_job_is_rejected_or_can_be_stored(self):
        step = {"Count": 1, "Cpu": 1, "EstimateMs": 1, "DependsOn": [], "MayMiss": 1}
        job = {"Spec": "x", "Steps": [step], "Times": 1, "StartAtMs": 1}
        rejected = 0
        for name, body in odd_json_records(job).items():
            with self.subTest(name):
                try:
                    spec = decode_job(body)
                except ValidationError:
                    rejected += 1
                    continue
                encode_record(Accepted("a" * 16, queue(), "t", spec, 0))
        self.assertGreater(rejected, 100)
        with self.assertRaises(ValidationError):
            self.decode({"Cpu": 2**70})

    # Guards against a body that ends the request without an answer, and against
    # settings that are skipped without a reason.
    def test_deeply_nested_values_are_rejected(self):
        nested = b"[" * 200_000 + b"]" * 200_000
        with self.assertRaises(ValidationError):
            decode_job(b'{"Steps":[{}],"Odd":' + nested + b"}")
        self.assertIsNone(decode_rules(b'{"Version":1,"Odd":' + nested + b"}"))

    def test_each_field_of_a_step(self):
        wire = {
            "Count": 4,
            "Cpu": 500,
            "MemMb": 256,
            "Gpu": 1,
            "EstimateMs": 900,
            "Affinity": "r1-3",
            "AntiAffinity": 2,
            "Requires": "a",
            "Gang": True,
            "LongRunning": True,
            "Fills": True,
            "TargetMs": 80,
            "MayMiss": 1,
        }
        step = self.decode(wire).steps[0]
        self.assertEqual(step.need, Resources(500, 256, 1))
        self.assertEqual(step.reserved, Resources(0, 256, 1))
        self.assertEqual((step.data_rack, step.required_label), ("r1-3", "a"))
        self.assertEqual((step.max_per_worker, step.tail_target_ms), (2, 80))
        self.assertTrue(step.gang and step.long_running)
        self.assertEqual(step.max_unavailable, 1)

    def test_a_scheduled_job(self):
        spec = self.decode({"Count": 1}, Times=3, StartAtMs=1000, IntervalMs=50)
        self.assertEqual(spec.due_ms(2), 1100)

    def test_rejection_names_the_field(self):
        cases = (
            ((), "Steps"),
            (({"Count": 0},), "Count"),
            (({"Count": 1, "DependsOn": [0]},), "DependsOn"),
            (({"Count": 1, "Cpu": -1},), "negative"),
            (({"Count": "x"},), "Count"),
        )
        for steps, word in cases:
            with self.assertRaisesRegex(ValidationError, word):
                self.decode(*steps)
        with self.assertRaises(ValidationError):
            decode_job(b"{")

    def test_answers(self):
        self.assertEqual(encode_state(JobState.RUNNING), b'{"State":"running"}')
        self.assertEqual(encode_waiting(12), b'{"Waiting":12}')


class TestRules(unittest.TestCase):
    def test_a_configuration(self):
        wire = {
            "Version": 7,
            "Routes": [
                {
                    "Name": "r",
                    "Host": "Ficu.example",
                    "PathPrefix": "/p/",
                    "Service": "s",
                    "Priority": 2,
                    "MaxAttempts": 2,
                    "Stretch": 4.0,
                    "TargetLatencyMs": 3000,
                    "Advice": {"DecideMs": 240.0, "EachMs": 2.0, "ValidMs": 2000},
                }
            ],
            "Services": [{"Name": "s"}],
            "Limits": {"MaxBodyBytes": 100},
            "Tenants": [{"Name": "t", "ApiKeys": ["k1", "k2"], "MaxCount": {"Cpu": 5}}],
        }
        catalog = decode_rules(json.dumps(wire).encode())
        queue = catalog.route("ficu.example", "/p/1")
        self.assertEqual(queue.placement_policy.query_duration_ms(10), 260.0)
        self.assertEqual(catalog.keys, {"k1": "t", "k2": "t"})
        self.assertEqual(catalog.teams["t"].limit, Resources(5, 0, 0))
        self.assertEqual(catalog.limits.body_bytes, 100)

    def test_invalid_configurations_are_ignored(self):
        for value in (b"", b"\xff", b'{"Routes":[]}', b'{"Version":"7"}'):
            self.assertIsNone(decode_rules(value))

    def test_an_evacuation_lasts_while_its_record_has_a_value(self):
        for value, is_active in ((b"{}", True), (b"\xff", True), (b"", False)):
            request = decode_rule("evacuate/z1", value)
            self.assertEqual(request, EvacuationRequest("z1", is_active))
        for key in ("evacuate/", "evacuate", "z1", ""):
            self.assertIsNone(decode_rule(key, b"{}"))
        self.assertEqual(decode_rule("config", b'{"Version":7}').version, 7)


class TestNodeFile(unittest.TestCase):
    def load(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.toml"
            path.write_text(text)
            return load_node_file(path)

    def test_complete_file_with_unknown_fields(self):
        cfg = self.load(NODE_FILE)
        self.assertEqual(cfg.node, "edge-golfo-a-1")
        self.assertEqual(cfg.listen.entries, "10.1.0.5:8688")
        self.assertEqual(cfg.bounds.key_revocation_ms, 5000)
        self.assertEqual(cfg.limits.cores, 1.0)

    def test_cores_are_share_times_core_speed(self):
        cfg = self.load(NODE_FILE + "[Limits]\nCpuShare = 0.5\nCores = 3\n")
        self.assertEqual(cfg.limits.cores, 1.5)

    def test_machine_of_the_instance(self):
        cfg = self.load(NODE_FILE + "[Limits]\nMemoryMb = 160\nMaxFds = 1638\n")
        self.assertEqual(cfg.limits.machine, Machine(160, 1638))
        self.assertEqual(self.load(NODE_FILE).limits.machine, Machine())

    def test_errors_name_the_field(self):
        for field, value in (("MemoryMb", 0), ("MaxFds", 200)):
            with self.assertRaisesRegex(SettingsError, rf"Limits\.{field}"):
                self.load(NODE_FILE + f"[Limits]\n{field} = {value}\n")
        with self.assertRaisesRegex(SettingsError, "NodeName"):
            self.load(NODE_FILE.replace("NodeName", "Other"))
        wrong = NODE_FILE.replace("RevokeMs = 5000", 'RevokeMs = "soon"')
        with self.assertRaisesRegex(SettingsError, r"Bounds\.RevokeMs"):
            self.load(wrong)
        with self.assertRaisesRegex(SettingsError, "not TOML"):
            self.load("=")
        with self.assertRaisesRegex(SettingsError, "can't be read"):
            load_node_file("/nowhere/node.toml")
