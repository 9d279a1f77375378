"""Command line of the proof of authority."""

import argparse
import contextlib
import sys
import time

import msgspec

from ._costs import COSTS, measure
from ._mutations import MUTATIONS
from ._run import run_scenario, run_seed
from ._scenarios import SCENARIOS


def main() -> int:
    """Run seeds, print a JSON line for each, and return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m proofs.authority")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--trace", action="store_true", help="print logs of failures")
    parser.add_argument("--scenario", choices=sorted(SCENARIOS))
    parser.add_argument("--costs", action="store_true", help="measure outages")
    parser.add_argument("--mutation", choices=sorted(MUTATIONS))
    args = parser.parse_args()
    mutated = MUTATIONS[args.mutation] if args.mutation else contextlib.nullcontext
    if args.costs:
        return print_costs(range(args.seed, args.seed + args.seeds))
    code = 0
    for seed in range(args.seed, args.seed + args.seeds):
        started = time.perf_counter()
        with mutated():
            result = (
                run_scenario(args.scenario, seed)
                if args.scenario
                else run_seed(seed, args.seconds)
            )
        took = time.perf_counter() - started
        trace, result.trace = result.trace, []
        print(msgspec.json.encode(result).decode(), f"{took:.2f} s", flush=True)
        if args.trace and trace:
            print(*trace, sep="\n", flush=True)
        code = code or int(bool(result.failures))
    return code


def print_costs(seeds: range) -> int:
    """Print what each outage costs, and return the exit code."""
    costs = [measure(name, seed) for name in COSTS for seed in seeds]
    for cost in costs:
        print(msgspec.json.encode(cost).decode(), flush=True)
    return int(any(cost.failures for cost in costs))


if __name__ == "__main__":
    sys.exit(main())
