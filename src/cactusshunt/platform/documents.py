"""Formats of the operators' configuration, upstream entries and engine reports."""

from __future__ import annotations

import re

from ipaddress import IPv4Address
from typing import TYPE_CHECKING
from typing import Annotated

import msgspec

from cactusshunt.exceptions import SettingsError
from cactusshunt.platform.customer_entries import CustomerEntry
from cactusshunt.platform.customer_entries import read_customers
from cactusshunt.schema.decoding import UNREADABLE_ERRORS

if TYPE_CHECKING:
    from cactusshunt.customers.customer import Customer

CONFIGURATION_KEY = "op/config"
OPERATOR_PREFIX = "op/"
UPSTREAMS_PREFIX = "servers/"
SYSTEM_PREFIX = "cactusshunt/"

IDEMPOTENT = "idempotent"
STREAMING = "streaming"
READY = "ready"


class WeightedService(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """One service of a route that splits its traffic, with its weight."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Target service and handling rules for requests with one host name and path prefix.

    ``priority`` is 0 (most urgent) to 9; ``attempts`` limits the attempts that may have run;
    ``can_resume`` says that upstreams continue streams after ``Last-Event-Id``; ``gap_aim_ms`` is
    the target for the longest gap between two events of a stream, 0 for none; ``public`` says that
    requests need no key.
    """

    name: str
    hostname: str
    prefix: str
    route_type: str = "non_idempotent"
    timeout_ms: float = 30_000
    target_latency_ms: float = 1_000
    priority: int = 5
    service: str = ""
    traffic_split: list[WeightedService] = []
    attempts: int = 1
    can_resume: bool = False
    gap_aim_ms: float = 0.0
    public: bool = False

    @property
    def caller_silence_timeout_ms(self) -> float:
        """Return after how many ms without an event, the first one included, callers disconnect."""
        return max(2_000.0, 4.0 * self.target_latency_ms, 8.0 * self.gap_aim_ms)

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.route_type == IDEMPOTENT

    @property
    def streams(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self.route_type == STREAMING


class ModelSpec(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """A model's size in MB and its load times in s.

    ``load_s`` is the time to load from the weight store, ``warm_s`` from the engine's main memory
    and ``disk_s`` from its disk; the last two default to ``load_s``.
    """

    name: str
    weights_size_mb: float
    load_s: float = 5.0
    warm_s: float | None = None
    disk_s: float | None = None
    adapters: int = 0
    adapter_mb: float = 0.0

    @property
    def adapter_names(self) -> tuple[str, ...]:
        """Return the names that the platform gives the model's adapters: a1, a2 and so on."""
        return tuple(f"a{number}" for number in range(1, self.adapters + 1))


class EngineSpec(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Capacity of each engine of a service, and its models.

    ``weights_size_mb`` is the memory for all weights, ``max_adapters`` the number of adapters
    loaded at once; ``loads_per_s`` is the rate of the weight store, for all engines together.
    ``slots`` and ``kv_capacity`` (tokens) are ignored.
    """

    slots: int = 1
    kv_capacity: float = 0
    weights_size_mb: float = 0.0
    max_adapters: int = 0
    loads_per_s: float = 1.0
    models: list[ModelSpec] = []


class Service(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """A pool of upstreams; ``engine`` is set for model engines; ``max_connections`` is ignored."""

    name: str
    max_connections: int = 100
    health_path: str = "/healthz"
    engine: EngineSpec | None = None


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Limits for callers; ``header_timeout_ms`` is for sending a whole request, its body too."""

    max_header_bytes: int = 32_768
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 10_000
    idle_timeout_ms: float = 60_000


class _Document(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """What the operators' configuration has in common as it is written and as it is used."""

    version: int
    routes: list[Route] = []
    services: list[Service] = []
    limits: CallerLimits = CallerLimits()

    @property
    def routed_services(self) -> frozenset[str]:
        """Return the services that requests may go to."""
        named = {route.service for route in self.routes if route.service}
        return frozenset(named | {part.service for r in self.routes for part in r.traffic_split})


class _WrittenConfiguration(_Document, frozen=True, kw_only=True, rename="camel"):
    """The operators' configuration with the customers' keys; it is not kept."""

    tenants: list[CustomerEntry] | None = None


class Configuration(_Document, frozen=True, kw_only=True):
    """One accepted version of the operators' configuration.

    ``customers`` is ``None`` if it has no list of customers: requests then need no key. With an
    empty list no key is known.
    """

    customers: tuple[Customer, ...] | None = None


# Bounds of what upstreams and other writers may say, far above what is usual. Beyond them a value
# could not be sent on to other VMs, or compared as a float.
Text = Annotated[str, msgspec.Meta(max_length=200)]
Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
MAX_LISTED = 4_096
_UPSTREAM_NAME = re.compile(r"[!-~]{1,200}")  # it becomes a header's value


class LoadedModel(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """A model in an engine's memory and its loaded adapters; ``version`` is ignored."""

    name: Text
    version: int = 0
    adapters: Annotated[list[Text], msgspec.Meta(max_length=MAX_LISTED)] = []


class CachedWeights(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Models whose weights an engine caches in main memory or on disk."""

    in_memory: Annotated[list[Text], msgspec.Meta(max_length=MAX_LISTED)] = []
    on_disk: Annotated[list[Text], msgspec.Meta(max_length=MAX_LISTED)] = []


class UpstreamEntry(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """State that an upstream publishes in the store.

    ``slots`` is how many requests run at once, ``born`` differs after each start of the upstream,
    ``version`` is that of its software, ``at_hand`` names cached weights and ``sequence`` counts
    accepted orders.
    """

    service: Text
    address: Text
    zone: Text = ""
    slots: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 1
    state: Text
    born: Count = 0
    version: Text | int | float | None = None
    models: Annotated[list[LoadedModel], msgspec.Meta(max_length=MAX_LISTED)] = []
    at_hand: CachedWeights = CachedWeights()
    sequence: Count = 0

    @property
    def software_version(self) -> str:
        """Return the version of the upstream's software, empty if the entry names none."""
        return "" if self.version is None else str(self.version)


class EngineReport(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """State that an engine reports on request, up to some hundred ms out of date.

    ``coming`` names what is being loaded; it is ignored.
    """

    models: Annotated[list[LoadedModel], msgspec.Meta(max_length=MAX_LISTED)] = []
    busy: bool = False
    sequence: Count = 0
    born: Count = 0
    at_hand: CachedWeights = CachedWeights()
    coming: list[str] = []


def decode_configuration(value: bytes) -> Configuration:
    """Decode the operators' configuration; raises ``SettingsError``."""
    try:
        written = msgspec.json.decode(value, type=_WrittenConfiguration, strict=False)
        customers = read_customers(written.tenants)
    except UNREADABLE_ERRORS as error:
        raise SettingsError(
            reason=f"{error}.",
            remedy="Correct it; the version in force stays.",
            path=CONFIGURATION_KEY,
            line=0,
        ) from error
    return Configuration(
        version=written.version,
        routes=written.routes,
        services=written.services,
        limits=written.limits,
        customers=customers,
    )


def decode_upstream_entry(value: bytes) -> UpstreamEntry | None:
    """Decode an upstream's entry; returns ``None`` if it is malformed."""
    try:
        entry = msgspec.json.decode(value, type=UpstreamEntry)
    except UNREADABLE_ERRORS:
        return None
    names_engine = _is_address(entry.address) and entry.state in (READY, "draining")
    return entry if names_engine else None


def is_upstream_name(name: str) -> bool:
    """Return whether a name under ``UPSTREAMS_PREFIX`` can be that of an upstream."""
    return _UPSTREAM_NAME.fullmatch(name) is not None


def _is_address(address: str) -> bool:
    """Return whether a text is the ``IP:PORT`` of a host, with an IPv4 address."""
    host, _, port = address.rpartition(":")
    try:
        ip = IPv4Address(host)
    except ValueError:
        return False
    is_port = port.isascii() and port.isdigit() and len(port) <= 5 and 0 < int(port) < 65_536
    return is_port and not (ip.is_unspecified or ip.is_multicast)


def decode_report(value: bytes) -> EngineReport | None:
    """Decode an engine's report; returns ``None`` if it is malformed."""
    try:
        return msgspec.json.decode(value, type=EngineReport, strict=False)
    except UNREADABLE_ERRORS:
        return None
