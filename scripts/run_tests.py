"""Run all unit tests and doctests.

Tests listed in ``KNOWN-RED.txt`` are run too; their failures are printed and do not
fail the run. A listed test that passes or is not run does fail it, so that the list
stays up to date.
"""

import doctest
import importlib
import pkgutil
import sys
import time
import unittest
from pathlib import Path

import pimentomill

__all__ = ["main"]

ROOT = Path(__file__).resolve().parent.parent
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
TEST_PREFIX = "test: "
FOLDERS = ("pimentomill", "proofs", "tests")


def load_known_failures() -> set[str]:
    """Return the ids of the tests listed as known failures."""
    if not KNOWN_FAILURES_FILE.exists():
        return set()
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    return {
        line[len(TEST_PREFIX) :].strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    }


def load_doctests() -> unittest.TestSuite:
    """Return the docstring examples of all modules as tests."""
    suite = unittest.TestSuite()
    for info in pkgutil.walk_packages(pimentomill.__path__, "pimentomill."):
        if ".tests" in info.name or info.name.endswith("__main__"):
            continue
        module = importlib.import_module(info.name)
        suite.addTests(doctest.DocTestSuite(module))
    return suite


def main() -> int:
    """Run the tests and return the exit code."""
    started = time.monotonic()
    loader = unittest.TestLoader()
    suite = unittest.TestSuite()
    for folder in FOLDERS:
        tests = loader.discover(str(ROOT / folder), top_level_dir=str(ROOT))
        suite.addTests(tests)
    suite.addTests(load_doctests())
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    return print_result(result, time.monotonic() - started)


def print_result(result: unittest.TestResult, seconds: float) -> int:
    """Print the summary and return the exit code."""
    failed = {test.id() for test, _ in [*result.failures, *result.errors]}
    known = load_known_failures()
    for test in sorted(failed & known):
        print(f"known red: {test}")
    fixed = sorted(known - failed)
    for test in fixed:
        print(f"listed as red, but passed or was not run: {test}")
    unexpected = failed - known
    passed = result.testsRun - len(failed)
    print(f"{seconds:.0f} s")
    print(f"{passed} passed, {len(unexpected)} failed")
    return 1 if unexpected or fixed else 0


if __name__ == "__main__":
    sys.exit(main())
