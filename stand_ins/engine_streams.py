"""Execution of requests by the engine stand-in: batching, priorities, streams and faults."""

from __future__ import annotations

import json

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from stand_ins.http import abort_connection
from stand_ins.http import send_answer
from stand_ins.tokens import token_at

if TYPE_CHECKING:
    from twisted.web.server import Request


@dataclass(kw_only=True)
class StreamFaults:
    """Faults in answers and streams, set by ``POST /control``."""

    lose_answers: int = 0
    break_after_tokens: int = 0
    break_streams: int = 0
    swap_answers: int = 0
    fail_fast: int = 0
    frozen: bool = False
    silent_connections: bool = False


@dataclass(kw_only=True)
class RequestExecution:
    """One running or waiting request; ``position`` is the index of its next token."""

    request: Request
    item: str
    prompt: str
    count: int
    stream: bool
    chat: bool
    priority: int
    position: int
    request_id: str
    sent_headers: bool = False
    text: list[str] = field(default_factory=list)


class EngineStreams:
    """Batch of running requests, with a queue ordered by priority."""

    def __init__(self, *, slots: int) -> None:
        self.slots = slots
        self.running: list[RequestExecution] = []
        self.waiting: list[RequestExecution] = []
        self.executions: Counter[str] = Counter()
        self.faults = StreamFaults()
        self.cancelled = 0

    def submit(self, request: Request, body: dict[str, Any], *, chat: bool) -> None:
        """Queue a request and start it if a slot is free."""
        resumed = request.getHeader("Last-Event-ID")
        run = RequestExecution(
            request=request,
            item=body["model"],
            prompt=_extract_prompt(body),
            count=int(body.get("max_tokens", 16)),
            stream=bool(body.get("stream", False)),
            chat=chat,
            priority=int(body.get("priority", 0)),
            position=int(resumed) + 1 if resumed else 0,
            request_id=request.getHeader("X-Request-Id") or "",
        )
        self.waiting.append(run)
        request.notifyFinish().addErrback(lambda _: self._cancel(run))
        self._admit()

    def is_in_use(self, item: str) -> bool:
        """Return whether a running or waiting request uses an item."""
        return any(run.item == item for run in (*self.running, *self.waiting))

    def step(self) -> None:
        """Generate one token for each running request."""
        if self.faults.frozen:
            return
        for run in list(self.running):
            self._advance(run)
        self._admit()

    def _admit(self) -> None:
        if self.faults.frozen:
            return
        self.waiting.sort(key=lambda run: -run.priority)
        while self.waiting and len(self.running) < self.slots:
            run = self.waiting.pop(0)
            self.running.append(run)
            key = run.request.getHeader("Idempotency-Key")
            self.executions[key or run.request_id] += 1

    def _advance(self, run: RequestExecution) -> None:
        if run.position >= run.count:
            self._finish(run)
            return
        token = token_at(run.item, run.prompt, run.position)
        run.text.append(token)
        if run.stream:
            self._send_headers(run)
            run.request.write(_encode_event(run, token))
        run.position += 1
        if self.faults.break_streams > 0 and run.position >= self.faults.break_after_tokens > 0:
            self.faults.break_streams -= 1
            self.running.remove(run)
            abort_connection(run.request)

    def _finish(self, run: RequestExecution) -> None:
        self.running.remove(run)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            abort_connection(run.request)
            return
        self._send_headers(run)
        if run.stream:
            run.request.write(b"data: [DONE]\n\n")
            run.request.finish()
            return
        send_answer(run.request, _make_complete_answer(run))

    def _send_headers(self, run: RequestExecution) -> None:
        if run.sent_headers:
            return
        run.sent_headers = True
        request_id = run.request_id
        if self.faults.swap_answers > 0:
            self.faults.swap_answers -= 1
            request_id = "another-request"
        run.request.setHeader("X-Request-Id", request_id)
        if run.stream:
            run.request.setHeader("Content-Type", "text/event-stream")

    def _cancel(self, run: RequestExecution) -> None:
        if run in self.running:
            self.running.remove(run)
            self.cancelled += 1
        if run in self.waiting:
            self.waiting.remove(run)
            self.cancelled += 1


def _extract_prompt(body: dict[str, Any]) -> str:
    if "messages" in body:
        return "\n".join(str(message.get("content", "")) for message in body["messages"])
    return str(body.get("prompt", ""))


def _encode_event(run: RequestExecution, token: str) -> bytes:
    last = run.position == run.count - 1
    reason = "stop" if last else None
    if run.chat:
        choice: dict[str, Any] = {"index": 0, "delta": {"content": token}, "finish_reason": reason}
    else:
        choice = {"index": 0, "text": token, "finish_reason": reason}
    kind = "chat.completion.chunk" if run.chat else "text_completion"
    chunk = _wrap_choice(run, kind, choice)
    return b"id: %d\ndata: %s\n\n" % (run.position, json.dumps(chunk).encode())


def _make_complete_answer(run: RequestExecution) -> dict[str, Any]:
    text = "".join(run.text)
    if run.chat:
        message = {"role": "assistant", "content": text}
        choice: dict[str, Any] = {"index": 0, "message": message, "finish_reason": "stop"}
        return _wrap_choice(run, "chat.completion", choice)
    choice = {"index": 0, "text": text, "finish_reason": "stop"}
    return _wrap_choice(run, "text_completion", choice)


def _wrap_choice(run: RequestExecution, kind: str, choice: dict[str, Any]) -> dict[str, Any]:
    return {
        "id": run.request_id,
        "object": kind,
        "created": 0,
        "model": run.item,
        "choices": [choice],
    }
