"""In-process key-value store with injectable failures, on a manual clock."""

from __future__ import annotations

import json

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
from twisted.internet.defer import Deferred

from cactusshunt.clients.http_client import HttpAnswer
from cactusshunt.clients.http_client import HttpFailure
from cactusshunt.clients.store import EtcdStore
from cactusshunt.clients.store import encode_key
from cactusshunt.clients.store import make_watch_message_receiver
from cactusshunt.clients.store import prefix_end

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.task import Clock

    from cactusshunt.clients.store import Change
    from stand_ins.store_state import StoreState


@dataclass(kw_only=True)
class StoreLink:
    """Network path between one client and the store, with the failures to inject.

    A lost request is applied ``late_delivery_s`` later, or never if that is 0.
    """

    cut: bool = False
    lose_answers: int = 0
    lose_requests: int = 0
    late_delivery_s: float = 0.0
    answer_delay_s: float = 0.001
    mute_watches: bool = False


class MemoryClient:
    """HTTP client that answers the calls of ``EtcdStore`` from a ``StoreState``."""

    def __init__(self, *, clock: Clock, state: StoreState, link: StoreLink) -> None:
        self._clock = clock
        self.state = state
        self.link = link
        self.calls = 0

    async def call(
        self,
        method: str,
        url: str,
        *,
        deadline: float,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        new_connection: bool = False,
    ) -> Result[HttpAnswer, HttpFailure]:
        """Answer one call, or fail as the link is set to."""
        del method, headers, new_connection
        self.calls += 1
        if self.link.cut:
            return Error(HttpFailure(sent=False, reason="cut"))
        path = url[url.index("/v3") :]
        query: dict[str, Any] = json.loads(body or b"{}")
        if self.link.lose_requests > 0:
            self.link.lose_requests -= 1
            if self.link.late_delivery_s:
                self._clock.callLater(self.link.late_delivery_s, self._apply, path, query)
            return await self._fail_at(deadline)
        answer = self._apply(path, query)
        if self.link.lose_answers > 0 and path == "/v3/kv/txn":
            self.link.lose_answers -= 1
            return await self._fail_at(deadline)
        await self._sleep(self.link.answer_delay_s)
        return Ok(HttpAnswer(status=200, body=json.dumps(answer).encode()))

    def _apply(self, path: str, query: dict[str, Any]) -> dict[str, Any]:
        now = self._clock.seconds()
        self.state.expire_leases(now)
        handlers: dict[str, Callable[[], dict[str, Any]]] = {
            "/v3/kv/range": lambda: self.state.read_range(query),
            "/v3/kv/txn": lambda: self.state.transact(query),
            "/v3/lease/grant": lambda: self.state.grant(int(query["TTL"]), now),
            "/v3/lease/keepalive": lambda: self.state.keep_alive(int(query["ID"]), now),
            "/v3/lease/revoke": lambda: self.state.revoke(int(query["ID"])),
        }
        return handlers[path]()

    async def _fail_at(self, deadline: float) -> Result[HttpAnswer, HttpFailure]:
        await self._sleep(max(0.0, deadline - self._clock.seconds()))
        return Error(HttpFailure(sent=True, reason="deadline"))

    def _sleep(self, seconds: float) -> Deferred[None]:
        done: Deferred[None] = Deferred()
        self._clock.callLater(seconds, done.callback, None)
        return done


class MemoryWatch:
    """Handle of an open watch."""

    def __init__(self, *, stop: Callable[[], None]) -> None:
        self.stop = stop


class MemoryStore(EtcdStore):
    """``EtcdStore`` whose client is a ``MemoryClient``."""

    def __init__(self, *, clock: Clock, state: StoreState, link: StoreLink) -> None:
        self.client = MemoryClient(clock=clock, state=state, link=link)
        super().__init__(reactor=clock, client=self.client, urls=["http://store"])  # type: ignore[arg-type]

    def watch(
        self,
        prefix: str,
        *,
        after: int,
        receive: Callable[[int, list[Change]], None],
        end: Callable[[], None],
    ) -> Any:
        """Deliver changes unless the link is cut or its watches are mute."""
        del end
        deliver = make_watch_message_receiver(receive)
        link = self.client.link

        def send(message: dict[str, Any]) -> None:
            if not link.cut and not link.mute_watches and message["result"].get("events"):
                deliver(message)

        request = {
            "key": encode_key(prefix),
            "range_end": encode_key(prefix_end(prefix)),
            "start_revision": str(after + 1),
        }
        watcher = self.client.state.open_watch({"create_request": request}, send)
        return MemoryWatch(stop=lambda: self.client.state.close_watch(watcher))
