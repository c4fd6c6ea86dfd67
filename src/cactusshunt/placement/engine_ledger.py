"""What the holder of the right to order knows of one engine, from its own orders and reports."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from cactusshunt.placement.fleet_state import EngineState

if TYPE_CHECKING:
    from cactusshunt.placement.fleet_state import PlannedOrder
    from cactusshunt.platform.documents import EngineEntry
    from cactusshunt.platform.documents import EngineReport

ENTRY_LAG_S = 3.0  # engines write to the store about every second, seen up to a second later
REPORT_LAG_S = 0.14  # engines report their state as it was a tenth of a second ago
REPORT_STEP_S = 0.06  # between two reports while an order is under way
UNLOAD_S = 0.1  # usual time of an unload that waits for no request
ASK_AGAIN_S = 0.05  # between two tries of an order while the one before is under way
ASK_FOR_S = 0.6  # after which an order under way is followed by reports instead
LATE_S = 1.0  # by which a load may be late before it is no longer expected
RESERVATION_S = 6.0  # an unload waits for the runs of its model, streams of seconds
ADAPTER_READY_S = 0.02  # twice the usual time of an adapter's load


@dataclass(kw_only=True)
class EngineLedger:
    """State of one start of an engine; mutable, owned by the order task.

    ``report_due_at`` is the steady-clock time at which the engine is asked again, ``None`` if
    nothing is open. Reports lag, orders don't: ``confirm_due_at`` is when the load of ``loading``
    is ordered once more, which the engine answers as done once it holds the model. ``models``
    counts items that are on their way as held; ``planned`` tells when models that are to be
    ordered next should serve.
    """

    name: str
    born: int
    sequence: int = -1
    models: dict[str, set[str]] = field(default_factory=dict)
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    known: bool = False
    busy: bool = False
    calling: bool = False
    busy_since: float | None = None
    busy_until: float = 0.0
    report_due_at: float | None = 0.0
    confirm_due_at: float | None = None
    loading: str | None = None
    rests_until: float = 0.0
    coming: dict[str, float] = field(default_factory=dict)
    loaded_at: dict[str, float] = field(default_factory=dict)
    reserved_for: str | None = None
    reserved_until: float = 0.0
    changed: bool = True
    accepted_at: float = -1e9
    compared: set[str] | None = None
    planned: dict[str, float] = field(default_factory=dict)
    unanswered_at: float = -1e9

    def can_take_order(self, now: float) -> bool:
        """Tell whether the state is known and no order is open."""
        return (
            self.known
            and not self.busy
            and not self.calling
            and self.report_due_at is None
            and self.confirm_due_at is None
            and now >= self.rests_until
        )

    def apply_store_entry(self, entry: EngineEntry, now: float) -> None:
        """Compare with what the engine wrote into the store; ask it where they differ."""
        if entry.born != self.born:
            self.born = entry.born
            self.sequence = -1
            self.models = {}
            self.coming = {}
            self.known = False
            self.busy = False
            self.report_due_at = now
            self.confirm_due_at = None
            self.loading = None
            self.changed = True
            return
        told = {model.name for model in entry.models}
        settled = self.known and not self.busy and self.report_due_at is None
        if settled and told != set(self.models) and now - self.accepted_at > ENTRY_LAG_S:
            if self.compared != told:
                self.report_due_at = now
            self.compared = told

    def apply_report(self, report: EngineReport, now: float) -> None:
        """Take a report unless it is older than an accepted order."""
        if report.sequence < self.sequence:
            self.report_due_at = now + REPORT_STEP_S
            return
        self.sequence = report.sequence
        self.models = {model.name: set(model.adapters) for model in report.models}
        for item in report.coming:
            model, _, adapter = item.partition("@")[0].partition("/")
            if model in self.models and adapter:
                self.models[model].add(adapter)
        self.in_memory = frozenset(report.at_hand.in_memory)
        self.on_disk = frozenset(report.at_hand.on_disk)
        self.known = True
        self.confirm_due_at = None
        self.busy = report.busy
        if not report.busy:
            self.loading = None
        self.changed = True
        if report.busy:
            self.report_due_at = now + REPORT_STEP_S
            return
        self.coming = {
            item: at
            for item, at in self.coming.items()
            if at > now and ("/" in item or item == self.reserved_for)
        }
        self.report_due_at = None

    def apply_accepted_order(self, order: PlannedOrder, now: float, load_s: float) -> None:
        """Apply an order that the engine accepted."""
        self.sequence = order.expected + 1
        self.accepted_at = now
        self.changed = True
        if order.adapter:
            adapters = self.models.setdefault(order.model, set())
            if order.load:
                adapters.add(order.adapter)
                self.coming[order.item] = now + ADAPTER_READY_S
            else:
                adapters.discard(order.adapter)
            return
        self.busy_since = now
        self.busy_until = now + load_s if order.load else now
        if order.load:
            self.busy = True
            self.reserved_for = None
            self.loading = order.model
            self.coming[order.model] = now + load_s
            self.loaded_at[order.model] = now + load_s
            self.confirm_due_at = now + load_s
            return
        self.models.pop(order.model, None)
        self.reserved_for = order.makes_room_for
        self.reserved_until = now + RESERVATION_S
        if order.makes_room_for is None:
            self.busy = True
            self.report_due_at = now + REPORT_LAG_S
            return
        self.coming[order.makes_room_for] = now + load_s + UNLOAD_S
        self.rests_until = now + ASK_AGAIN_S

    def record_planned_loads(self, planned: dict[str, float]) -> None:
        """Note which models will be ordered next, and when they should serve here."""
        if planned.keys() != self.planned.keys():
            self.changed = True
        self.planned = planned

    def expire_reservation(self, now: float) -> None:
        """Give up what room was made for, if its load was not given in time.

        The unload may still wait for requests, so the engine is asked before anything else.
        """
        if self.reserved_for is None or now < self.reserved_until or self.calling:
            return
        self.coming.pop(self.reserved_for, None)
        self.reserved_for = None
        self.report_due_at = now
        self.changed = True

    def list_coming(self, now: float) -> dict[str, float]:
        """Return the seconds until items should serve, by item.

        A load that is late is still on its way until its engine says otherwise.
        """
        found = {
            item: at - now
            for item, at in (self.planned | self.coming).items()
            if at > now or ("/" not in item and at > now - LATE_S)
        }
        return {item: max(ASK_AGAIN_S, left) for item, left in found.items()}

    def record_unanswered_order(self, now: float) -> None:
        """Note that an order got no answer: it may be carried out, also later.

        What was to be loaded here is planned anew, rather elsewhere.
        """
        self.report_due_at = now
        self.unanswered_at = now
        if self.reserved_for is not None:
            self.coming.pop(self.reserved_for, None)
            self.reserved_for = None
            self.changed = True

    def record_conflict(self, now: float) -> None:
        """Note that an order was refused because another one may be under way."""
        since = self.busy_until
        if (self.confirm_due_at is None and self.reserved_for is None) or now > since + ASK_FOR_S:
            self.confirm_due_at = None
            self.busy = True
            self.report_due_at = now
            return
        self.rests_until = now + ASK_AGAIN_S
        if self.confirm_due_at is not None:
            self.confirm_due_at = now + ASK_AGAIN_S

    def record_loaded(self) -> None:
        """Note that the engine holds the model whose load was under way."""
        self.confirm_due_at = None
        self.busy = False
        self.changed = True
        if self.loading is not None:
            self.models.setdefault(self.loading, set())
            self.coming.pop(self.loading, None)
            self.in_memory |= {self.loading}
            self.on_disk |= {self.loading}
            self.loading = None

    def _free_in_s(self, now: float) -> float | None:
        if not self.known or self.reserved_for is not None or self.loading is None:
            return None
        return max(0.0, self.busy_until - now)

    def list_models(self) -> dict[str, list[str]]:
        """Return the held items by model, those under way included."""
        return {model: sorted(adapters) for model, adapters in self.models.items()}

    def describe(
        self,
        *,
        availability_zone: str,
        capacity_mb: float,
        adapter_limit: int,
        running: float,
        now: float,
        speed: float = 1.0,
    ) -> EngineState:
        """Return the engine's part of a placement decision's input."""
        return EngineState(
            name=self.name,
            availability_zone=availability_zone,
            capacity_mb=capacity_mb,
            adapter_slots=adapter_limit,
            sequence=self.sequence,
            busy=not self.can_take_order(now),
            models={model: frozenset(adapters) for model, adapters in self.models.items()},
            coming=frozenset(
                item for item, at in self.coming.items() if "/" not in item and at > now - LATE_S
            ),
            reserved_for=self.reserved_for,
            in_memory=self.in_memory,
            on_disk=self.on_disk,
            running=running,
            speed=speed,
            free_in_s=self._free_in_s(now),
            unanswered_s=now - self.unanswered_at,
            loaded_at=self.loaded_at,
        )
