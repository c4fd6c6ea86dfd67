"""What a request needs of the runner, and how it ended."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from cactusshunt.schema.generated.settings import UpstreamKind


@dataclass(frozen=True, kw_only=True)
class RequestPlan:
    """What a model's or a service's request needs of the runner.

    ``make_body`` returns the body for one upstream, which may hold another version of the model.
    """

    team: str
    target: str
    item: str
    priority: int
    wait_deadline: float
    repeatable: bool
    path: str
    headers: dict[str, str]
    first_byte_s: float
    candidates: Callable[[], Collection[str]]
    item_at: Callable[[str], str]
    make_body: Callable[[str], bytes]
    kind_of: Callable[[str], UpstreamKind]
    prefix: str | None = None
    is_model: bool = True


@dataclass(frozen=True, kw_only=True)
class Completed:
    """The end of a request that has an answer; ``body`` is empty for one that was not kept."""

    status: int
    content_type: str
    body: bytes
    whole: bool = True
