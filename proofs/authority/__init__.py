"""Proof that a replaced leader and its successors start no task in two places.

The product's entries run unchanged on one event loop in simulated time: `CellNode` with
its election, leader, leases and calls. The store, the workers and the network are
models. Clocks drift, processes pause and end, and cuts separate them.
"""

from ._cell import NO_LEASE_OUTLASTS, NO_TASK_TWICE, Cell, CellShape
from ._costs import POWER_LOSS_S, measure
from ._mutations import MUTATIONS
from ._network import NetworkPlan
from ._run import AuthorityResult, run_scenario, run_seed
from ._scenarios import SCENARIOS

__all__ = [
    "MUTATIONS",
    "NO_LEASE_OUTLASTS",
    "NO_TASK_TWICE",
    "POWER_LOSS_S",
    "SCENARIOS",
    "AuthorityResult",
    "Cell",
    "CellShape",
    "NetworkPlan",
    "measure",
    "run_scenario",
    "run_seed",
]
