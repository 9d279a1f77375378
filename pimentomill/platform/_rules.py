"""Operators' configuration in the form in which the platform publishes it."""

import msgspec

from ..catalog import (
    Catalog,
    EvacuationRequest,
    PlacementPolicy,
    Queue,
    RequestLimits,
    Team,
)
from ..telemetry import ComponentLogger
from ._numbers import Milliseconds, WholeNumber
from ._workers import WireCapacity

__all__ = ["decode_rule", "decode_rules"]

CONFIG_KEY = "config"
EVACUATION_PREFIX = "evacuate/"

_log = ComponentLogger("rules")


class WirePlacementPolicy(msgspec.Struct):
    """Duration of a query to the placement policy of a queue."""

    decide_ms: Milliseconds = msgspec.field(name="DecideMs", default=0.0)
    per_worker_ms: Milliseconds = msgspec.field(name="EachMs", default=0.0)
    valid_ms: WholeNumber = msgspec.field(name="ValidMs", default=1000)


class WireRoute(msgspec.Struct):
    """A route, the platform's term for a queue."""

    name: str = msgspec.field(name="Name")
    host: str = msgspec.field(name="Host")
    path_prefix: str = msgspec.field(name="PathPrefix")
    service: str = msgspec.field(name="Service")
    priority: WholeNumber = msgspec.field(name="Priority", default=0)
    max_attempts: WholeNumber = msgspec.field(name="MaxAttempts", default=1)
    stretch: float = msgspec.field(name="Stretch", default=1.0)
    # Added to the stretched critical path; not a bound on the latency of one answer.
    target_ms: WholeNumber = msgspec.field(name="TargetLatencyMs", default=1000)
    timeout_ms: WholeNumber = msgspec.field(name="TimeoutMs", default=3000)
    public: bool = msgspec.field(name="Public", default=False)
    placement_policy: WirePlacementPolicy | None = msgspec.field(
        name="Advice", default=None
    )

    def to_queue(self) -> Queue:
        """Convert to the internal form."""
        wire_policy = self.placement_policy
        policy = (
            PlacementPolicy(
                wire_policy.decide_ms, wire_policy.per_worker_ms, wire_policy.valid_ms
            )
            if wire_policy is not None
            else None
        )
        return Queue(
            self.name,
            self.host.lower(),
            self.path_prefix,
            self.service,
            self.priority,
            self.max_attempts,
            self.stretch,
            self.target_ms,
            self.timeout_ms,
            self.public,
            policy,
        )


class WireTenant(msgspec.Struct):
    """A tenant, the platform's term for a team."""

    name: str = msgspec.field(name="Name")
    keys: list[str] = msgspec.field(name="ApiKeys", default_factory=list)
    # Jobs per second that the team is entitled to when the cell is full.
    weight: float = msgspec.field(name="Weight", default=1.0)
    # Limit on the resources in use, not on the number of tasks.
    limit: WireCapacity = msgspec.field(
        name="MaxCount", default_factory=lambda: WireCapacity()
    )


class WireService(msgspec.Struct):
    """A pool of workers."""

    name: str = msgspec.field(name="Name")


class WireLimits(msgspec.Struct):
    """Limits of callers' requests."""

    header_bytes: WholeNumber = msgspec.field(name="HeaderBytes", default=16384)
    body_bytes: WholeNumber = msgspec.field(name="MaxBodyBytes", default=262144)
    header_timeout_ms: WholeNumber = msgspec.field(name="HeaderTimeoutMs", default=3000)
    idle_timeout_ms: WholeNumber = msgspec.field(name="IdleTimeoutMs", default=15000)


class WireConfig(msgspec.Struct):
    """The whole configuration."""

    version: WholeNumber = msgspec.field(name="Version")
    routes: list[WireRoute] = msgspec.field(name="Routes", default_factory=list)
    services: list[WireService] = msgspec.field(name="Services", default_factory=list)
    tenants: list[WireTenant] = msgspec.field(name="Tenants", default_factory=list)
    limits: WireLimits = msgspec.field(
        name="Limits", default_factory=lambda: WireLimits()
    )


def decode_rule(key: str, value: bytes) -> Catalog | EvacuationRequest | None:
    """Decode a record that operators have written.

    An evacuation lasts for as long as its record has a value, whatever the value is: to
    ignore one that can't be decoded would start runs where operators forbid them.

    Returns
    -------
    Catalog or EvacuationRequest or None
        None if the record is invalid or of another kind.
    """
    if key == CONFIG_KEY:
        return decode_rules(value) if value else None
    data_centre = key.removeprefix(EVACUATION_PREFIX)
    if data_centre and data_centre != key:
        return EvacuationRequest(data_centre, bool(value))
    return None


def decode_rules(value: bytes) -> Catalog | None:
    """Decode a published configuration; return None if it is invalid."""
    try:
        wire = msgspec.json.decode(value, type=WireConfig)
    except (msgspec.DecodeError, RecursionError) as exc:
        _log.warning("Configuration ignored", key=CONFIG_KEY, why=str(exc))
        return None
    teams = [
        Team(tenant.name, tenant.weight, tenant.limit.to_resources())
        for tenant in wire.tenants
    ]
    keys = {key: tenant.name for tenant in wire.tenants for key in tenant.keys}
    limits = RequestLimits(
        wire.limits.header_bytes,
        wire.limits.body_bytes,
        wire.limits.header_timeout_ms,
        wire.limits.idle_timeout_ms,
    )
    return Catalog(
        wire.version,
        [route.to_queue() for route in wire.routes],
        teams,
        keys,
        [service.name for service in wire.services],
        limits,
    )
