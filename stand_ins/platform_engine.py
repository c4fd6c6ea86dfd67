"""Stand-in for one engine of the users' platform, or for a plain service without models.

Run as ``python -m stand_ins.platform_engine NAME PORT STORE_PORT SERVICE MODEL,MODEL PUBLIC_PORT
VERSION``. The optional public port is written into the engine's record in the store if others reach
the engine on another port than its own. The optional version, of the engine's software, is written
there and into each event of its streams. Answers carry the request's ID and a seal, which stands
for the engine's signature.

``POST /test/fault`` sets the fault of the next requests: ``refuse`` answers 503 without running the
request, ``vanish`` runs it and aborts the connection, ``tear`` aborts a stream in its fourth event
and ``tear-new`` only one that is not taken up,
``foreign`` answers with the ID of another request, ``stale`` runs the request and then sends a
refusal without an ID, as a late copy of an earlier answer, ``dribble`` sends a byte of a stream now
and then and never ends it, ``slow`` sends its events ten times as slowly. ``drain`` takes effect at
once: the engine's record in the store changes to draining.

``POST /test/deadly`` names a ``part`` of prompts or a ``path`` of requests under which the engine
dies once it begins to answer: all its connections are reset and new ones refused, and it is born
again, without models, ``back_s`` later. ``null`` ends it. ``GET /test/runs`` has ``deadly``, times
and IDs of requests that arrived with the part or path, and ``crashes``, their times. Plain answers
take ``WORK_S`` while a path is deadly.

``POST /test/brittle`` makes a plain instance name ``per_s`` in ``Server-Brittle``. Its answers then
take ``work_s``; above ``room`` requests at once it turns one away with 503, and it falls over, like
under a deadly part, when it has turned more than ``per_s`` away within a second. ``falls`` are
their times.

``POST /test/notices`` sets what the engine says of itself, see ``stand_ins.engine_notices``; a
birth ends it. ``GET /test/runs`` lists under ``said`` ID, time and text of each answer that does.

``POST /test/clock`` says by how many ms the engine's time of day at its start was ahead.

``POST /test/taken-up`` sets how streams that are taken up are answered from then on: a failure's
status or ``refuse`` with an error's text, ``empty`` without events, ``json`` with another content
type, ``anew`` from the first event, ``unsealed`` without a seal; ``null`` ends it.

``POST /test/cut`` ends the connection of each run after ``at`` bytes of its answer's head, with a
reset if it ``resets``; ``null`` ends it. ``cut`` lists these runs.

``POST /test/echo`` makes a plain instance write an earlier refusal once more: ``how`` is ``before``
an answer, ``instead`` of it or ``after`` it; without the earlier request's ID if ``anonymous``.

``POST /test/limit`` sets the text of ``Server-Limit`` in every ``every``-th answer from then on;
``null`` ends it. ``GET /test/runs`` lists the IDs of the requests that ran, and under ``arrivals``
ID, time and whether the answer names a limit of each request that arrived, and under ``headers``
those in ``RECORDED_HEADERS`` that it had, by ID; standard output has a
line with ID and time for each run, with the limit for each arrival while there is one, and with all
headers, as JSON with names in lower case, for each call but those below ``/test/``.
"""

from __future__ import annotations

import json
import sys
import time
import urllib.request

from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.tcp import Server
from twisted.internet.threads import deferToThread
from twisted.web.server import NOT_DONE_YET

from stand_ins.cut_heads import HeadCut
from stand_ins.engine_notices import EngineNotices
from stand_ins.http import abort_connection
from stand_ins.http import encode_answer
from stand_ins.http import listen
from stand_ins.http import read_json
from stand_ins.http import read_path
from stand_ins.http import send_answer
from stand_ins.reactor import reactor
from stand_ins.spoilt_answers import RefusalEcho
from stand_ins.spoilt_answers import answer_taken_up

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IListeningPort
    from twisted.web.server import Request

HEARTBEAT_S = 1.0
LOAD_S = 0.2
EVENT_INTERVAL_S = 0.02
EVENTS_PER_STREAM = 8
DRIBBLE_INTERVAL_S = 0.3
SLOW_FACTOR = 10
RECORDED_HEADERS = ("X-Tenant", "Authorization", "X-Request-Priority", "Cactusshunt-Customer")
WORK_S = 0.06  # of a plain service with a deadly path, so that it dies with requests unanswered
MAX_MODELS = 2


class PlatformEngineStandIn:
    """Engine that loads models, executes orders in sequence and streams numbered events."""

    def __init__(
        self,
        name: str,
        public_port: int,
        store: int,
        service: str,
        models: list[str],
        version: str = "",
    ) -> None:
        self._name, self._public_port, self._store, self._service = (
            name,
            public_port,
            store,
            service,
        )
        self._born = int(time.time() * 1000)
        self._models = models
        self._version = version
        self._sequence = 0
        self._busy = False
        self._faults: list[str] = []
        self._runs: list[str] = []
        self._cancelled: list[str] = []
        self._limit: str | None = None
        self._limit_every = 1
        self._arrivals: list[tuple[str, float, bool]] = []
        self._headers: dict[str, dict[str, str]] = {}
        self._state = "ready"
        self._deadly_part: str | None = None
        self._deadly_path: str | None = None
        self._back_s = 2.0
        self._deadly: list[tuple[float, str]] = []
        self._crashes: list[float] = []
        self._brittle: dict[str, Any] | None = None
        self._brittle_running = 0
        self._turned_away: list[float] = []
        self._falls: list[float] = []
        self._notices = EngineNotices()
        self._taken_up: str | None = None
        self._echo = RefusalEcho()
        self._cut = HeadCut()
        self._alive = True
        self.listen: Callable[[], IListeningPort] | None = None
        self._port: IListeningPort | None = None
        self.overcommitted = False
        reactor.callWhenRunning(self._beat)

    def open_port(self) -> None:
        """Listen for callers, now and after each death."""
        if self.listen is not None:
            self._port = self.listen()

    def _die(self, request_id: str, back_s: float) -> None:
        if not self._alive or self._port is None:
            return
        self._alive = False
        self._crashes.append(time.time())
        print("crash", request_id, time.time(), flush=True)
        self._port.stopListening()
        for reader in reactor.getReaders():
            if isinstance(reader, Server):
                reader.abortConnection()
        reactor.callLater(back_s, self._be_born)

    def _be_born(self) -> None:
        self._alive = True
        self._born = int(time.time() * 1000)
        self._models, self._sequence, self._busy = [], 0, False
        self._brittle_running = 0
        self._notices.forget()
        self.open_port()
        self.register()

    def _beat(self) -> None:
        if self._alive:
            self.register()
        reactor.callLater(HEARTBEAT_S, self._beat)

    def register(self) -> None:
        """Write the engine's record into the store."""
        entry = {
            "service": self._service,
            "address": f"127.0.0.1:{self._public_port}",
            "zone": "east",
            "slots": 8,
            "state": self._state,
            "born": self._born,
            "models": self._describe_models(),
            "sequence": 1,
        }
        if self._version:
            entry["version"] = self._version
        items = {"items": {f"servers/{self._name}": json.dumps(entry)}}
        written = deferToThread(post, f"http://127.0.0.1:{self._store}/test/put", items)
        written.addErrback(lambda _: None)  # the next heartbeat writes it again

    def handle(self, request: Request) -> Any:
        """Answer a test call, a report call, an order or a request."""
        path = read_path(request)
        if path == "/test/fault":
            body = read_json(request)
            self._faults = [body["kind"]] * int(body["count"])
            if body["kind"] == "drain":
                self._faults = []
                self._state = "draining"
                self.register()
            return {}
        if path == "/test/deadly":
            body = read_json(request)
            self._deadly_part, self._deadly_path = body.get("part"), body.get("path")
            self._back_s = float(body.get("back_s", 2.0))
            return {}
        if path == "/test/brittle":
            self._brittle = read_json(request) or None  # an empty body ends it
            return {}
        if path == "/test/limit":
            body = read_json(request)
            self._limit, self._limit_every = body["value"], int(body.get("every", 1))
            return {}
        if path == "/test/notices":
            self._notices.configure(read_json(request))
            return {}
        if path == "/test/clock":
            self._born += int(read_json(request)["ahead_ms"])
            return {}
        if path == "/test/taken-up":
            self._taken_up = read_json(request)["answer"]
            return {}
        if path == "/test/cut":
            self._cut.configure(read_json(request))
            return {}
        if path == "/test/echo":
            self._echo.configure(read_json(request))
            return {}
        if path == "/test/runs":
            return {
                "runs": self._runs,
                "said": self._notices.said,
                "arrivals": self._arrivals,
                "headers": self._headers,
                "cancelled": self._cancelled,
                "deadly": self._deadly,
                "crashes": self._crashes,
                "falls": self._falls,
                "cut": self._cut.runs,
                "turned_away": len(self._turned_away),
                "overcommitted": self.overcommitted,
            }
        request_id = request.getHeader("X-Request-Id")
        _print_headers(request, request_id or "-")
        if request_id is not None:
            request.setHeader("X-Request-Id", request_id)
        if request.getHeader("X-Expect-Instance") not in (None, self._name):
            return encode_answer(request, {}, 421)
        self._notices.mark(request)
        if path == "/v1/report":
            return {
                "models": self._describe_models(),
                "busy": self._busy,
                "sequence": self._sequence,
                "born": self._born,
            }
        if path == "/v1/order":
            return self._handle_order(request)
        if path == "/healthz":
            request.setHeader("X-Instance-Id", self._name)
            return encode_answer(request, {}, 503) if self._notices.refuses(request) else {}
        return self._run(request)

    def _describe_models(self) -> list[dict[str, Any]]:
        return [{"name": name, "version": 1, "adapters": []} for name in self._models]

    def _handle_order(self, request: Request) -> Any:
        order = read_json(request)
        if "owner" in order:  # else it is a test that orders
            print("order", order["owner"], order["fencingToken"], time.time(), flush=True)
        if self._busy or order["expected"] != self._sequence:
            return encode_answer(request, {}, 409)
        if order["operation"] == "load" and order["model"] in self._models:
            return encode_answer(request, {}, 200)
        self._sequence += 1
        self._busy = True
        if order["operation"] == "unload":
            self._models.remove(order["model"])
            reactor.callLater(0.02, self._finish_order, None, self._born)
        else:
            self.overcommitted |= len(self._models) >= MAX_MODELS
            reactor.callLater(LOAD_S, self._finish_order, order["model"], self._born)
        return encode_answer(request, {}, 202)

    def _finish_order(self, model: str | None, born: int) -> None:
        if born != self._born:
            return
        self._busy = False
        if model is not None:
            self._models.append(model)
        self.register()

    def _run(self, request: Request) -> Any:
        request_id = request.getHeader("X-Request-Id") or ""
        if self._is_deadly(request):
            self._deadly.append((time.time(), request_id))
            print("deadly", request_id, time.time(), flush=True)
            reactor.callLater(2 * EVENT_INTERVAL_S, self._die, request_id, self._back_s)
        self._name_limit(request, request_id)
        self._headers[request_id] = {
            name: value for name in RECORDED_HEADERS if (value := request.getHeader(name))
        }
        self._notices.record_arrival(request)
        if self._notices.refuses(request):
            return encode_answer(request, {}, 503)
        if self._brittle is not None and not self._takes_brittle(request, self._brittle):
            return encode_answer(request, {}, 503)
        model = request.getHeader("X-Model")
        if model is not None and model not in self._models:
            return encode_answer(request, {}, 421)
        fault = self._take_fault(request)
        if fault == "refuse":
            self._echo.record_refusal(request)
            request.setHeader("X-Not-Executed", "1")
            return encode_answer(request, {}, 503)
        self._runs.append(request_id)
        print("run", request_id, time.time(), flush=True)
        request.notifyFinish().addErrback(lambda _: self._cancelled.append(request_id))
        if self._cut.spoil(request):
            return NOT_DONE_YET
        if fault == "stale":
            request.setHeader("X-Not-Executed", "1")
            request.responseHeaders.removeHeader("X-Request-Id")
            return encode_answer(request, {}, 503)
        if fault == "vanish":
            abort_connection(request)
            return NOT_DONE_YET
        request.setHeader("X-Request-Id", "another" if fault == "foreign" else request_id)
        request.setHeader("X-Response-Seal", f"seal-{self._name}")
        if model is None:
            return self._answer_plainly(request, request_id)
        first = int(request.getHeader("Last-Event-Id") or 0)
        if first and self._taken_up is not None:
            failure = answer_taken_up(request, self._taken_up)
            if failure is not None:
                return failure
            first = 0 if self._taken_up == "anew" else first
        request.setHeader("Content-Type", "text/event-stream")
        reactor.callLater(EVENT_INTERVAL_S, self._send_event, request, first + 1, fault)
        return NOT_DONE_YET

    def _take_fault(self, request: Request) -> str:
        """Return the fault of a request; ``tear-new`` spares streams that are taken up."""
        if not self._faults:
            return ""
        if self._faults[-1] == "tear-new":
            if request.getHeader("Last-Event-Id"):
                return ""
            self._faults.pop()
            return "tear"
        return self._faults.pop()

    def _answer_plainly(self, request: Request, request_id: str) -> Any:
        answer = {"id": request_id, "by": self._name}
        if self._echo.spoil(request):
            return NOT_DONE_YET
        if self._brittle is not None:
            reactor.callLater(float(self._brittle["work_s"]), self._finish_brittle, request, answer)
            return NOT_DONE_YET
        if self._deadly_path is None:
            return encode_answer(request, answer)
        if not self._is_deadly(request):
            reactor.callLater(WORK_S, send_answer, request, answer)
        return NOT_DONE_YET

    def _takes_brittle(self, request: Request, brittle: dict[str, Any]) -> bool:
        """Return whether there is room for a request; fall over if too many were turned away."""
        request.setHeader("Server-Brittle", str(brittle["per_s"]))
        if self._brittle_running < brittle["room"]:
            self._brittle_running += 1
            return True
        now = time.time()
        self._turned_away.append(now)
        request.setHeader("X-Not-Executed", "1")
        if sum(at > now - 1.0 for at in self._turned_away) > brittle["per_s"]:
            self._falls.append(now)
            print("fall", self._name, now, flush=True)
            reactor.callLater(0.0, self._die, "", self._back_s)
        return False

    def _finish_brittle(self, request: Request, answer: dict[str, Any]) -> None:
        self._brittle_running = max(0, self._brittle_running - 1)
        send_answer(request, answer)

    def _is_deadly(self, request: Request) -> bool:
        parts = [
            part.split(":")[0] for part in (request.getHeader("X-Prompt-Prefix") or "").split(",")
        ]
        return self._deadly_part in parts[:-1] or read_path(request) == self._deadly_path

    def _dribble(self, request: Request) -> None:
        if not request._disconnected:
            request.write(b":")
            reactor.callLater(DRIBBLE_INTERVAL_S, self._dribble, request)

    def _name_limit(self, request: Request, request_id: str) -> None:
        named = self._limit is not None and len(self._arrivals) % self._limit_every == 0
        if self._limit is not None:
            print("limited", request_id, time.time(), self._limit, flush=True)
        self._arrivals.append((request_id, time.time(), named))
        if named:
            request.setHeader("Server-Limit", self._limit)

    def _send_event(self, request: Request, number: int, fault: str) -> None:
        if request._disconnected:
            return
        if fault == "tear" and number == 4:
            request.write(b"id: 4\ndata: to")
            reactor.callLater(EVENT_INTERVAL_S, abort_connection, request)
            return
        if fault == "dribble" and number == 3:
            self._dribble(request)
            return
        made_by = f" of {self._version}" if self._version else ""
        request.write(f"id: {number}\ndata: token {number}{made_by}\n\n".encode())
        if number == EVENTS_PER_STREAM:
            request.finish()
            return
        pause = SLOW_FACTOR * EVENT_INTERVAL_S if fault == "slow" else EVENT_INTERVAL_S
        reactor.callLater(pause, self._send_event, request, number + 1, fault)


def _print_headers(request: Request, request_id: str) -> None:
    fields = {
        name.decode("latin-1").lower(): b", ".join(values).decode("latin-1")
        for name, values in request.requestHeaders.getAllRawHeaders()
    }
    print("headers", request_id, time.time(), json.dumps(fields), flush=True)


def post(url: str, body: dict[str, Any]) -> None:
    """Post a JSON body and wait for the answer."""
    request = urllib.request.Request(url, json.dumps(body).encode(), method="POST")
    urllib.request.urlopen(request, timeout=5).read()


if __name__ == "__main__":
    arguments = sys.argv[1:]
    held = [model for model in arguments[4].split(",") if model] if len(arguments) > 4 else []
    public_port = int(arguments[5]) if len(arguments) > 5 else int(arguments[1])
    engine = PlatformEngineStandIn(
        arguments[0], public_port, int(arguments[2]), arguments[3], held, "".join(arguments[6:7])
    )
    engine.listen = partial(listen, engine.handle, int(arguments[1]))
    engine.open_port()
    reactor.run()
