"""``make bench``: measures an entry process against direct access to the engines."""

from __future__ import annotations

import contextlib
import json
import threading
import time

from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from local.deployment import CALLER_TOKEN
from local.deployment import Deployment
from local.deployment import DeploymentSpec
from local.deployment import EngineSpec
from local.deployment import call_json
from local.deployment import default_documents
from measure.bench.load import LoadResult
from measure.bench.load import LoadSpec
from measure.bench.load import quantile
from measure.bench.load import run_load
from measure.processes import read_cpu_s
from measure.processes import read_rss_bytes

OUTPUT = Path("build/bench.json")
FIRST_PORT = 12080
ENGINES = 4
SENDER_PROCESSES = 2
SLOTS = 1024
REQUESTS_PER_S = 72.0  # load of one entry at the target size
TOKENS = 288  # per stream: 20,700 tokens/s at 72 requests/s
TOKEN_MS = 33
FAST_TOKEN_MS = 10
TARGET_LOAD_S = 30.0
ITEM = "grid/defects@v1"
MODEL = "grid/defects"
OPEN_STREAMS = (250, 500, 1000, 2000)


def start(token_ms: int) -> Deployment:
    """Start engines that have loaded the model, and one entry VM."""
    deployment = Deployment(
        spec=DeploymentSpec(
            first_port=FIRST_PORT,
            entry_zones=("east",),
            engines=tuple(
                EngineSpec(
                    name=f"engine-{number}",
                    availability_zone="east",
                    slots=SLOTS,
                    token_ms=token_ms,
                )
                for number in range(ENGINES)
            ),
        )
    )
    deployment.start_stand_ins()
    for number in range(ENGINES):
        order = {"parameters": {"order_id": "bench", "fence": 1, "memory_mib": 800}}
        path = "/v2/repository/models/grid%2Fdefects%40v1/load"
        load_model(deployment, number, path, order)
    deployment.write_documents(default_documents(deployment.spec))
    deployment.start_vm(0)
    deployment.wait_ready()
    deployment.wait_reachable({ITEM})
    return deployment


def load_model(deployment: Deployment, number: int, path: str, order: Any) -> None:
    """Order an engine to load the model until it has; the weight store may refuse loads."""
    port = deployment.engine_port(number)
    deadline = time.monotonic() + 30.0
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError):
            if ITEM in call_json("GET", port, "/control")["resident"]:
                return
            order["parameters"]["fence"] += 1
            call_json("POST", port, path, order)
        time.sleep(0.7)
    raise TimeoutError(f"engine {number} did not load the model in time")


def send(urls: list[str], model: str, **options: Any) -> LoadResult:
    """Send a load from several processes and merge their results."""
    requests = options.pop("requests")
    rate = options.pop("rate", 0.0)
    concurrency = options.pop("concurrency", 0)
    specs = [
        LoadSpec(
            urls=tuple(urls),
            model=model,
            token=CALLER_TOKEN,
            requests=requests // SENDER_PROCESSES,
            rate=rate / SENDER_PROCESSES,
            concurrency=concurrency // SENDER_PROCESSES,
            **options,
        )
        for _ in range(SENDER_PROCESSES)
    ]
    joined = LoadResult()
    with ProcessPoolExecutor(SENDER_PROCESSES) as pool:
        for result in pool.map(run_load, specs):
            joined.first_token_s += result.first_token_s
            joined.gaps_s += result.gaps_s
            joined.complete += result.complete
            joined.failed += result.failed
            joined.tokens += result.tokens
            joined.elapsed_s = max(joined.elapsed_s, result.elapsed_s)
    return joined


def describe(result: LoadResult) -> dict[str, float]:
    """Return the summary of a load's results."""
    return {
        "whole": result.complete,
        "failed": result.failed,
        "requests_per_s": round(result.complete / result.elapsed_s, 1),
        "tokens_per_s": round(result.tokens / result.elapsed_s),
        "first_token_ms_median": round(quantile(result.first_token_s, 0.5) * 1000, 2),
        "first_token_ms_p99": round(quantile(result.first_token_s, 0.99) * 1000, 2),
        "gap_ms_median": round(quantile(result.gaps_s, 0.5) * 1000, 2),
        "gap_ms_p95": round(quantile(result.gaps_s, 0.95) * 1000, 2),
    }


class Bench:
    """A deployment with one entry under load."""

    def __init__(self, *, token_ms: int) -> None:
        self.deployment = start(token_ms)
        self.entry = self.deployment.processes["entry-0"].pid
        ports = [self.deployment.engine_port(number) for number in range(ENGINES)]
        self.direct = [f"http://127.0.0.1:{port}/v1/completions" for port in ports]
        self.via_entry = [f"http://127.0.0.1:{self.deployment.port(0, 0)}/v1/completions"]

    def compare(self, **options: Any) -> dict[str, Any]:
        """Send the same load directly to the engines and through the entry."""
        direct = describe(send(self.direct, ITEM, **options))
        cpu = read_cpu_s(self.entry)
        measured = send(self.via_entry, MODEL, **options)
        used = read_cpu_s(self.entry) - cpu
        via_entry = describe(measured)
        return {
            "straight": direct,
            "through the entry": via_entry,
            "entry_cpu_share": round(used / measured.elapsed_s, 3),
            "entry_rss_mib": round(read_rss_bytes(self.entry) / 2**20, 1),
        }

    def measure_open_streams(self) -> list[dict[str, int]]:
        """Measure the entry's memory while growing numbers of streams are open."""
        rows = []
        for count in OPEN_STREAMS:
            before = read_rss_bytes(self.entry)
            sender = threading.Thread(
                target=send,
                args=(self.via_entry, MODEL),
                kwargs={
                    "requests": count,
                    "rate": 400.0,
                    "max_tokens": 400,
                    "stream": True,
                },
            )
            sender.start()
            time.sleep(count / 400.0 + 3.0)
            during = read_rss_bytes(self.entry)
            sender.join()
            rows.append(
                {
                    "streams": count,
                    "rss_before": before,
                    "rss_during": during,
                    "bytes_a_stream": round((during - before) / count),
                }
            )
        return rows


def main() -> None:
    """Run all measurements; write them to ``build/bench.json`` and print them."""
    found: dict[str, Any] = {}
    bench = Bench(token_ms=TOKEN_MS)
    try:
        found["rss_idle_mib"] = round(read_rss_bytes(bench.entry) / 2**20, 1)
        found["target load"] = bench.compare(
            requests=int(REQUESTS_PER_S * TARGET_LOAD_S),
            rate=REQUESTS_PER_S,
            max_tokens=TOKENS,
            stream=True,
        )
        found["short requests, 64 at once"] = bench.compare(
            requests=6000, concurrency=64, max_tokens=0, stream=False
        )
        found["held streams"] = bench.measure_open_streams()
    finally:
        bench.deployment.stop()
    fast = Bench(token_ms=FAST_TOKEN_MS)
    try:
        found["saturated streams"] = fast.compare(
            requests=2000, rate=400.0, max_tokens=TOKENS, stream=True
        )
    finally:
        fast.deployment.stop()
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_text(json.dumps(found, indent=1), encoding="utf-8")
    print(json.dumps(found, indent=1))


if __name__ == "__main__":
    main()
