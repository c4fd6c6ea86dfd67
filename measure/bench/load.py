"""Load generator of one process: open loop at a rate, or closed loop with a concurrency."""

from __future__ import annotations

import asyncio
import time

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from collections.abc import Sequence

TIMEOUT_S = 120.0


@dataclass(frozen=True, kw_only=True)
class LoadSpec:
    """The load that one process sends.

    ``token`` is the caller's token. The loop is closed if ``concurrency`` is above 0, else open at
    ``rate`` requests per second.
    """

    urls: tuple[str, ...]
    model: str
    token: str
    max_tokens: int
    stream: bool
    requests: int
    rate: float
    concurrency: int = 0


@dataclass(kw_only=True)
class LoadResult:
    """Measurements of a load; times in seconds."""

    first_token_s: list[float] = field(default_factory=list)
    gaps_s: list[float] = field(default_factory=list)
    complete: int = 0
    failed: int = 0
    tokens: int = 0
    elapsed_s: float = 0.0


def run_load(spec: LoadSpec) -> LoadResult:
    """Send the load and return the measurements."""
    return asyncio.run(_run(spec))


async def _run(spec: LoadSpec) -> LoadResult:
    result = LoadResult()
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
        started_at = time.monotonic()
        if spec.concurrency:
            await _run_closed(spec, session, result)
        else:
            await _run_open(spec, session, result, started_at)
        result.elapsed_s = time.monotonic() - started_at
    return result


async def _run_open(
    spec: LoadSpec, session: aiohttp.ClientSession, result: LoadResult, started_at: float
) -> None:
    running = []
    for number in range(spec.requests):
        delay = started_at + number / spec.rate - time.monotonic()
        if delay > 0:
            await asyncio.sleep(delay)
        running.append(asyncio.create_task(_send(spec, session, result, number)))
    await asyncio.gather(*running)


async def _run_closed(spec: LoadSpec, session: aiohttp.ClientSession, result: LoadResult) -> None:
    numbers = iter(range(spec.requests))

    async def worker() -> None:
        for number in numbers:
            await _send(spec, session, result, number)

    await asyncio.gather(*(worker() for _ in range(spec.concurrency)))


async def _send(
    spec: LoadSpec, session: aiohttp.ClientSession, result: LoadResult, number: int
) -> None:
    body = {
        "model": spec.model,
        "prompt": f"prompt {number}",
        "max_tokens": spec.max_tokens,
        "stream": spec.stream,
    }
    headers = {"Authorization": f"Bearer {spec.token}", "X-Request-Id": f"load-{number}"}
    sent_at = time.perf_counter()
    try:
        async with session.post(
            spec.urls[number % len(spec.urls)], json=body, headers=headers
        ) as answer:
            if answer.status != 200:
                result.failed += 1
                return
            await _read_answer(spec, answer, result, sent_at)
    except aiohttp.ClientError:
        result.failed += 1


async def _read_answer(
    spec: LoadSpec, answer: aiohttp.ClientResponse, result: LoadResult, sent_at: float
) -> None:
    if not spec.stream:
        await answer.read()
        result.first_token_s.append(time.perf_counter() - sent_at)
        result.complete += 1
        return
    previous_at = 0.0
    tail = b""
    async for data in answer.content.iter_any():
        now = time.perf_counter()
        if previous_at:
            result.gaps_s.append(now - previous_at)
        else:
            result.first_token_s.append(now - sent_at)
        previous_at = now
        result.tokens += data.count(b"\n\n")
        tail = (tail + data)[-32:]
    complete = tail.endswith(b"data: [DONE]\n\n")
    result.complete += complete
    result.failed += not complete


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return a quantile of the values, or 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))] if ordered else 0.0
