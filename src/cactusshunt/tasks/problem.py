"""Error answers as problem details (RFC 9457)."""

from __future__ import annotations

import math

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import msgspec

if TYPE_CHECKING:
    from twisted.web.server import Request

    from cactusshunt.decisions.attempt import Outcome

TYPE_PREFIX = "urn:cactusshunt:problem:"
PROBLEM_CONTENT_TYPE = "application/problem+json"


@dataclass(frozen=True, kw_only=True)
class Problem:
    """Describes one error answer; ``retry_at`` in Unix seconds, 0 if a retry cannot succeed."""

    status: int
    kind: str
    detail: str
    remedy: str
    outcome: Outcome | None = None
    retry_at: float = 0.0
    errors: tuple[str, ...] = ()


def describe_problem(problem: Problem, request_id: str = "") -> dict[str, Any]:
    """Return the members of the JSON body of a problem."""
    members: dict[str, Any] = {
        "type": f"{TYPE_PREFIX}{problem.kind}",
        "title": problem.kind.replace("-", " "),
        "status": problem.status,
        "detail": problem.detail,
        "remedy": problem.remedy,
    }
    if problem.outcome is not None:
        members["outcome"] = problem.outcome.value
    if problem.errors:
        members["errors"] = list(problem.errors)
    if request_id:
        members["request_id"] = request_id
    return members


def retry_after_s(problem: Problem, now: float) -> int:
    """Return the value of Retry-After: whole seconds, at least 1."""
    return max(1, math.ceil(problem.retry_at - now))


def send_problem(request: Request, problem: Problem, *, now: float, request_id: str = "") -> None:
    """Answer a request with a problem; no part of an answer may have been sent before."""
    request.setResponseCode(problem.status)
    request.setHeader("Content-Type", PROBLEM_CONTENT_TYPE)
    if problem.retry_at:
        request.setHeader("Retry-After", str(retry_after_s(problem, now)))
    if problem.status == 401:
        request.setHeader("WWW-Authenticate", "Bearer")
    body = msgspec.json.encode(describe_problem(problem, request_id))
    request.setHeader("Content-Length", str(len(body)))
    request.write(body)
    request.finish()
