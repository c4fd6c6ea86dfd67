"""Accepts the requests that other VMs pass on, and their own calls, at a port for VMs only."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from cactusshunt.configuration.peer_configuration import TRANSFER_TIMEOUT_S
from cactusshunt.platform import headers as names
from cactusshunt.requests import local_answers

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from cactusshunt.http1.caller_connection import CallerConnection
    from cactusshunt.http1.caller_connection import ReceivedRequest
    from cactusshunt.http1.caller_connection import RequestLimits
    from cactusshunt.membership.outdated_peers import OutdatedPeers
    from cactusshunt.membership.peer_link import PeerLink
    from cactusshunt.requests.caller_requests import CallerRequests

MAX_DETOURS_IN_FLIGHT = 300  # a few at once while nothing is cut; this VM's own callers come first
# Of the port's connections, for calls that followers leave open (35 at a zone reader of 65 VMs) and
# for idle ones. A connection beyond the bound is closed unread, which the other VM takes for a
# request that may have run; one more request than allowed is refused instead.
OTHER_CONNECTIONS = 60
RETRY_AFTER_S = 0.3
# Of configurations given in TRANSFER_TIMEOUT_S, which the slowest link (5 Mbit/s) carries in it.
MAX_GIVEN_BYTES = 1_900_000


def compute_max_detours(max_connections: int) -> int:
    """Return how many requests of other VMs a port with a bound of connections takes at once."""
    kept_free = min(OTHER_CONNECTIONS, max_connections // 2)
    return min(MAX_DETOURS_IN_FLIGHT, max_connections - kept_free)


class PeerRequests:
    """Handler of connections from registered VMs; handles their requests like callers' ones."""

    def __init__(
        self,
        *,
        callers: CallerRequests,
        link: PeerLink,
        configuration_version: Callable[[], int],
        outdated: OutdatedPeers,
        configuration: Callable[[], bytes],
        answers: Mapping[bytes, Callable[[ReceivedRequest, CallerConnection], None]],
        clock: Callable[[], float],
        max_detours: int = MAX_DETOURS_IN_FLIGHT,
    ) -> None:
        """``configuration`` returns the bytes of the configuration in force, empty without one.

        ``answers`` has what handles other calls of the VMs themselves, by path.
        """
        self._callers = callers
        self._link = link
        self._configuration_version = configuration_version
        self._outdated = outdated
        self._configuration = configuration
        self._answers = answers
        self._clock = clock
        self._max_detours = max_detours
        self._given_bytes = 0
        self._giving_ends_at = 0.0

    def limits(self) -> RequestLimits:
        """Return the size and time limits for reading requests."""
        return self._callers.limits()

    def stopping(self) -> bool:
        """Return whether this VM is stopping."""
        return self._callers.stopping()

    def connection_opened(self, connection: CallerConnection) -> None:
        """Record a new connection."""
        self._callers.connection_opened(connection)

    def connection_closed(self, connection: CallerConnection) -> None:
        """Record the end of a connection."""
        self._callers.connection_closed(connection)

    def handle(self, request: ReceivedRequest, connection: CallerConnection) -> None:
        """Handle a request that a VM passed on; close the connection of anyone else."""
        passed = names.read_detour(request.headers)
        if passed is not None and _asks_for_configuration(request):
            self._answer_configuration(connection)
            return
        answer = self._answers.get(request.target.partition(b"?")[0])
        # Requests of callers that a VM passes on always have a deadline, whatever their path is.
        if names.find_header(request.headers, names.DEADLINE) is not None:
            answer = None
        is_known = self._is_peer(connection) if answer is None else self._is_vm(connection)
        if passed is None or not is_known:
            connection.abort()
            return
        if answer is not None:
            answer(request, connection)
            return
        reason = self._find_refusal(passed.configuration_version)
        if reason is not None:
            request_id = names.find_header(request.headers, names.REQUEST_ID) or b""
            refusal = local_answers.build_refusal(request_id, reason, RETRY_AFTER_S)
            connection.answer(*local_answers.mark_for_peer(refusal, ran=False))
            return
        self._callers.handle(request, connection, is_detour=True)

    def _answer_configuration(self, connection: Any) -> None:
        """Give the configuration, which has keys, to VMs only.

        Those whose registration ended while the store turns them away need it most. Where too
        many ask at once, the others ask again later, and by then more VMs have it.
        """
        if not self._is_vm(connection):
            connection.abort()
            return
        value = self._configuration()
        headers = [(b"Content-Type", b"application/json")]
        if value and self._may_give(len(value)):
            connection.answer(200, headers, value)
        else:
            connection.answer(503, headers, b"")

    def _may_give(self, size: int) -> bool:
        """Return whether one more configuration can arrive in time; one always may be given."""
        now = self._clock()
        if now >= self._giving_ends_at:
            self._given_bytes, self._giving_ends_at = 0, now + TRANSFER_TIMEOUT_S
        if self._given_bytes and self._given_bytes + size > MAX_GIVEN_BYTES:
            return False
        self._given_bytes += size
        return True

    def _find_refusal(self, configuration_version: int) -> str | None:
        if configuration_version > self._configuration_version():
            return "the other VM has a newer configuration"
        if self._callers.detours_in_flight >= self._max_detours:
            return "too many requests of other VMs at once"
        return None

    def _is_vm(self, connection: Any) -> bool:
        """Return whether a VM asks, also one whose registration ended since it last reported.

        VMs that the store turns away need what others know of it most.
        """
        return self._outdated.has_address(connection.transport.getPeer().host)

    def _is_peer(self, connection: Any) -> bool:
        host = connection.transport.getPeer().host
        return any(peer.record.address == host for peer in self._link.peers.values())


def _asks_for_configuration(request: ReceivedRequest) -> bool:
    """Return whether a VM asks for itself, and does not pass a caller's request on.

    A VM gives each request that it passes on a deadline, whatever its caller sent, so that no
    caller gets the configuration by this path.
    """
    asks = request.method == b"GET" and request.target == names.CONFIGURATION_PATH
    return asks and names.find_header(request.headers, names.DEADLINE) is None
