"""Messages that VMs send each other as datagrams, encoded as MessagePack arrays."""

from __future__ import annotations

import msgspec

from cactusshunt.schema.decoding import UNREADABLE_ERRORS


class EngineWork(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One VM's unfinished work at one upstream.

    ``pending`` counts, by priority, the uncached prompt tokens of requests without a first token;
    ``running`` counts requests; ``tokens_per_s`` is the prefill rate that the VM measured, 0 if
    none; ``long_streams`` counts streams that take longer than their latency objective.
    ``work_percent`` is how long work took at the upstream's machine according to its latest answer
    to the VM, 0 if it did not say so of late, and ``work_percent_age_ms`` the time since then.
    """

    upstream: str
    running: int
    pending: dict[int, int] = {}
    tokens_per_s: int = 0
    long_streams: int = 0
    work_percent: int = 0
    work_percent_age_ms: int = 0


class ItemDemand(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One VM's demand for one model or ``model/adapter``.

    ``tokens_per_ms`` is the current rate of prompt tokens; ``waiting`` counts requests that wait
    until the item is loaded; ``total_requests`` counts requests since the VM's process started.
    """

    service: str
    item: str
    tokens_per_ms: float
    waiting: int
    total_requests: int


class AnswerTime(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """How long one response took at an upstream, which VMs with a hedging share report.

    ``size_class`` and ``streams`` are those of ``requests.hedging.Kind``; ``age_ms`` is the time
    since the response. ``number`` is larger than those of the VM's earlier responses, also after
    a restart, so that a receiver recognises a duplicate.
    """

    service: str
    size_class: int
    streams: bool
    upstream: str
    took_ms: int
    age_ms: int
    number: int


class Status(msgspec.Struct, frozen=True, kw_only=True, tag="s", array_like=True):
    """One VM's work at upstreams, which it reports to other VMs several times a second.

    ``status_number`` increases with each report, so that a receiver recognises a duplicate;
    ``store_silent_ms`` is the time since the platform's store last answered the VM;
    ``configuration_version`` is the version in force, 0 from VMs that don't report it;
    ``reached_services`` maps services of which the VM heard of late to the milliseconds since then;
    ``answer_times`` is empty without a hedging share, and from VMs that don't report it.
    """

    vm: str
    status_number: int
    store_silent_ms: int
    work: list[EngineWork]
    configuration_version: int = 0
    reached_services: dict[str, int] = {}
    answer_times: list[AnswerTime] = []


class ZoneWork(msgspec.Struct, frozen=True, kw_only=True, tag="z", array_like=True):
    """The work of all VMs of one availability zone at upstreams, sent by one of them to others.

    ``age_ms`` is the mean age of the reports in it, ``summary_number`` increases with each summary
    of a VM. With ``forward_in_zone`` as in ``PlacementUpdate``.
    """

    vm: str
    zone: str
    summary_number: int
    age_ms: int
    work: list[EngineWork]
    forward_in_zone: bool = False


class DemandReport(msgspec.Struct, frozen=True, kw_only=True, tag="d", array_like=True):
    """Demand of one VM's callers, reported to the order holder."""

    vm: str
    items: list[ItemDemand]


class EngineItems(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Models, with their adapters, that one engine holds according to the order holder.

    ``born`` is the start of the engine as its store entry gives it; ``update_number`` orders the
    updates of one holder; ``coming`` gives, for each item that is being loaded, the milliseconds
    until it is expected.
    """

    upstream: str
    born: int
    update_number: int
    models: dict[str, list[str]]
    coming: dict[str, int]


class PlannedLoads(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Items of a service whose loads the order holder will order later.

    ``update_number`` orders the updates of one holder; ``ready_in_ms`` gives the milliseconds until
    each item is expected, and replaces that of earlier updates.
    """

    service: str
    update_number: int
    ready_in_ms: dict[str, int]


class PlacementUpdate(msgspec.Struct, frozen=True, kw_only=True, tag="p", array_like=True):
    """The order holder's update on engines whose items changed, and on planned loads.

    ``token`` is the holder's fencing token; each new holder has a larger one. A receiver of an
    update with ``forward_in_zone`` forwards it to the VMs of its zone, with the flag cleared.
    """

    vm: str
    token: int
    engines: list[EngineItems]
    forward_in_zone: bool = False
    planned_loads: list[PlannedLoads] = []


class UpstreamLimit(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The request limit of an upstream, as a VM knows it.

    ``born`` is the start of the upstream as its store entry gives it; ``per_s`` is the limit in
    requests a second, ``None`` if it was lifted; ``source`` is the VM whose answer showed it, and
    ``age_ms`` the time since the latest answer that did.
    """

    upstream: str
    born: int
    per_s: float | None
    source: str
    age_ms: int


class LimitReport(msgspec.Struct, frozen=True, kw_only=True, tag="l", array_like=True):
    """Request limits that one VM knows; with ``forward_in_zone`` as in ``PlacementUpdate``."""

    vm: str
    limits: list[UpstreamLimit]
    forward_in_zone: bool = False


class UpstreamDemand(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One VM's requests that wait for permits of a limited upstream, by priority.

    With ``delegates`` the receiver also issues permits for the VM's share of the limit.
    """

    limit: UpstreamLimit
    delegates: bool
    waiting: dict[int, int] = {}


class PermitRequest(msgspec.Struct, frozen=True, kw_only=True, tag="q", array_like=True):
    """What one VM asks of the issuer of permits; ``request_number`` is never used again."""

    vm: str
    request_number: int
    demands: list[UpstreamDemand]


class UpstreamPermits(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Permits for one upstream, and what determines how soon there are more.

    ``waiting_elsewhere`` counts the waiting requests of other VMs by priority, ``asking_vms`` the
    VMs that asked of late; ``saved`` permits may be issued at once, ``per_s`` more each second.
    """

    upstream: str
    count: int
    per_s: float
    saved: float
    asking_vms: int
    waiting_elsewhere: dict[int, int] = {}


class PermitGrant(msgspec.Struct, frozen=True, kw_only=True, tag="g", array_like=True):
    """Permits that answer a ``PermitRequest`` of the receiver.

    ``grant_number`` increases with each grant of an issuer, so that a receiver recognises a
    duplicate. The permits end a fixed time after the receiver sent that request.
    """

    vm: str
    grant_number: int
    request_number: int
    permits: list[UpstreamPermits]


class QuotaAsk(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A request of a customer that waits for credit; ``number`` is its own among those of its VM.

    It is refused unless it gets ``amount`` within ``wait_ms``; 0 is the most urgent ``priority``.
    """

    customer: str
    number: int
    priority: int
    amount: int
    wait_ms: int


class QuotaRequest(msgspec.Struct, frozen=True, kw_only=True, tag="t", array_like=True):
    """What one VM asks of the issuer of some groups of customers.

    ``groups`` tells, for each group, whether the receiver also gets the VM's shares of its quotas;
    ``asks`` are all requests of the VM that wait for credit of customers in these groups.
    ``request_number`` is never used again, and larger than in the VM's earlier messages.
    ``probes`` wants an answer without asking for credit. ``vms`` is how many VMs have a share as
    far as the sender knows, 0 in messages of earlier builds.
    """

    vm: str
    request_number: int
    groups: dict[int, bool]
    asks: list[QuotaAsk] = []
    probes: bool = False
    vms: int = 0


class QuotaGrant(msgspec.Struct, frozen=True, kw_only=True, tag="u", array_like=True):
    """The answer to a ``QuotaRequest``: which of its requests get credit, and which are refused.

    The credit ends a fixed time after the receiver sent the request. ``granted`` lists numbers of
    ``QuotaAsk``; ``refused`` maps them to the ms after which the caller should return. Other
    requests go on waiting.
    """

    vm: str
    request_number: int
    granted: list[int] = []
    refused: dict[int, int] = {}


class QuotaDoubt(msgspec.Struct, frozen=True, kw_only=True, tag="w", array_like=True):
    """Says that an issuer of quotas does not answer a VM; the receivers ask it themselves."""

    vm: str
    issuer: str


class CrashReport(msgspec.Struct, frozen=True, kw_only=True, tag="c", array_like=True):
    """Parts of the requests that an engine had not answered to one VM when it crashed.

    ``born`` and ``version`` are those of the engine's entry; ``age_ms`` is the time since the
    crash. ``alive`` takes reports on this run of the engine back: it has answered since. With
    ``forward_in_zone`` as in ``PlacementUpdate``.
    """

    vm: str
    service: str
    upstream: str
    born: int
    version: str
    age_ms: int
    parts: list[str]
    alive: bool = False
    forward_in_zone: bool = False


class CrashQuestion(msgspec.Struct, frozen=True, kw_only=True, tag="x", array_like=True):
    """Asks whether an engine crashed whose connection broke while a VM's links may be cut.

    ``parts`` are those of the requests that the engine had not answered to the VM. Who finds that
    it crashed reports it with them; else there is no answer. The other fields are as in
    ``CrashReport``.
    """

    vm: str
    service: str
    upstream: str
    born: int
    version: str
    parts: list[str]


class PartReport(msgspec.Struct, frozen=True, kw_only=True, tag="a", array_like=True):
    """What one VM knows or does about parts of prompts to a service.

    ``completed`` gives the milliseconds since the last completed answer on a part; ``claimed`` and
    ``released`` are parts that the VM sends a single request with, or no longer; ``questioned``
    are parts that it will convict unless another VM had an answer on them. With
    ``forward_in_zone`` as in ``PlacementUpdate``.
    """

    vm: str
    service: str
    completed: dict[str, int] = {}
    claimed: list[str] = []
    released: list[str] = []
    questioned: list[str] = []
    forward_in_zone: bool = False


class ConvictedPart(msgspec.Struct, frozen=True, kw_only=True, tag="v", array_like=True):
    """A part that crashes engines; ``left_ms`` is the time until it may be probed again.

    ``engines`` names those that crashed and ``versions`` their software; ``crash_age_ms`` is the
    time since the last crash. With ``forward_in_zone`` as in ``PlacementUpdate``.
    """

    vm: str
    service: str
    part: str
    engines: list[str]
    versions: list[str]
    left_ms: int
    crash_age_ms: int
    forward_in_zone: bool = False


class UpstreamNotice(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What one run of an upstream said of itself in an answer to some VM.

    ``born`` is the start of the run as the upstream's store entry gives it. ``leaving_ms`` is the
    time since a VM learned that the run leaves, ``None`` if it does not; ``pause_ms`` the time for
    which it wants no request, 0 if it has not asked for a pause.
    """

    upstream: str
    born: int
    leaving_ms: int | None = None
    pause_ms: int = 0


class NoticeReport(msgspec.Struct, frozen=True, kw_only=True, tag="n", array_like=True):
    """What upstreams said of themselves; with ``forward_in_zone`` as in ``PlacementUpdate``."""

    vm: str
    notices: list[UpstreamNotice]
    forward_in_zone: bool = False


class EntryState(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What the store says of one run of an upstream, and the revision at which it does.

    ``born`` is the start of the run as its entry gives it; ``state`` is that of the entry, empty if
    the entry was removed.
    """

    upstream: str
    born: int
    revision: int
    state: str


class EntryReport(msgspec.Struct, frozen=True, kw_only=True, tag="e", array_like=True):
    """Upstreams that left or came back, as a VM read in the store.

    ``era`` is that of the revisions. With ``forward_in_zone`` as in ``PlacementUpdate``.
    """

    vm: str
    era: int
    entries: list[EntryState]
    forward_in_zone: bool = False


class StopQuestion(msgspec.Struct, frozen=True, kw_only=True, tag="k", array_like=True):
    """A new order holder asks a former one whether it has stopped; the answer goes to the address.

    ``token`` is the fencing token of the new holder.
    """

    vm: str
    token: int
    address: str
    port: int


class StopAnswer(msgspec.Struct, frozen=True, kw_only=True, tag="o", array_like=True):
    """A VM sends no orders by an election before that of ``token``, and never will."""

    vm: str
    token: int


Message = (
    Status
    | ZoneWork
    | DemandReport
    | PlacementUpdate
    | LimitReport
    | PermitRequest
    | PermitGrant
    | QuotaRequest
    | QuotaGrant
    | QuotaDoubt
    | CrashReport
    | CrashQuestion
    | PartReport
    | ConvictedPart
    | NoticeReport
    | EntryReport
    | StopQuestion
    | StopAnswer
)
# Sent to all VMs, in a large fleet by forwarders.
Broadcast = (
    PlacementUpdate
    | LimitReport
    | CrashReport
    | PartReport
    | ConvictedPart
    | NoticeReport
    | EntryReport
    | ZoneWork
)
_decoder = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


def encode_message(message: Message) -> bytes:
    """Return a message as the bytes of one datagram.

    Without response times, a status report has the bytes of an earlier build's: an array without
    its last field.
    """
    if isinstance(message, Status) and not message.answer_times:
        tag = message.__struct_config__.tag
        return _encoder.encode((tag, *msgspec.structs.astuple(message)[:-1]))
    return _encoder.encode(message)


def decode_message(data: bytes) -> Message | None:
    """Return the message, or ``None`` if the bytes are no valid message."""
    try:
        return _decoder.decode(data)
    except UNREADABLE_ERRORS:
        return None
