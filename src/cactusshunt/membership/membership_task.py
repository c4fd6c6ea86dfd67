"""Registers this VM in the store and stands for election as order holder, under one lease."""

from __future__ import annotations

import random
import secrets
import time

from traceback import format_exc
from typing import TYPE_CHECKING

import msgspec

from cactusshunt.decisions.election_order import rank_vms
from cactusshunt.exceptions import CompareFailedError
from cactusshunt.exceptions import LeaseEndedError
from cactusshunt.exceptions import StoreError
from cactusshunt.membership.fleet_shares import FleetShares
from cactusshunt.membership.former_holders import FORMER_HOLDERS_KEY
from cactusshunt.membership.former_holders import LAST_HOLDER_KEY
from cactusshunt.membership.former_holders import FormerHolders
from cactusshunt.membership.peer_link import decode_peer_record
from cactusshunt.membership.stop_proofs import StopProofs
from cactusshunt.membership.tenure import MAX_ELECTION_DELAY_FRACTION
from cactusshunt.membership.tenure import NO_TOKEN
from cactusshunt.membership.tenure import OUTAGE_RIGHT_S
from cactusshunt.membership.tenure import RENEWAL_FRACTION
from cactusshunt.membership.tenure import STORE_SILENCE_S
from cactusshunt.membership.tenure import VIEW_MAX_AGE_S
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
    from collections.abc import Awaitable
    from collections.abc import Callable

    from twisted.internet.base import ReactorBase

    from cactusshunt.configuration.store_era import StoreEra
    from cactusshunt.configuration.store_era import StorePosition
    from cactusshunt.decisions.election_order import VmSizeField
    from cactusshunt.membership.messages import StopAnswer
    from cactusshunt.membership.messages import StopQuestion
    from cactusshunt.membership.peer_link import PeerLink
    from cactusshunt.membership.peer_link import PeerRecord
    from cactusshunt.platform.store import PlatformStore

VM_PREFIX = SYSTEM_PREFIX + "vm/"
HOLDER_KEY = SYSTEM_PREFIX + "holder"
LEASE_S = 1.6  # after two lost renewals, a quarter of it remains in which a holder can stop
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
        is_first_start: bool,
        refuses: Callable[[tuple[str, int]], Awaitable[bool]],
    ) -> None:
        """``refuses`` returns whether an address refuses connections."""
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
        address = (record.address, record.port)
        self._former = FormerHolders(
            vm=vm,
            address=address,
            clock=reactor.seconds,
            era=era,
            is_first_start=is_first_start,
            unlisted_for_s=lease_s + reelection_delay_s,
        )
        self._proofs = StopProofs(
            reactor=reactor, vm=vm, address=address, link=link, refuses=refuses
        )
        self._yielded_token = NO_TOKEN  # elections before it give this VM no right any more
        self._view_read_at = reactor.seconds()
        # when the store last showed this VM that the holder key is its own
        self._key_shown_at = reactor.seconds()
        self._vacant_since: float | None = None
        self._sizes: dict[str, VmSizeField] = {}  # as read from the store since the vacancy began
        self._store_was_read = False
        self._tenure = Tenure()
        self._last_tenure = Tenure()
        self._known_suspended_s = _measure_suspension_s()
        self._store_answered_at = reactor.seconds()
        self._store_reports: dict[str, StoreReport] = {}
        self._in_outage = False
        self._shares = FleetShares(zone=record.availability_zone, lease_s=lease_s)
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
        if self._proofs.is_open():
            return False
        if tenure.is_valid(now):
            return True
        if not tenure.elected or now < tenure.begins_at:
            return False
        # A majority that hears nothing does not prove that no VM reaches the store and is elected:
        # such a VM waits until this right has ended.
        outage = now < self._key_shown_at + OUTAGE_RIGHT_S and confirm_outage(
            now=now,
            own_zone=self._record.availability_zone,
            own_silent_s=self.store_silent_s(now),
            reports=list(self._store_reports.values()),
            zones_of_vms=self._list_zones_of_vms(),
            ages=self._link.report_times.ages,
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
        zone = self._shares.find_zone(vm)
        # One that is not known may have been registered since, and reach the store.
        if zone is not None or silent_s < STORE_SILENCE_S:
            self._store_reports[vm] = StoreReport(
                availability_zone=zone or "", received_at=self._now(), silent_s=silent_s
            )

    def answer_question(self, question: StopQuestion) -> None:
        """Give up the right of an earlier election, and say so, unless this VM's is later."""
        if self._tenure.token >= question.token:
            return
        if self._tenure.elected:
            log_event("right_lost", reason="another VM was elected")
            self._tenure = self._last_tenure = Tenure()
        self._yielded_token = max(self._yielded_token, question.token)
        self._proofs.answer(question)

    def record_stop_answer(self, answer: StopAnswer) -> None:
        """Record that a former holder has stopped."""
        self._proofs.record_answer(answer)

    def give_up(self, reason: str) -> None:
        """Send no more orders by this VM's election, even if the view shows it later."""
        if self._tenure.elected:
            log_event("right_lost", reason=reason)
            self._yielded_token = max(self._yielded_token, self._tenure.token + 1)
        self._tenure = self._last_tenure = Tenure()

    @property
    def holder(self) -> str | None:
        """Return the order holder's VM name according to the store, if there is one."""
        return self._holder[0].partition("/")[0] if self._holder else None

    @property
    def is_holder(self) -> bool:
        """Return whether this VM is the order holder, by its election or according to the store."""
        return self._tenure.elected or self.holder == self._vm

    def record_store_read(self) -> None:
        """Record a read of the store; from the first one on, a missing holder means a vacancy."""
        self.record_store_answer()
        self._view_read_at = self._now()
        if self._tenure.elected:
            self._key_shown_at = self._now()
        if not self._store_was_read:
            self._store_was_read = True
            self._former.record_first_read()
            if self._holder is None:
                self._vacant_since = self._now()

    def apply_stored_item(self, item: StoredItem) -> None:
        """Apply a change of a key below this system's prefix."""
        if item.key == HOLDER_KEY:
            self._apply_holder(item)
        elif item.key == LAST_HOLDER_KEY:
            self._former.apply_list(item)
        elif item.key == FORMER_HOLDERS_KEY:
            self._former.apply_addresses(item)
        elif item.key.startswith(VM_PREFIX):
            self._apply_vm_record(item)

    async def run(self) -> None:
        """Renew the lease, keep the VM registered and stand for election, until it stops."""
        while not self.stopping:
            self._update_shares(self._now())
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
            renewal_s = self._lease_s * RENEWAL_FRACTION * self._random.uniform(0.85, 1.0)
            await pause(self._reactor, self._choose_pause_s(renewal_s))

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
            if self.tenure.elected and await self._shows_own_key(sent):
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
        self._shares.record_lease(self._renewal_sent_at)
        await self._stand_for_election()

    async def _shows_own_key(self, now: float) -> bool:
        """Return whether the store showed of late that the holder key is this VM's.

        The key may have been removed while the lease lives. The view shows that, unless it hears
        nothing from the store.
        """
        if now < self._view_read_at + VIEW_MAX_AGE_S:
            return True
        tenure = self._tenure
        found = await self._store.read_prefix(HOLDER_KEY, deadline=self._now() + CALL_TIMEOUT_S)
        own = f"{self._vm}/{self._incarnation}".encode()
        shown = any(
            item.key == HOLDER_KEY and item.value == own and item.position.token == tenure.token
            for item in found.items
        )
        if self._tenure.token != tenure.token:  # lost while the store was read
            return False
        if shown:
            self._key_shown_at = now
        else:
            self.give_up("the holder key was removed")
        return shown

    async def _stand_for_election(self) -> None:
        if not self._store_was_read:
            return
        if self._holder is not None and self._holds_key_without_tenure(*self._holder):
            await self._release_holder_key(self._holder[1])
            return
        if not self._is_election_due():
            return
        if self._record.size:
            await self._read_sizes()
            if not self._is_election_due():
                return
        former = self._former.list_before(None)
        value = f"{self._vm}/{self._incarnation}".encode()
        lease = self._lease_id
        # Not if there was an election that this VM has not seen: its list of holders would lack it.
        position = await self._store.commit(
            expected={HOLDER_KEY: ABSENT, LAST_HOLDER_KEY: self._former.list_revision},
            puts={HOLDER_KEY: value},
            unleased_puts=self._former.encode_list(former),
            lease=lease,
            deadline=self._now() + CALL_TIMEOUT_S,
        )
        self._former.list_revision = position.revision
        self._apply_holder(
            StoredItem(
                key=HOLDER_KEY,
                value=value,
                revision=position.revision,
                era=position.era,
                lease=lease,
            )
        )

    async def _read_sizes(self) -> None:
        """Read the sizes of the registered VMs, as the view may lack VMs that have just started."""
        found = await self._store.read_prefix(VM_PREFIX, deadline=self._now() + CALL_TIMEOUT_S)
        self._sizes = {}
        for item in found.items:
            if item.value is None:
                continue
            try:
                record, _ = decode_peer_record(item.value)
            except UNREADABLE_ERRORS:  # logged when the view shows it
                continue
            self._sizes[item.key.removeprefix(VM_PREFIX)] = record.size

    def _is_election_due(self) -> bool:
        """Return whether there is no holder and this VM has waited for those before it."""
        if self._holder is not None or self._vacant_since is None:
            return False
        return self._now() >= self._vacant_since + self._compute_election_delay_s()

    def _compute_election_delay_s(self) -> float:
        return compute_election_delay_s(
            vm=self._vm,
            ranked=self._rank_vms(),
            former=self._former.list_before(None),
            previous=self._last_tenure,
            lease_s=self._lease_s,
        )

    def _choose_pause_s(self, renewal_s: float) -> float:
        """Return the time to the next renewal, or to this VM's election if that comes first.

        Renewals are further apart than the ranks of an election, so that the second VM could stand
        before the first. VMs without a size, and those that wait longest, which may be many, stand
        with their next renewal.
        """
        if self._holder is not None or self._vacant_since is None or not self._record.size:
            return renewal_s
        delay = self._compute_election_delay_s()
        left_s = self._vacant_since + delay - self._now()
        is_ranked = delay < MAX_ELECTION_DELAY_FRACTION * self._lease_s
        return min(left_s, renewal_s) if is_ranked and left_s > 0.0 else renewal_s

    def _rank_vms(self) -> list[str]:
        """Return the registered VMs, this one included, in the order of an election."""
        known = {vm: peer.record.size for vm, peer in self._link.peers.items()}
        return rank_vms(self._sizes | known | {self._vm: self._record.size})

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
        if self._holder is not None and self._holder[0] != item.value.decode(errors="replace"):
            self._former.record_loss(self._holder[0].partition("/")[0])
        name = item.value.decode(errors="replace")
        self._holder = (name, item.position)
        self._vacant_since = None
        token = item.position.token
        is_own = name == f"{self._vm}/{self._incarnation}" and item.lease == self._lease_id
        if not is_own or token < self._yielded_token:
            self._tenure = Tenure()
            return
        if self._tenure.token == token:
            return
        former = self._former.list_before(item.position)
        self._key_shown_at = now
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
        self._proofs.begin(token, self._former.find_ends(former), self._former.addresses)
        waits_s = round(self._tenure.begins_at - now, 3)
        rank = 1 + self._rank_vms().index(self._vm)
        log_event("right_won", token=token, former=former, waits_s=waits_s, rank=rank)

    def count_recent_vms(self, now: float) -> int:
        """Return by how many VMs common limits are divided, this one included."""
        self._update_shares(now)
        return self._shares.count_vms()

    def holds_share(self, now: float) -> bool:
        """Return whether this VM may still use its share of common limits."""
        return self._shares.holds_share(now)

    @property
    def store_was_read(self) -> bool:
        """Return whether the other registered VMs are known."""
        return self._store_was_read

    def _list_zones_of_vms(self) -> list[str]:
        self._update_shares(self._now())
        return self._shares.list_zones()

    def _update_shares(self, now: float) -> None:
        self._shares.update(
            now=now,
            view_read_at=self._view_read_at,
            silent_s=self.store_silent_s(now),
            reports=list(self._store_reports.values()),
            ages=self._link.report_times.ages,
        )

    def _apply_vm_record(self, item: StoredItem) -> None:
        vm = item.key.removeprefix(VM_PREFIX)
        if item.value is None:
            if vm == self._vm and not self.stopping:
                self._registered = False
            if vm in self._link.peers:
                log_event("peer_lost", peer=vm, peers=len(self._link.peers) - 1)
            self._link.set_peer(vm, None)
            self._shares.record_ended(vm, self._now())
            return
        try:
            record, size_error = decode_peer_record(item.value)
        except UNREADABLE_ERRORS:
            log_event("record_unreadable", key=item.key)
            return
        if size_error:
            log_event("size_unreadable", key=item.key, reason=size_error)
        if vm != self._vm and vm not in self._link.peers:
            zone = record.availability_zone
            log_event("peer_heard", peer=vm, zone=zone, peers=len(self._link.peers) + 1)
        self._link.set_peer(vm, record)
        self._former.record_address(vm, (record.address, record.port))
        if vm != self._vm:
            self._shares.record_registered(vm, record.availability_zone, self._now())

    def _forget_era(self) -> None:
        """Give up everything that the store granted before it came back from a copy."""
        self._former.forget_era(was_holder=self._last_tenure.elected)
        self._last_tenure = Tenure()
        self._forget_lease("the store came back from a copy")
        self._record_vacancy()

    def _record_vacancy(self) -> None:
        if self._holder is not None:
            self._former.record_loss(self._holder[0].partition("/")[0])
        self._holder = None
        self._sizes = {}
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
