"""Takes and renews the lease of this node's availability zone."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from logbook import Logger

from cactusshunt.clients.store import ABSENT
from cactusshunt.clients.store import Commit
from cactusshunt.clients.store import Put
from cactusshunt.decisions.lease import grant_lease
from cactusshunt.decisions.lease import lose_lease
from cactusshunt.decisions.lease import renew_lease
from cactusshunt.exceptions import CompareFailedError
from cactusshunt.tasks.periodic import Periodic

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase

    from cactusshunt.clients.store import Store
    from cactusshunt.schema.generated.process import ProcessSettings

log = Logger("lease")

RENEWALS_PER_TTL = 3
STORE_TIMEOUT_S = 1.0


class LeaseTask:
    """Takes the zone's lease when it is free, and renews it while it is held."""

    def __init__(self, *, reactor: ReactorBase, store: Store, settings: ProcessSettings) -> None:
        self._reactor = reactor
        self._store = store
        self._settings = settings
        self._lease = lose_lease()
        self._stopping = False
        self._renewals = Periodic(
            reactor=reactor,
            interval_s=settings.lease_ttl_s / RENEWALS_PER_TTL,
            run=self._take_or_renew,
        )

    @property
    def key(self) -> str:
        """Return the store key of the zone's lease."""
        return lease_key(self._settings.availability_zone)

    @property
    def fence(self) -> int:
        """Return the fencing token of the lease: the store revision that created its key."""
        return self._lease.fence

    def is_held(self) -> bool:
        """Return whether this process may send orders now."""
        return self._lease.is_held(self._reactor.seconds()) and not self._stopping

    def start(self) -> None:
        """Start trying to take the lease."""
        self._renewals.start()

    async def release(self) -> None:
        """Release the lease, so that another node can take it before it expires."""
        self._stopping = True
        self._renewals.stop()
        if self._lease.lease_id:
            await self._store.revoke_lease(self._lease.lease_id, deadline=self._deadline())
        self._lease = lose_lease()

    def dump(self) -> dict[str, Any]:
        """Return this task's state."""
        return {"held": self.is_held(), "fence": self._lease.fence}

    async def _take_or_renew(self) -> None:
        if self._lease.lease_id:
            await self._renew()
        else:
            await self._try_to_take()

    async def _renew(self) -> None:
        requested_at = self._reactor.seconds()
        result = await self._store.renew_lease(self._lease.lease_id, deadline=self._deadline())
        if result.is_error():
            if not self._lease.is_held(self._reactor.seconds()):
                log.warning("the zone's lease expired while the store was unreachable")
                self._lease = lose_lease()
            return
        if result.ok <= 0:  # remaining time-to-live; 0 if the lease has expired
            self._lease = lose_lease()
            return
        self._lease = renew_lease(
            self._lease,
            requested_at=requested_at,
            ttl_s=float(result.ok),
            clock_error_s=self._settings.clock_error_ms / 1000,
        )

    async def _try_to_take(self) -> None:
        current = await self._store.read_key(self.key, deadline=self._deadline())
        if current.is_error() or current.ok.entries:
            return
        requested_at = self._reactor.seconds()
        granted = await self._store.grant_lease(
            self._settings.lease_ttl_s, deadline=self._deadline()
        )
        if granted.is_error():
            return
        fence = await self._create_lease_key(granted.ok)
        if fence == ABSENT:
            await self._store.revoke_lease(granted.ok, deadline=self._deadline())
            return
        self._lease = grant_lease(
            lease_id=granted.ok,
            fence=fence,
            requested_at=requested_at,
            ttl_s=float(self._settings.lease_ttl_s),
            clock_error_s=self._settings.clock_error_ms / 1000,
        )
        log.info("took the zone's lease with fencing token {}", fence)

    async def _create_lease_key(self, lease_id: int) -> int:
        """Create the lease key and return its creation revision, or ``ABSENT`` if that failed."""
        value = f"{self._settings.vm} {lease_id}".encode()
        result = await self._store.commit(
            Commit(
                expected={self.key: ABSENT},
                puts=[Put(key=self.key, value=value, lease_id=lease_id)],
            ),
            deadline=self._deadline(),
        )
        if result.is_ok():
            return int(result.ok)
        if isinstance(result.error, CompareFailedError):
            return ABSENT
        found = await self._store.read_key(self.key, deadline=self._deadline())
        if found.is_ok() and found.ok.entries and found.ok.entries[0].value == value:
            return int(found.ok.entries[0].create_revision)
        return ABSENT

    def _deadline(self) -> float:
        return self._reactor.seconds() + STORE_TIMEOUT_S


def lease_key(availability_zone: str) -> str:
    """Return the store key of a zone's lease."""
    return f"leases/zones/{availability_zone}"
