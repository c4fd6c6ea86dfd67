"""Input and result of the request runner."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from cactusshunt.schema.generated.settings import UpstreamKind


@dataclass(frozen=True, kw_only=True)
class RequestPlan:
    """How to run a request to a model or a service.

    ``target`` is the name without a version, ``item`` the declared version of it; services use
    their name for both. ``wait_deadline`` (Unix seconds) bounds the wait for the first upstream.
    ``repeatable`` is false with an Idempotency-Key, or for a method that the service doesn't list
    as repeatable: no further attempt is made once the request may have run. ``find_item`` returns
    the item that an upstream serves the request with, and ``make_body`` the body for it, since
    upstreams may have loaded different versions. ``prefix`` is a hash of the prompt's start, to
    prefer an upstream that probably has it cached.
    """

    team: str
    target: str
    item: str
    priority: int
    wait_deadline: float
    repeatable: bool
    path: str
    headers: dict[str, str]
    first_byte_timeout_s: float
    list_candidates: Callable[[], Collection[str]]
    find_item: Callable[[str], str]
    make_body: Callable[[str], bytes]
    get_upstream_kind: Callable[[str], UpstreamKind]
    prefix: str | None = None
    is_model: bool = True


@dataclass(frozen=True, kw_only=True)
class FinishedAnswer:
    """Answer that a request ended with.

    ``body`` is empty for a stream of a repeatable request, whose events are not collected.
    ``is_complete`` is false for a stream that ended with an error event.
    """

    status: int
    content_type: str
    body: bytes
    is_complete: bool = True
