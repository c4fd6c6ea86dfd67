"""Registers this VM in the store and stands for election as order holder, under one lease."""

from __future__ import annotations

import random
import secrets
import time

from traceback import format_exc
from typing import TYPE_CHECKING

import msgspec

from cactusshunt.decisions.rendezvous import rank_nodes
from cactusshunt.exceptions import CompareFailedError
from cactusshunt.exceptions import LeaseEndedError
from cactusshunt.exceptions import StoreError
from cactusshunt.membership.peer_link import PeerRecord
from cactusshunt.membership.tenure import RENEWAL_FRACTION
from cactusshunt.membership.tenure import STORE_SILENCE_S
from cactusshunt.membership.tenure import UNKNOWN_HOLDER
from cactusshunt.membership.tenure import StoreReport
from cactusshunt.membership.tenure import Tenure
from cactusshunt.membership.tenure import begin_tenure
from cactusshunt.membership.tenure import compute_election_delay_s
from cactusshunt.membership.tenure import confirm_outage
from cactusshunt.membership.tenure import extend_tenure
from cactusshunt.node_log import log_event
from cactusshunt.platform.documents import SYSTEM_PREFIX
from cactusshunt.platform.store import ABSENT
from cactusshunt.platform.store import StoredItem
from cactusshunt.schema.decoding import UNREADABLE_ERRORS
from cactusshunt.tasks.periodic import pause

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase

    from cactusshunt.configuration.store_era import StoreEra
    from cactusshunt.configuration.store_era import StorePosition
    from cactusshunt.membership.peer_link import PeerLink
    from cactusshunt.platform.store import PlatformStore

VM_PREFIX = SYSTEM_PREFIX + "vm/"
HOLDER_KEY = SYSTEM_PREFIX + "holder"
LAST_HOLDER_KEY = SYSTEM_PREFIX + "last-holder"
MAX_FORMER_HOLDERS = 3  # besides the current one; no more follow within a re-election delay
LEASE_S = 1.6  # after two lost renewals, a quarter of it remains in which a holder can stop
REGISTRATION_RETENTION_S = 60.0  # VMs that left count in ``confirm_outage``; restarts take less
CALL_TIMEOUT_S = 0.5
SUSPENSION_TOLERANCE_S = 0.25  # a VM that was suspended for longer gives up its tenure


class MembershipTask:
    """Keeps this VM's lease and tenure, and tracks registered VMs and the order holder."""

    def __init__(
        self,
        *,
        reactor: ReactorBase,
        store: PlatformStore,
        era: StoreEra,
        link: PeerLink,
        vm: str,
        record: PeerRecord,
        lease_s: float,
        reelection_delay_s: float,
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._era = era
        era.on_change.append(self._forget_era)
        self._link = link
        self._vm = vm
        self._record = record
        self._lease_s = lease_s
        self._reelection_delay_s = reelection_delay_s
        self._incarnation = secrets.token_hex(4)  # tells this run of the process from earlier ones
        self._lease_id = 0
        self._renewal_sent_at = 0.0
        self._registered = False
        # the holder key's value (``vm/incarnation``) and its position
        self._holder: tuple[str, StorePosition] | None = None
        # positions of the last-holder key, each with its VM names
        self._former_holders: list[tuple[StorePosition, list[str]]] = []
        # Until then, a holder that the store's list lacks may still send orders.
        self._unlisted_holders_end_at = reactor.seconds() + lease_s + reelection_delay_s
        self._holders_of_earlier_era: list[str] = []
        self._vacant_since: float | None = None
        self._store_was_read = False
        self._tenure = Tenure()
        self._last_tenure = Tenure()
        self._known_suspended_s = _measure_suspension_s()
        self._store_answered_at = reactor.seconds()
        self._store_reports: dict[str, StoreReport] = {}
        self._in_outage = False
        # when each VM was last registered, and its zone
        self._registered_vms: dict[str, tuple[float, str]] = {}
        self._random = random.Random(vm)
        self.stopping = False

    @property
    def tenure(self) -> Tenure:
        """Return this VM's tenure; an empty one after the VM was suspended."""
        if _measure_suspension_s() - self._known_suspended_s > SUSPENSION_TOLERANCE_S:
            self._known_suspended_s = _measure_suspension_s()
            if self._tenure.elected:
                log_event("right_lost", reason="the VM was suspended")
            self._tenure = Tenure()
        return self._tenure

    def may_order(self, now: float) -> bool:
        """Return whether orders may be sent: the tenure is valid, or no VM reaches the store."""
        tenure = self.tenure
        if tenure.is_valid(now):
            return True
        if not tenure.elected or now < tenure.begins_at:
            return False
        outage = confirm_outage(
            now=now,
            own_zone=self._record.availability_zone,
            own_silent_s=self.store_silent_s(now),
            reports=list(self._store_reports.values()),
            zones_of_vms=self._list_zones_of_vms(now),
        )
        if outage != self._in_outage:
            self._in_outage = outage
            # right_rests: still elected, but the tenure is over and no outage is confirmed
            log_event("right_kept_in_outage" if outage else "right_rests", token=tenure.token)
        return outage

    def store_silent_s(self, now: float) -> float:
        """Return the time since the store last answered this VM."""
        return now - self._store_answered_at

    def record_store_answer(self) -> None:
        """Record that the store answered a call."""
        self._store_answered_at = self._now()

    def record_store_report(self, vm: str, silent_s: float) -> None:
        """Record how long the store has been silent for a peer."""
        known = self._registered_vms.get(vm)
        if known is not None:
            self._store_reports[vm] = StoreReport(
                availability_zone=known[1], received_at=self._now(), silent_s=silent_s
            )

    @property
    def holder(self) -> str | None:
        """Return the order holder's VM name according to the store, if there is one."""
        return self._holder[0].partition("/")[0] if self._holder else None

    def record_store_read(self) -> None:
        """Record a read of the store; from the first one on, a missing holder means a vacancy."""
        self.record_store_answer()
        if not self._store_was_read:
            self._store_was_read = True
            if self._holder is None:
                self._vacant_since = self._now()

    def apply_stored_item(self, item: StoredItem) -> None:
        """Apply a change of a key below this system's prefix."""
        if item.key == HOLDER_KEY:
            self._apply_holder(item)
        elif item.key == LAST_HOLDER_KEY:
            names = (item.value or b"").decode(errors="replace").split(",")
            self._former_holders = [
                *self._former_holders[-1:],
                (item.position, [name for name in names if name]),
            ]
        elif item.key.startswith(VM_PREFIX):
            self._apply_vm_record(item)

    async def run(self) -> None:
        """Renew the lease, keep the VM registered and stand for election, until it stops."""
        while not self.stopping:
            try:
                await self._maintain_lease()
            except LeaseEndedError:
                self._forget_lease("the lease ended")
            except CompareFailedError:
                self._vacant_since = self._now()
            except StoreError as error:
                if self._registered:
                    log_event("renewal_failed", reason=error.reason)
            except Exception:  # must not end the renewals
                log_event("task_failed", reason=format_exc(limit=-4))
            await pause(
                self._reactor, self._lease_s * RENEWAL_FRACTION * self._random.uniform(0.85, 1.0)
            )

    async def leave(self) -> None:
        """End the lease, which removes this VM's registration and its holder key.

        While the store is unreachable no other VM can be elected, so the tenure is
        kept until the process ends.
        """
        if self.may_order(self._now()) and self.store_silent_s(self._now()) >= STORE_SILENCE_S:
            log_event("right_kept_to_the_end", token=self._tenure.token)
            return
        self.stopping = True
        self._tenure = Tenure()
        if self._lease_id:
            try:
                await self._store.end_lease(self._lease_id, deadline=self._now() + CALL_TIMEOUT_S)
            except StoreError as error:
                log_event("lease_not_ended", reason=error.reason)

    async def _maintain_lease(self) -> None:
        sent = self._now()
        deadline = sent + CALL_TIMEOUT_S
        if not self._lease_id:
            self._lease_id = await self._store.grant_lease(ttl_s=self._lease_s, deadline=deadline)
            self._renewal_sent_at = sent
            self._registered = False
        else:
            lease = self._lease_id
            await self._store.renew_lease(lease, deadline=deadline)
            if self._lease_id != lease:  # another VM may have been given this ID in the new era
                raise LeaseEndedError(
                    reason="The store came back from a copy.", remedy="Create a new one."
                )
            self.record_store_answer()
            self._renewal_sent_at = sent
            if self.tenure.elected:
                self._tenure = extend_tenure(
                    self._tenure, renewal_sent_at=sent, lease_s=self._lease_s
                )
        if not self._registered:
            await self._store.commit(
                expected={},
                puts={VM_PREFIX + self._vm: msgspec.json.encode(self._record)},
                lease=self._lease_id,
                deadline=self._now() + CALL_TIMEOUT_S,
            )
            self._registered = True
        await self._stand_for_election()

    async def _stand_for_election(self) -> None:
        if not self._store_was_read:
            return
        if self._holder is not None and self._holds_key_without_tenure(*self._holder):
            await self._release_holder_key(self._holder[1])
            return
        if self._holder is not None or self._vacant_since is None:
            return
        former = self._find_holders_before(None)
        delay = compute_election_delay_s(
            vm=self._vm,
            ranked=rank_nodes([self._vm, *self._link.peers], "holder"),
            former=former,
            previous=self._last_tenure,
            lease_s=self._lease_s,
        )
        if self._now() < self._vacant_since + delay:
            return
        value = f"{self._vm}/{self._incarnation}".encode()
        known = [name for name in former if name != UNKNOWN_HOLDER]
        holders = [*known[-MAX_FORMER_HOLDERS:], self._vm]
        lease = self._lease_id
        position = await self._store.commit(
            expected={HOLDER_KEY: ABSENT},
            puts={HOLDER_KEY: value},
            unleased_puts={LAST_HOLDER_KEY: ",".join(holders).encode()},
            lease=lease,
            deadline=self._now() + CALL_TIMEOUT_S,
        )
        self._apply_holder(
            StoredItem(
                key=HOLDER_KEY,
                value=value,
                revision=position.revision,
                era=position.era,
                lease=lease,
            )
        )

    def _holds_key_without_tenure(self, holder: str, position: StorePosition) -> bool:
        """Return whether the holder key names this process, which may not send orders by it."""
        is_own = holder == f"{self._vm}/{self._incarnation}"
        return is_own and position.era == self._era.number and not self._tenure.elected

    async def _release_holder_key(self, position: StorePosition) -> None:
        """Remove a holder key that names this process but is not bound to its lease."""
        log_event("holder_key_released", token=position.token)
        try:
            await self._store.commit(
                expected={HOLDER_KEY: position.revision},
                puts={},
                removals=[HOLDER_KEY],
                deadline=self._now() + CALL_TIMEOUT_S,
            )
        except CompareFailedError:  # it was removed before this VM read the store
            self._record_vacancy()

    def _apply_holder(self, item: StoredItem) -> None:
        now = self._now()
        if item.value is None:
            if self._tenure.elected:
                log_event("right_lost", reason="the holder key was removed")
            self._record_vacancy()
            self._tenure = Tenure()
            return
        name = item.value.decode(errors="replace")
        self._holder = (name, item.position)
        self._vacant_since = None
        token = item.position.token
        is_own = name == f"{self._vm}/{self._incarnation}" and item.lease == self._lease_id
        if not is_own:
            self._tenure = Tenure()
            return
        if self._tenure.token == token:
            return
        former = self._find_holders_before(item.position)
        self._tenure = begin_tenure(
            token=token,
            now=now,
            renewal_sent_at=self._renewal_sent_at,
            lease_s=self._lease_s,
            reelection_delay_s=self._reelection_delay_s,
            vm=self._vm,
            former=former,
            previous=self._last_tenure,
        )
        self._last_tenure = self._tenure
        waits_s = round(self._tenure.begins_at - now, 3)
        log_event("right_won", token=token, former=former, waits_s=waits_s)

    def count_recent_vms(self, now: float) -> int:
        """Return the number of VMs registered within the retention time, this one included."""
        return len(self._list_zones_of_vms(now))

    @property
    def store_was_read(self) -> bool:
        """Return whether the other registered VMs are known."""
        return self._store_was_read

    def _list_zones_of_vms(self, now: float) -> list[str]:
        """Return the zones of this VM and of all VMs registered within the retention time."""
        for vm in self._link.peers:
            known = self._registered_vms.get(vm)
            if known is not None:
                self._registered_vms[vm] = (now, known[1])
        self._registered_vms = {
            vm: (at, zone)
            for vm, (at, zone) in self._registered_vms.items()
            if now - at < REGISTRATION_RETENTION_S
        }
        return [self._record.availability_zone, *(z for _, z in self._registered_vms.values())]

    def _find_holders_before(self, position: StorePosition | None) -> list[str]:
        """Return the holders before a position of the store, the latest one last.

        The store's own list may lack the latest ones if it came back from a copy, which a process
        that has just started does not know.
        """
        known = [names for at, names in self._former_holders if position is None or at < position]
        names = known[-1] if known else []
        if self._now() >= self._unlisted_holders_end_at:
            return names
        names = [*names, *self._holders_of_earlier_era]
        return [*names, UNKNOWN_HOLDER] if names else names

    def _apply_vm_record(self, item: StoredItem) -> None:
        vm = item.key.removeprefix(VM_PREFIX)
        if item.value is None:
            if vm == self._vm and not self.stopping:
                self._registered = False
            if vm in self._link.peers:
                log_event("peer_lost", peer=vm, peers=len(self._link.peers) - 1)
            self._link.set_peer(vm, None)
            if vm in self._registered_vms:
                self._registered_vms[vm] = (self._now(), self._registered_vms[vm][1])
            return
        try:
            record = msgspec.json.decode(item.value, type=PeerRecord)
        except UNREADABLE_ERRORS:
            log_event("record_unreadable", key=item.key)
            return
        if vm != self._vm and vm not in self._link.peers:
            zone = record.availability_zone
            log_event("peer_heard", peer=vm, zone=zone, peers=len(self._link.peers) + 1)
        self._link.set_peer(vm, record)
        if vm != self._vm:
            self._registered_vms[vm] = (self._now(), record.availability_zone)

    def _forget_era(self) -> None:
        """Give up everything that the store granted before it came back from a copy."""
        former = [name for name in self._find_holders_before(None) if name != UNKNOWN_HOLDER]
        if self._last_tenure.elected:  # the view may not have shown it yet
            former.append(self._vm)
        self._holders_of_earlier_era = [*former[-MAX_FORMER_HOLDERS:], UNKNOWN_HOLDER]
        self._unlisted_holders_end_at = self._now() + self._lease_s + self._reelection_delay_s
        self._last_tenure = Tenure()
        self._forget_lease("the store came back from a copy")
        self._record_vacancy()

    def _record_vacancy(self) -> None:
        self._holder = None
        self._vacant_since = self._now()

    def _forget_lease(self, reason: str) -> None:
        if self._tenure.elected:
            log_event("right_lost", reason=reason)
        self._lease_id = 0
        self._registered = False
        self._tenure = Tenure()

    def _now(self) -> float:
        return self._reactor.seconds()


def _measure_suspension_s() -> float:
    """Return the total time in seconds that the VM was suspended since its boot."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(time.CLOCK_MONOTONIC)
