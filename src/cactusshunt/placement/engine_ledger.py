"""What the order holder knows of one engine, from the orders it sent and the engine's reports."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from cactusshunt.placement.fleet_state import EngineState

if TYPE_CHECKING:
    from cactusshunt.placement.fleet_state import PlannedOrder
    from cactusshunt.platform.documents import EngineReport
    from cactusshunt.platform.documents import UpstreamEntry

ENGINE_ENTRY_LAG_S = 3.0  # written about every second, seen up to a second later; and a margin
REPORT_LAG_S = 0.14  # reports show the state of a tenth of a second before; with a margin
REPORT_INTERVAL_S = 0.06  # reports are read this often while an order is under way
USUAL_UNLOAD_S = 0.1  # time of an unload that waits for no request
ORDER_RETRY_S = 0.05  # a refused order is retried this often; least time shown for a late load
MAX_ORDER_RETRY_S = 0.6  # after this, reports are read instead of retrying an order
MAX_LOAD_DELAY_S = 1.0  # a load that is later than this is no longer expected
RESERVATION_S = 6.0  # freed memory stays reserved; the unload may wait for streams of seconds
MAX_ADAPTER_LOAD_S = 0.02  # adapters usually load in half of it


@dataclass(kw_only=True)
class EngineLedger:
    """State of an engine since it last started; mutable, owned by the order task.

    Times are reactor time. ``report_due_at`` is when the next report is read, ``None`` if
    none is needed. Because reports lag, a load is confirmed by repeating its order: at
    ``confirm_due_at`` the load of ``loading`` is ordered again, which the engine answers as done
    once it holds the model. ``busy`` is set while an order for a model is or may be under way.
    ``models`` also contains items that are still loading; ``coming`` maps loads under way to the
    time when they should be ready.
    ``reserved_for`` names the model for which memory was freed. ``changed`` is set until the state
    is published; ``last_mismatch`` is the last engine entry's models that differed from ``models``.
    """

    name: str
    born: int
    sequence: int = -1
    models: dict[str, set[str]] = field(default_factory=dict)
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    state_known: bool = False
    busy: bool = False
    call_open: bool = False
    busy_since: float | None = None
    busy_until: float = 0.0
    report_due_at: float | None = 0.0
    confirm_due_at: float | None = None
    loading: str | None = None
    orders_paused_until: float = 0.0
    coming: dict[str, float] = field(default_factory=dict)
    loaded_at: dict[str, float] = field(default_factory=dict)
    reserved_for: str | None = None
    reserved_until: float = 0.0
    changed: bool = True
    accepted_at: float = -1e9
    last_mismatch: set[str] | None = None
    unanswered_at: float = -1e9

    def can_take_order(self, now: float) -> bool:
        """Return whether the state is known and no order or call is open."""
        return (
            self.state_known
            and not self.busy
            and not self.call_open
            and self.report_due_at is None
            and self.confirm_due_at is None
            and now >= self.orders_paused_until
        )

    def apply_engine_entry(self, entry: UpstreamEntry, now: float) -> None:
        """Compare with the engine's entry in the platform's store; read a report if they differ."""
        if entry.born != self.born:
            self.born = entry.born
            self.sequence = -1
            self.models = {}
            self.coming = {}
            self.state_known = False
            self.busy = False
            self.report_due_at = now
            self.confirm_due_at = None
            self.loading = None
            self.changed = True
            return
        entry_models = {model.name for model in entry.models}
        settled = self.state_known and not self.busy and self.report_due_at is None
        if (
            settled
            and entry_models != set(self.models)
            and now - self.accepted_at > ENGINE_ENTRY_LAG_S
        ):
            if self.last_mismatch != entry_models:
                self.report_due_at = now
            self.last_mismatch = entry_models

    def apply_report(self, report: EngineReport, now: float) -> None:
        """Apply a report unless it is older than an accepted order."""
        if report.sequence < self.sequence:
            self.report_due_at = now + REPORT_INTERVAL_S
            return
        self.sequence = report.sequence
        self.models = {model.name: set(model.adapters) for model in report.models}
        # Entries of coming are a model or "model/adapter", and may have a suffix after "@".
        for item in report.coming:
            model, _, adapter = item.partition("@")[0].partition("/")
            if model in self.models and adapter:
                self.models[model].add(adapter)
        self.in_memory = frozenset(report.at_hand.in_memory)
        self.on_disk = frozenset(report.at_hand.on_disk)
        self.state_known = True
        self.confirm_due_at = None
        self.busy = report.busy
        if not report.busy:
            self.loading = None
        self.changed = True
        if report.busy:
            self.report_due_at = now + REPORT_INTERVAL_S
            return
        # An engine that isn't busy loads no model, but may load adapters, or await a reserved load.
        self.coming = {
            item: at
            for item, at in self.coming.items()
            if at > now and ("/" in item or item == self.reserved_for)
        }
        self.report_due_at = None

    def apply_accepted_order(self, order: PlannedOrder, now: float, load_s: float) -> None:
        """Apply an order that the engine accepted.

        ``load_s`` is the load time of the model to be loaded, now or after this unload.
        """
        self.sequence = order.expected + 1
        self.accepted_at = now
        self.changed = True
        if order.adapter:
            adapters = self.models.setdefault(order.model, set())
            if order.load:
                adapters.add(order.adapter)
                self.coming[order.item] = now + MAX_ADAPTER_LOAD_S
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
        self.reserved_for = order.frees_memory_for
        self.reserved_until = now + RESERVATION_S
        if order.frees_memory_for is None:
            self.busy = True
            self.report_due_at = now + REPORT_LAG_S
            return
        self.coming[order.frees_memory_for] = now + load_s + USUAL_UNLOAD_S
        self.orders_paused_until = now + ORDER_RETRY_S

    def expire_reservation(self, now: float) -> None:
        """Release freed memory for which no load was ordered in time.

        The unload may still wait for requests, so a report is read before any other order.
        """
        if self.reserved_for is None or now < self.reserved_until or self.call_open:
            return
        self.coming.pop(self.reserved_for, None)
        self.reserved_for = None
        self.report_due_at = now
        self.changed = True

    def list_coming(self, now: float) -> dict[str, float]:
        """Return the seconds until items should be ready, by item.

        A model whose load is late is still listed, for up to ``MAX_LOAD_DELAY_S``.
        """
        found = {
            item: at - now
            for item, at in self.coming.items()
            if at > now or ("/" not in item and at > now - MAX_LOAD_DELAY_S)
        }
        return {item: max(ORDER_RETRY_S, left) for item, left in found.items()}

    def record_unanswered_order(self, now: float) -> None:
        """Record that an order got no answer: it may still be carried out, now or later.

        A model for which memory was freed is planned again, preferably on another engine.
        """
        self.report_due_at = now
        self.unanswered_at = now
        if self.reserved_for is not None:
            self.coming.pop(self.reserved_for, None)
            self.reserved_for = None
            self.changed = True

    def record_conflict(self, now: float) -> None:
        """Record that the engine refused an order, probably because another one is under way."""
        expected_end = self.busy_until
        if (
            self.confirm_due_at is None and self.reserved_for is None
        ) or now > expected_end + MAX_ORDER_RETRY_S:
            self.confirm_due_at = None
            self.busy = True
            self.report_due_at = now
            return
        self.orders_paused_until = now + ORDER_RETRY_S
        if self.confirm_due_at is not None:
            self.confirm_due_at = now + ORDER_RETRY_S

    def record_loaded(self) -> None:
        """Record that the engine holds the model whose load was under way."""
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
        if not self.state_known or self.reserved_for is not None or self.loading is None:
            return None
        return max(0.0, self.busy_until - now)

    def list_models(self) -> dict[str, list[str]]:
        """Return the adapters by model, items that are still loading included."""
        return {model: sorted(adapters) for model, adapters in self.models.items()}

    def describe(
        self,
        *,
        availability_zone: str,
        capacity_mb: float,
        adapter_slots: int,
        running: float,
        now: float,
        speed: float = 1.0,
        limited: bool = False,
        paused_s: float = 0.0,
    ) -> EngineState:
        """Return the engine's part of a placement decision's input.

        ``paused_s`` is what is left of a pause that it wants.
        """
        free_in_s = self._free_in_s(now)
        return EngineState(
            name=self.name,
            availability_zone=availability_zone,
            capacity_mb=capacity_mb,
            adapter_slots=adapter_slots,
            sequence=self.sequence,
            busy=paused_s > 0.0 or not self.can_take_order(now),
            models={model: frozenset(adapters) for model, adapters in self.models.items()},
            coming=frozenset(
                item
                for item, at in self.coming.items()
                if "/" not in item and at > now - MAX_LOAD_DELAY_S
            ),
            reserved_for=self.reserved_for,
            in_memory=self.in_memory,
            on_disk=self.on_disk,
            running=running,
            speed=speed,
            limited=limited,
            free_in_s=max(free_in_s or 0.0, paused_s) if paused_s else free_in_s,
            since_unanswered_s=now - self.unanswered_at,
            loaded_at=self.loaded_at,
        )
