"""Run all benchmarks, or those named on the command line."""

import sys

from benchmarks import (
    authority,
    callers,
    configuration,
    planner,
    slopes,
    takeover,
    whole_path,
)

MODULES = {
    "slopes": slopes,
    "whole_path": whole_path,
    "configuration": configuration,
    "takeover": takeover,
    "planner": planner,
    "authority": authority,
    "callers": callers,
}


def main() -> None:
    """Run the selected benchmarks."""
    for name in sys.argv[1:] or MODULES:
        MODULES[name].run()


main()
