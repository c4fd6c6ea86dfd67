"""Registers this VM in the store and runs for the right to give orders, over one lease."""

from __future__ import annotations

import random
import secrets
import time

from typing import TYPE_CHECKING

import msgspec

from cactusshunt.decisions.rendezvous import rank_nodes
from cactusshunt.exceptions import CompareFailedError
from cactusshunt.exceptions import LeaseEndedError
from cactusshunt.exceptions import StoreError
from cactusshunt.membership.peer_link import PeerRecord
from cactusshunt.membership.tenure import RENEWAL_PART
from cactusshunt.membership.tenure import SILENCE_S
from cactusshunt.membership.tenure import StoreWord
from cactusshunt.membership.tenure import Tenure
from cactusshunt.membership.tenure import begin_tenure
from cactusshunt.membership.tenure import confirm_outage
from cactusshunt.membership.tenure import election_delay_s
from cactusshunt.membership.tenure import extend_tenure
from cactusshunt.node_log import log_event
from cactusshunt.platform.documents import SYSTEM_PREFIX
from cactusshunt.platform.store import ABSENT
from cactusshunt.platform.store import StoredItem
from cactusshunt.tasks.periodic import pause

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase

    from cactusshunt.membership.peer_link import PeerLink
    from cactusshunt.platform.store import PlatformStore

VM_PREFIX = SYSTEM_PREFIX + "vm/"
HOLDER_KEY = SYSTEM_PREFIX + "holder"
LAST_HOLDER_KEY = SYSTEM_PREFIX + "last-holder"
FORMER_HOLDERS = 3  # kept besides the present one; more can't take over within one lease's turn
LEASE_S = 1.6  # two lost renewals of a quarter each leave a quarter to stop in
REGISTRATION_MEMORY_S = 60.0  # a VM that is stopped or replaced is back long before
CALL_TIMEOUT_S = 0.5
SLEEP_TOLERANCE_S = 0.25  # of a VM's suspension, above which its right counts as lapsed


class MembershipTask:
    """Owns the lease; tells others through the store's view who takes part and who orders."""

    def __init__(
        self,
        *,
        reactor: ReactorBase,
        store: PlatformStore,
        link: PeerLink,
        vm: str,
        record: PeerRecord,
        lease_s: float,
        turn_s: float,
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._link = link
        self._vm = vm
        self._record = record
        self._lease_s = lease_s
        self._turn_s = turn_s
        self._incarnation = secrets.token_hex(4)
        self._lease = 0
        self._renewed_at = 0.0
        self._registered = False
        self._holder: tuple[str, int] | None = None
        self._former: list[tuple[int, list[str]]] = []
        self._vacant_since: float | None = None
        self._synced = False
        self._tenure = Tenure()
        self._last_tenure = Tenure()
        self._slept = _slept_s()
        self._store_heard_at = reactor.seconds()
        self._store_words: dict[str, StoreWord] = {}
        self._in_outage = False
        self._registered_vms: dict[str, tuple[float, str]] = {}
        self._random = random.Random(vm)
        self.stopping = False

    @property
    def tenure(self) -> Tenure:
        """Return this VM's right to order; none after the VM slept."""
        if _slept_s() - self._slept > SLEEP_TOLERANCE_S:
            self._slept = _slept_s()
            if self._tenure.elected:
                log_event("right_lost", reason="the VM was suspended")
            self._tenure = Tenure()
        return self._tenure

    def may_order(self, now: float) -> bool:
        """Tell whether orders may be given now, over a live lease or in an outage for all."""
        tenure = self.tenure
        if tenure.holds(now):
            return True
        if not tenure.elected or now < tenure.begins_at:
            return False
        outage = confirm_outage(
            now=now,
            own_zone=self._record.availability_zone,
            own_silent_s=self.store_silent_s(now),
            words=list(self._store_words.values()),
            zones_of_vms=self._zones_of_vms(now),
        )
        if outage != self._in_outage:
            self._in_outage = outage
            log_event("right_kept_in_outage" if outage else "right_rests", token=tenure.token)
        return outage

    def store_silent_s(self, now: float) -> float:
        """Return the time since the store last answered this VM."""
        return now - self._store_heard_at

    def note_store_answer(self) -> None:
        """Note that the store answered a call."""
        self._store_heard_at = self._now()

    def take_store_word(self, vm: str, silent_s: float) -> None:
        """Take a peer's word about the store."""
        known = self._registered_vms.get(vm)
        if known is not None:
            self._store_words[vm] = StoreWord(
                availability_zone=known[1], heard_at=self._now(), silent_s=silent_s
            )

    @property
    def holder(self) -> str | None:
        """Return the VM that may give orders, as far as the store's view tells."""
        return self._holder[0].partition("/")[0] if self._holder else None

    def note_synced(self) -> None:
        """Note that the view is complete, so that a missing holder means a vacancy."""
        self.note_store_answer()
        if not self._synced:
            self._synced = True
            if self._holder is None:
                self._vacant_since = self._now()

    def take_item(self, item: StoredItem) -> None:
        """Take a change of the keys below this system's prefix."""
        if item.key == HOLDER_KEY:
            self._take_holder(item)
        elif item.key == LAST_HOLDER_KEY:
            names = (item.value or b"").decode(errors="replace").split(",")
            self._former = [*self._former[-1:], (item.revision, [name for name in names if name])]
        elif item.key.startswith(VM_PREFIX):
            self._take_vm(item)

    async def run(self) -> None:
        """Keep the lease, the record and, where it falls to this VM, the right to order."""
        while not self.stopping:
            try:
                await self._step()
            except LeaseEndedError:
                self._drop_lease("lease ended")
            except CompareFailedError:
                self._vacant_since = self._now()
            except StoreError as error:
                if self._registered:
                    log_event("renewal_failed", reason=error.reason)
            await pause(
                self._reactor, self._lease_s * RENEWAL_PART * self._random.uniform(0.85, 1.0)
            )

    async def leave(self) -> None:
        """Give up the right and the record; the lease's keys go with it.

        While the store is out of reach nobody could take over, so the right is kept to the end.
        """
        if self.may_order(self._now()) and self.store_silent_s(self._now()) >= SILENCE_S:
            log_event("right_kept_to_the_end", token=self._tenure.token)
            return
        self.stopping = True
        self._tenure = Tenure()
        if self._lease:
            try:
                await self._store.end_lease(self._lease, deadline=self._now() + CALL_TIMEOUT_S)
            except StoreError as error:
                log_event("lease_not_ended", reason=error.reason)

    async def _step(self) -> None:
        sent = self._now()
        deadline = sent + CALL_TIMEOUT_S
        if not self._lease:
            self._lease = await self._store.grant_lease(ttl_s=self._lease_s, deadline=deadline)
            self._renewed_at = sent
            self._registered = False
        else:
            await self._store.renew_lease(self._lease, deadline=deadline)
            self.note_store_answer()
            self._renewed_at = sent
            if self.tenure.elected:
                self._tenure = extend_tenure(self._tenure, renewed_at=sent, lease_s=self._lease_s)
        if not self._registered:
            await self._store.commit(
                expected={},
                puts={VM_PREFIX + self._vm: msgspec.json.encode(self._record)},
                lease=self._lease,
                deadline=self._now() + CALL_TIMEOUT_S,
            )
            self._registered = True
        await self._run_for_holder()

    async def _run_for_holder(self) -> None:
        if not self._synced or self._holder is not None or self._vacant_since is None:
            return
        former = self._former_before(None)
        delay = election_delay_s(
            vm=self._vm,
            ranked=rank_nodes([self._vm, *self._link.peers], "holder"),
            former=former,
            previous=self._last_tenure,
            lease_s=self._lease_s,
        )
        if self._now() < self._vacant_since + delay:
            return
        value = f"{self._vm}/{self._incarnation}".encode()
        holders = [*former[-FORMER_HOLDERS:], self._vm]
        revision = await self._store.commit(
            expected={HOLDER_KEY: ABSENT},
            puts={HOLDER_KEY: value},
            unleased={LAST_HOLDER_KEY: ",".join(holders).encode()},
            lease=self._lease,
            deadline=self._now() + CALL_TIMEOUT_S,
        )
        self._take_holder(StoredItem(key=HOLDER_KEY, value=value, revision=revision))

    def _take_holder(self, item: StoredItem) -> None:
        now = self._now()
        if item.value is None:
            if self._tenure.elected:
                log_event("right_lost", reason="the store removed the holder's key")
            self._holder = None
            self._vacant_since = now
            self._tenure = Tenure()
            return
        name = item.value.decode(errors="replace")
        self._holder = (name, item.revision)
        self._vacant_since = None
        if name != f"{self._vm}/{self._incarnation}":
            self._tenure = Tenure()
            return
        if self._tenure.token == item.revision:
            return
        former = self._former_before(item.revision)
        self._tenure = begin_tenure(
            token=item.revision,
            now=now,
            renewed_at=self._renewed_at,
            lease_s=self._lease_s,
            turn_s=self._turn_s,
            vm=self._vm,
            former=former,
            previous=self._last_tenure,
        )
        self._last_tenure = self._tenure
        waits_s = round(self._tenure.begins_at - now, 3)
        log_event("right_won", token=item.revision, former=former, waits_s=waits_s)

    def _zones_of_vms(self, now: float) -> list[str]:
        """Return the zones of this VM and of those that were registered lately."""
        for vm in self._link.peers:
            known = self._registered_vms.get(vm)
            if known is not None:
                self._registered_vms[vm] = (now, known[1])
        self._registered_vms = {
            vm: (at, zone)
            for vm, (at, zone) in self._registered_vms.items()
            if now - at < REGISTRATION_MEMORY_S
        }
        return [self._record.availability_zone, *(z for _, z in self._registered_vms.values())]

    def _former_before(self, revision: int | None) -> list[str]:
        """Return the holders before a revision of the store, the last one last."""
        known = [names for at, names in self._former if revision is None or at < revision]
        return known[-1] if known else []

    def _take_vm(self, item: StoredItem) -> None:
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
        except msgspec.DecodeError:
            log_event("record_unreadable", key=item.key)
            return
        if vm != self._vm and vm not in self._link.peers:
            zone = record.availability_zone
            log_event("peer_heard", peer=vm, zone=zone, peers=len(self._link.peers) + 1)
        self._link.set_peer(vm, record)
        if vm != self._vm:
            self._registered_vms[vm] = (self._now(), record.availability_zone)

    def _drop_lease(self, reason: str) -> None:
        if self._tenure.elected:
            log_event("right_lost", reason=reason)
        self._lease = 0
        self._registered = False
        self._tenure = Tenure()

    def _now(self) -> float:
        return self._reactor.seconds()


def _slept_s() -> float:
    """Return how long the VM has been suspended since its start."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(time.CLOCK_MONOTONIC)
