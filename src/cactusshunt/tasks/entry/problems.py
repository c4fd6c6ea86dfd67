"""Problem details that the entry answers callers with."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusshunt.decisions.attempt import Outcome
from cactusshunt.tasks.problem import Problem

if TYPE_CHECKING:
    from cactusshunt.exceptions import UpstreamError

OTHER_ENTRY_RETRY_AFTER_S = 1.0
STORE_RETRY_AFTER_S = 2.0
IN_PROGRESS_RETRY_AFTER_S = 2.0
UPSTREAM_FAILURE_RETRY_AFTER_S = 1.0


def no_caller_token() -> Problem:
    """No token was sent for a team that requires one; unknown models get the same answer."""
    return Problem(
        status=401,
        kind="no-caller-token",
        detail="The team is open only to callers with a token.",
        remedy="Send Authorization: Bearer <token>.",
        outcome=Outcome.NOT_RUN,
    )


def caller_not_allowed() -> Problem:
    """The token is not one of the team's."""
    return Problem(
        status=403,
        kind="caller-not-allowed",
        detail="The token is not one of this team's.",
        remedy="Use a token of the team whose model is called.",
        outcome=Outcome.NOT_RUN,
    )


def unknown_model(name: str) -> Problem:
    """No team has declared a model of this name."""
    return Problem(
        status=404,
        kind="unknown-model",
        detail=f"No team has declared the model {name!r}.",
        remedy="GET /v1/models lists the models that can be called.",
        outcome=Outcome.NOT_RUN,
    )


def no_such_path(path: str) -> Problem:
    """The path is not part of the callers' interface."""
    return Problem(
        status=404,
        kind="no-such-path",
        detail=f"{path} is not served here.",
        remedy="See docs/callers.md for the paths.",
        outcome=Outcome.NOT_RUN,
    )


def malformed_request(detail: str) -> Problem:
    """The request cannot be parsed."""
    return Problem(
        status=400,
        kind="malformed-request",
        detail=detail,
        remedy="See docs/callers.md for the request format.",
        outcome=Outcome.NOT_RUN,
    )


def no_capacity_in_time(retry_at: float) -> Problem:
    """No upstream is expected to have a free slot before the request's wait deadline."""
    return Problem(
        status=503,
        kind="no-capacity-in-time",
        detail="No upstream has a free slot for the request before its deadline.",
        remedy="Retry after the time in Retry-After.",
        outcome=Outcome.NOT_RUN,
        retry_at=retry_at,
    )


def draining(now: float) -> Problem:
    """This process is shutting down."""
    return Problem(
        status=503,
        kind="shutting-down",
        detail="This entry is shutting down and accepts no new requests.",
        remedy="Retry; another entry will answer.",
        outcome=Outcome.NOT_RUN,
        retry_at=now + OTHER_ENTRY_RETRY_AFTER_S,
    )


def not_ready(now: float) -> Problem:
    """This process has no routing table yet."""
    return Problem(
        status=503,
        kind="not-ready",
        detail="This entry has not received its routing table yet.",
        remedy="Retry; another entry will answer.",
        outcome=Outcome.NOT_RUN,
        retry_at=now + OTHER_ENTRY_RETRY_AFTER_S,
    )


def key_cannot_be_claimed(now: float) -> Problem:
    """The store that holds the claims on keys is unreachable."""
    return Problem(
        status=503,
        kind="key-cannot-be-claimed",
        detail="The Idempotency-Key cannot be claimed now, so the request was not sent.",
        remedy="Retry with the same key after the time in Retry-After.",
        outcome=Outcome.NOT_RUN,
        retry_at=now + STORE_RETRY_AFTER_S,
    )


def key_in_use(now: float) -> Problem:
    """Another request holds the key and has not ended, or its end was not recorded."""
    return Problem(
        status=409,
        kind="key-in-use",
        detail="A request with this Idempotency-Key was started; it may have run.",
        remedy="Retry with the same key to get its answer; it will not run twice.",
        outcome=Outcome.UNKNOWN,
        retry_at=now + IN_PROGRESS_RETRY_AFTER_S,
    )


def key_done() -> Problem:
    """The request ran, but its answer was too large to store."""
    return Problem(
        status=409,
        kind="key-done",
        detail="The request with this Idempotency-Key has run; its answer was not stored.",
        remedy="Check its result at the service; it will not run again.",
        outcome=Outcome.UNKNOWN,
    )


def key_of_another_request() -> Problem:
    """The key was used with a different method, path or body."""
    return Problem(
        status=422,
        kind="key-of-another-request",
        detail="The Idempotency-Key was used with a different request.",
        remedy="Use a new key for each request.",
        outcome=Outcome.NOT_RUN,
    )


def upstream_failed(error: UpstreamError, outcome: Outcome, now: float) -> Problem:
    """The attempts at upstreams ended without an answer."""
    return Problem(
        status=502 if outcome is Outcome.UNKNOWN else 503,
        kind="upstream-failed",
        detail=f"No upstream answered: {type(error).__name__}.",
        remedy=(
            "The request may have run; retry only if running it twice is safe."
            if outcome is Outcome.UNKNOWN
            else "The request did not run; retry after the time in Retry-After."
        ),
        outcome=outcome,
        retry_at=now + UPSTREAM_FAILURE_RETRY_AFTER_S,
    )


def stream_broken(now: float) -> Problem:
    """A stream that had started cannot be completed."""
    return Problem(
        status=502,
        kind="stream-broken",
        detail="The stream was interrupted and could not be resumed exactly.",
        remedy="Retry to get the complete answer.",
        outcome=Outcome.UNKNOWN,
        retry_at=now + UPSTREAM_FAILURE_RETRY_AFTER_S,
    )


def deadline_passed() -> Problem:
    """The request arrived after its own deadline."""
    return Problem(
        status=504,
        kind="deadline-passed",
        detail="The request's deadline had passed when it arrived.",
        remedy="Send a later X-Request-Deadline and check the clock.",
        outcome=Outcome.NOT_RUN,
    )


def internal_error() -> Problem:
    """An unexpected error in this process."""
    return Problem(
        status=500,
        kind="internal-error",
        detail="An internal error occurred while serving the request.",
        remedy="The request may have run; report the request_id.",
        outcome=Outcome.UNKNOWN,
    )


def body_too_large() -> Problem:
    """The body exceeds this entry's limit."""
    return Problem(
        status=413,
        kind="body-too-large",
        detail="The body exceeds this entry's limit.",
        remedy="Send a smaller body.",
        outcome=Outcome.NOT_RUN,
    )
