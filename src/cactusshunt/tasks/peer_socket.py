"""ZeroMQ sockets between processes, integrated with the reactor."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

import zmq

from logbook import Logger
from txzmq import ZmqConnection
from txzmq import ZmqEndpoint
from txzmq import ZmqEndpointType
from txzmq import ZmqFactory

from cactusshunt.schema.codec import decode_message
from cactusshunt.schema.codec import encode_message

if TYPE_CHECKING:
    from collections.abc import Callable


log = Logger("peer_socket")

HEARTBEAT_MS = 2000
HEARTBEAT_TIMEOUT_MS = 6000
MAX_QUEUED_MESSAGES = 256  # per connection; further messages are dropped and counted
MAX_MESSAGE_BYTES = 64 * 1024 * 1024


class PeerSocket(ZmqConnection):
    """A socket that counts messages and bytes; drops messages it cannot queue or decode."""

    highWaterMark = MAX_QUEUED_MESSAGES  # noqa: N815

    def __init__(
        self,
        *,
        factory: ZmqFactory,
        receive: Callable[[bytes, Any], None],
        identity: bytes | None = None,
    ) -> None:
        super().__init__(factory, identity=identity)
        self._receive = receive
        self.sent_messages = 0
        self.sent_bytes = 0
        self.received_messages = 0
        self.received_bytes = 0
        self.dropped_messages = 0
        self.socket.set(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
        self.socket.set(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        self.socket.set(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)

    def messageReceived(self, message: list[bytes]) -> None:  # noqa: N802
        """Decode a message and hand it to the receiver with its sender's identity."""
        sender, frames = self.split_sender(message)
        self.received_messages += 1
        self.received_bytes += sum(len(frame) for frame in frames)
        result = decode_message(frames)
        if result.is_error():
            self.dropped_messages += 1
            log.warning("undecodable message dropped: {}", result.error)
            return
        self._receive(sender, result.ok)

    def split_sender(self, message: list[bytes]) -> tuple[bytes, list[bytes]]:
        """Return the sender's identity, empty on this kind of socket, and the other frames."""
        return b"", message

    def send_frames(self, frames: list[bytes]) -> None:
        """Send frames; if the send queue is full, drop and count the message."""
        try:
            self.send(frames)
        except zmq.Again:
            self.dropped_messages += 1
            return
        self.sent_messages += 1
        self.sent_bytes += sum(len(frame) for frame in frames)


class ServerSocketInterface(Protocol):
    """What the peer task calls on its bound socket."""

    def send_to(self, identity: bytes, message: object) -> None:
        """Send a message to a connected peer."""

    def shutdown(self) -> None:
        """Close the socket."""


class ClientSocketInterface(Protocol):
    """What the peer task calls on a socket connected to one peer."""

    def send_message(self, message: object) -> None:
        """Send a message to the peer."""

    def shutdown(self) -> None:
        """Close the socket."""


class PeerNetwork(Protocol):
    """Creates the sockets between processes."""

    def listen(
        self, *, receive: Callable[[bytes, Any], None], address: str
    ) -> ServerSocketInterface:
        """Bind a socket."""

    def connect(
        self, *, receive: Callable[[bytes, Any], None], address: str, identity: bytes
    ) -> ClientSocketInterface:
        """Connect a socket to a peer."""


class ServerSocket(PeerSocket):
    """Bound socket that sends to connected peers by their identity."""

    socketType = zmq.ROUTER  # noqa: N815

    def __init__(
        self, *, factory: ZmqFactory, receive: Callable[[bytes, Any], None], address: str
    ) -> None:
        super().__init__(factory=factory, receive=receive)
        self.socket.set(zmq.ROUTER_HANDOVER, 1)
        self.addEndpoints([ZmqEndpoint(ZmqEndpointType.bind, f"tcp://{address}")])

    def split_sender(self, message: list[bytes]) -> tuple[bytes, list[bytes]]:
        """Return the identity frame and the other frames."""
        return message[0], message[1:]

    def send_to(self, identity: bytes, message: object) -> None:
        """Send a message to a connected peer; dropped if the peer is unknown."""
        self.send_frames([identity, *encode_message(message)])


class ClientSocket(PeerSocket):
    """Socket connected to one peer."""

    socketType = zmq.DEALER  # noqa: N815

    def __init__(
        self,
        *,
        factory: ZmqFactory,
        receive: Callable[[bytes, Any], None],
        address: str,
        identity: bytes,
    ) -> None:
        super().__init__(factory=factory, receive=receive, identity=identity)
        self.addEndpoints([ZmqEndpoint(ZmqEndpointType.connect, f"tcp://{address}")])

    def send_message(self, message: object) -> None:
        """Send a message to the peer."""
        self.send_frames(encode_message(message))


class ZmqNetwork:
    """Creates sockets over TCP that share one ZeroMQ context."""

    def __init__(self) -> None:
        self._factory = ZmqFactory()
        self._sockets: list[PeerSocket] = []

    def listen(self, *, receive: Callable[[bytes, Any], None], address: str) -> ServerSocket:
        """Bind a socket."""
        socket = ServerSocket(factory=self._factory, receive=receive, address=address)
        self._sockets.append(socket)
        return socket

    def connect(
        self, *, receive: Callable[[bytes, Any], None], address: str, identity: bytes
    ) -> ClientSocket:
        """Connect a socket to a peer."""
        socket = ClientSocket(
            factory=self._factory, receive=receive, address=address, identity=identity
        )
        self._sockets = [known for known in self._sockets if known.socket is not None]
        self._sockets.append(socket)
        return socket

    def count(self) -> dict[str, int]:
        """Return the message and byte counts, summed over all sockets."""
        names = (
            "sent_messages",
            "sent_bytes",
            "received_messages",
            "received_bytes",
            "dropped_messages",
        )
        return {name: sum(getattr(socket, name) for socket in self._sockets) for name in names}
