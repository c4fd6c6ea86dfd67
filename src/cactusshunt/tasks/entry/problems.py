"""The problems that callers can meet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusshunt.decisions.attempt import Outcome
from cactusshunt.tasks.problem import Problem

if TYPE_CHECKING:
    from cactusshunt.exceptions import UpstreamError

DRAIN_RETRY_S = 1.0
STORE_RETRY_S = 2.0
IN_PROGRESS_RETRY_S = 2.0
BUDGET_RETRY_S = 1.0


def no_token() -> Problem:
    """No caller token for a team that lists some; the same for models that do not exist."""
    return Problem(
        status=401,
        kind="no-caller-token",
        detail="The team is open only to callers with a token.",
        remedy="Send Authorization: Bearer <token>.",
        outcome=Outcome.NOT_RUN,
    )


def wrong_token() -> Problem:
    """A token that is not one of the team's."""
    return Problem(
        status=403,
        kind="caller-not-allowed",
        detail="The token is not one of this team's.",
        remedy="Use a token of the team whose model is called.",
        outcome=Outcome.NOT_RUN,
    )


def unknown_model(name: str) -> Problem:
    """A name that no team has declared."""
    return Problem(
        status=404,
        kind="unknown-model",
        detail=f"No team has declared {name!r}.",
        remedy="Ask GET /v1/models for the names that can be called.",
        outcome=Outcome.NOT_RUN,
    )


def unknown_path(path: str) -> Problem:
    """A path that is not part of the callers' interface."""
    return Problem(
        status=404,
        kind="no-such-path",
        detail=f"{path} is not served here.",
        remedy="See docs/callers.md for the paths.",
        outcome=Outcome.NOT_RUN,
    )


def malformed_request(detail: str) -> Problem:
    """A request that cannot be read."""
    return Problem(
        status=400,
        kind="malformed-request",
        detail=detail,
        remedy="See docs/callers.md for the request's form.",
        outcome=Outcome.NOT_RUN,
    )


def refused_in_time(retry_at: float) -> Problem:
    """A request whose turn would come after its deadline."""
    return Problem(
        status=503,
        kind="no-capacity-in-time",
        detail="No upstream has room for the request before its deadline.",
        remedy="Ask again after Retry-After.",
        outcome=Outcome.NOT_RUN,
        retry_at=retry_at,
    )


def draining(now: float) -> Problem:
    """This process is shutting down."""
    return Problem(
        status=503,
        kind="shutting-down",
        detail="This entry takes no new requests.",
        remedy="Ask again; another entry will answer.",
        outcome=Outcome.NOT_RUN,
        retry_at=now + DRAIN_RETRY_S,
    )


def not_ready(now: float) -> Problem:
    """This process has no routing table yet."""
    return Problem(
        status=503,
        kind="not-ready",
        detail="This entry does not know the upstreams yet.",
        remedy="Ask again; another entry will answer.",
        outcome=Outcome.NOT_RUN,
        retry_at=now + DRAIN_RETRY_S,
    )


def claims_unavailable(now: float) -> Problem:
    """The store that remembers keys is out of reach."""
    return Problem(
        status=503,
        kind="key-cannot-be-claimed",
        detail="A request with an Idempotency-Key cannot be made safe at present.",
        remedy="Ask again with the same key after Retry-After.",
        outcome=Outcome.NOT_RUN,
        retry_at=now + STORE_RETRY_S,
    )


def key_in_progress(now: float) -> Problem:
    """The same key was claimed by a request that has not ended, or whose end is not known."""
    return Problem(
        status=409,
        kind="key-in-use",
        detail="A request with this Idempotency-Key was begun; it may have run.",
        remedy="Ask again with the same key for its answer; it will not run twice.",
        outcome=Outcome.UNKNOWN,
        retry_at=now + IN_PROGRESS_RETRY_S,
    )


def key_done() -> Problem:
    """The request ran and its answer was too large to keep."""
    return Problem(
        status=409,
        kind="key-done",
        detail="The request with this Idempotency-Key has run; its answer was not kept.",
        remedy="Look up its effect at the service; it will not run again.",
        outcome=Outcome.UNKNOWN,
    )


def key_of_other_request() -> Problem:
    """The key was used with another method, path or body."""
    return Problem(
        status=422,
        kind="key-of-another-request",
        detail="The Idempotency-Key was used with another request.",
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
            "It may have run; ask again only if it may run twice."
            if outcome is Outcome.UNKNOWN
            else "It did not run; ask again after Retry-After."
        ),
        outcome=outcome,
        retry_at=now + BUDGET_RETRY_S,
    )


def stream_broken(now: float) -> Problem:
    """A stream that had begun cannot be completed."""
    return Problem(
        status=502,
        kind="stream-broken",
        detail="The stream broke off and could not be continued exactly.",
        remedy="Ask again for the whole answer.",
        outcome=Outcome.UNKNOWN,
        retry_at=now + BUDGET_RETRY_S,
    )


def deadline_passed() -> Problem:
    """A request that arrived after its own deadline."""
    return Problem(
        status=504,
        kind="deadline-passed",
        detail="The request's deadline had passed when it arrived.",
        remedy="Send a later X-Request-Deadline and check the clock.",
        outcome=Outcome.NOT_RUN,
    )


def internal_error() -> Problem:
    """A failure of this process itself."""
    return Problem(
        status=500,
        kind="internal-error",
        detail="This entry failed while it served the request.",
        remedy="It may have run; report the request_id.",
        outcome=Outcome.UNKNOWN,
    )


def body_too_large() -> Problem:
    """A body over this entry's limit."""
    return Problem(
        status=413,
        kind="body-too-large",
        detail="The body is larger than this entry takes.",
        remedy="Send a smaller body.",
        outcome=Outcome.NOT_RUN,
    )
