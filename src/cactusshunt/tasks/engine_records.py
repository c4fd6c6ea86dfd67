"""Engine records of one zone and the weight store slots, written by compare-and-swap only."""

from __future__ import annotations

from typing import TYPE_CHECKING

from logbook import Logger

from cactusshunt.clients.store import ABSENT
from cactusshunt.clients.store import Commit
from cactusshunt.clients.store import Put
from cactusshunt.decisions.weight_slots import choose_slot
from cactusshunt.decisions.weight_slots import release_slot
from cactusshunt.decisions.weight_slots import take_slot
from cactusshunt.schema.codec import decode_record
from cactusshunt.schema.codec import encode_record
from cactusshunt.schema.generated.messages import EngineRecord
from cactusshunt.schema.generated.messages import SlotRecord

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cactusshunt.clients.store import Snapshot
    from cactusshunt.clients.store import Store
    from cactusshunt.schema.generated.messages import Order
    from cactusshunt.schema.generated.settings import WeightStore

log = Logger("records")

SLOT_PREFIX = "weight_slots/"
STORE_TIMEOUT_S = 1.0


class EngineRecords:
    """The lease holder's copy of its zone's records, with the store revision of each.

    ``created`` maps store keys to the creation revision that they must have for a write.
    """

    def __init__(self, *, store: Store, availability_zone: str, clock_error_s: float) -> None:
        self._store = store
        self._zone = availability_zone
        self._clock_error_s = clock_error_s
        self.records: dict[str, EngineRecord] = {}
        self._revisions: dict[str, int] = {}
        self._slots: dict[int, SlotRecord] = {}
        self._slot_revisions: dict[int, int] = {}
        self.is_current = False

    @property
    def prefix(self) -> str:
        """Return the store prefix of the zone's records."""
        return records_prefix(self._zone)

    def invalidate(self) -> None:
        """Mark the copy as outdated, so that it is read again."""
        self.is_current = False

    async def load(self, now: float) -> bool:
        """Read all records and slots; return ``False`` if the store did not answer."""
        records = await self._store.read_prefix(self.prefix, deadline=now + STORE_TIMEOUT_S)
        if records.is_error() or not await self.read_slots(now):
            return False
        self.records, self._revisions = read_records(records.ok)
        self.is_current = True
        return True

    async def read_slots(self, now: float) -> bool:
        """Read the weight store slots, which all zones share; return whether that succeeded."""
        slots = await self._store.read_prefix(SLOT_PREFIX, deadline=now + STORE_TIMEOUT_S)
        if slots.is_error():
            return False
        self._slots = {}
        self._slot_revisions = {}
        for entry in slots.ok.entries:
            slot = decode_record(entry.value, SlotRecord)
            number = int(entry.key.removeprefix(SLOT_PREFIX))
            self._slot_revisions[number] = entry.mod_revision
            if slot.is_ok():
                self._slots[number] = slot.ok
        return True

    def choose_slot(self, limits: WeightStore, now: float) -> int | None:
        """Return the number of a weight store slot that may be taken now, or ``None``."""
        return choose_slot(
            self._slots,
            limits,
            availability_zone=self._zone,
            now=now,
            clock_error_s=self._clock_error_s,
        )

    async def write_order(
        self,
        record: EngineRecord,
        order: Order,
        *,
        limits: WeightStore,
        created: Mapping[str, int],
        now: float,
    ) -> bool:
        """Write a record with a new pending order and take its slot, before the order is sent."""
        slots = {}
        if order.slot >= 0:  # -1: no slot
            slots[order.slot] = take_slot(
                limits,
                availability_zone=self._zone,
                engine=record.engine,
                order_id=order.order_id,
                now=now,
            )
        return await self._write_record(record, slots, created, now)

    async def write_updated(
        self,
        record: EngineRecord,
        *,
        released: Order | None,
        created: Mapping[str, int],
        now: float,
    ) -> bool:
        """Write a record updated from a report, and release the slot of a settled order."""
        slots = {}
        if released is not None and released.slot >= 0:  # -1: no slot
            slot = self._slots.get(released.slot)
            if slot is not None and slot.order_id == released.order_id:
                slots[released.slot] = release_slot(slot)
        return await self._write_record(record, slots, created, now)

    async def remove(self, engine: str, *, created: Mapping[str, int], now: float) -> bool:
        """Delete the record of an engine that no longer exists."""
        key = self._key(engine)
        result = await self._store.commit(
            Commit(
                expected={key: self._revisions.get(engine, ABSENT)}, created=created, deletes=[key]
            ),
            deadline=now + STORE_TIMEOUT_S,
        )
        if result.is_error():
            self.invalidate()
            return False
        self.records.pop(engine, None)
        self._revisions.pop(engine, None)
        return True

    async def _write_record(
        self,
        record: EngineRecord,
        slots: Mapping[int, SlotRecord],
        created: Mapping[str, int],
        now: float,
    ) -> bool:
        key = self._key(record.engine)
        expected = {key: self._revisions.get(record.engine, ABSENT)}
        puts = [Put(key=key, value=encode_record(record))]
        for number, slot in slots.items():
            slot_key = f"{SLOT_PREFIX}{number}"
            expected[slot_key] = self._slot_revisions.get(number, ABSENT)
            puts.append(Put(key=slot_key, value=encode_record(slot)))
        result = await self._store.commit(
            Commit(expected=expected, created=created, puts=puts), deadline=now + STORE_TIMEOUT_S
        )
        if result.is_error():
            log.info("record of {} not written: {}", record.engine, result.error)
            self.invalidate()
            return False
        self.records[record.engine] = record
        self._revisions[record.engine] = result.ok
        for number, slot in slots.items():
            self._slots[number] = slot
            self._slot_revisions[number] = result.ok
        return True

    def _key(self, engine: str) -> str:
        return f"{self.prefix}{engine}"


def records_prefix(availability_zone: str) -> str:
    """Return the store prefix of a zone's engine records."""
    return f"engines/{availability_zone}/"


def read_records(snapshot: Snapshot) -> tuple[dict[str, EngineRecord], dict[str, int]]:
    """Return the records and revisions by engine; undecodable records only have a revision."""
    records: dict[str, EngineRecord] = {}
    revisions: dict[str, int] = {}
    for entry in snapshot.entries:
        engine = entry.key.rpartition("/")[2]
        revisions[engine] = entry.mod_revision
        found = decode_record(entry.value, EngineRecord)
        if found.is_ok():
            records[engine] = found.ok
    return records, revisions
