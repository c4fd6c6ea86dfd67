"""State of an upstream for routing; coarse load levels keep changes rare."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from cactusshunt.schema.generated.messages import UpstreamState

if TYPE_CHECKING:
    from cactusshunt.schema.generated.messages import EngineReport
    from cactusshunt.schema.generated.messages import Vm

FULL_LOAD_LEVEL = 8  # load level at which running and waiting requests equal the slots
MAX_LOAD_LEVEL = 32  # four times the slots
SERVICE_SLOTS = 256  # assumed, since plain services report no limit


def describe_engine(vm: Vm, report: EngineReport, *, leaving: bool) -> UpstreamState:
    """Return the state of an engine from its latest report."""
    slots = max(1, report.slots)
    level = (report.running + report.waiting) * FULL_LOAD_LEVEL // slots
    unloading = set(report.unloading)
    return UpstreamState(
        vm=vm.vm,
        role="engine",
        kind=vm.kind,
        address=vm.address,
        availability_zone=vm.availability_zone,
        leaving=vm.leaving or leaving or report.draining,
        items=sorted(r.item for r in report.resident if r.item not in unloading),
        load_level=min(level, MAX_LOAD_LEVEL),
        slots=slots,
    )


def describe_without_report(
    vm: Vm, before: UpstreamState | None, *, leaving: bool
) -> UpstreamState:
    """Return the state of an upstream without a report: the last known one, marked stale.

    A plain service sends no reports and is never stale.
    """
    if before is not None:
        stale = vm.role == "engine"
        return replace(before, leaving=vm.leaving or leaving, stale=stale, address=vm.address)
    return UpstreamState(
        vm=vm.vm,
        role="service" if vm.role == "service" else "engine",
        kind=vm.kind,
        address=vm.address,
        availability_zone=vm.availability_zone,
        leaving=vm.leaving or leaving,
        slots=SERVICE_SLOTS if vm.role == "service" else 1,
        stale=vm.role == "engine",
    )
