"""Requests to plain services under ``/services/<team>/<service>/``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from cactusshunt.decisions.authorization import Access
from cactusshunt.decisions.authorization import check_caller
from cactusshunt.decisions.authorization import read_bearer_token
from cactusshunt.schema.generated.settings import UpstreamKind
from cactusshunt.tasks.entry import problems
from cactusshunt.tasks.entry.caller_request import NOT_FORWARDED_HEADERS
from cactusshunt.tasks.entry.request_plan import RequestPlan

if TYPE_CHECKING:
    from cactusshunt.decisions.catalogue import Catalogue
    from cactusshunt.decisions.router import Router
    from cactusshunt.tasks.entry.caller_request import CallerRequest
    from cactusshunt.tasks.problem import Problem

SERVICE_PREFIX = "/services/"
SERVICE_PRIORITY = 5  # of 0 to 9, where 9 is served first; the default of models
MAX_QUEUE_WAIT_S = 1.6  # the default of a model's queue_wait_ms
FIRST_BYTE_TIMEOUT_S = 60.0
# Not forwarded: the attempt id replaces the first, and the entry applies the second.
ENTRY_HEADERS = frozenset({"x-request-id", "x-request-deadline"})


class ServiceRequests:
    """Plans callers' requests to plain services."""

    def __init__(self, *, router: Router) -> None:
        self._router = router
        self._catalogue: Catalogue | None = None

    def set_catalogue(self, catalogue: Catalogue) -> None:
        """Use a new catalogue: the teams' access, models and services, read from the settings."""
        self._catalogue = catalogue

    def make_plan(self, caller_request: CallerRequest, now: float) -> Result[RequestPlan, Problem]:
        """Return the plan for a caller's request, or why it is refused."""
        if self._catalogue is None:
            return Error(problems.not_ready(now))
        team, _, rest = caller_request.path.removeprefix(SERVICE_PREFIX).partition("/")
        name, slash, subpath = rest.partition("/")
        token = read_bearer_token(caller_request.request.getHeader("Authorization"))
        access = check_caller(self._catalogue.access, team, token)
        if access is Access.NO_TOKEN:
            return Error(problems.no_caller_token())
        if access is Access.WRONG_TOKEN:
            return Error(problems.caller_not_allowed())
        service = self._catalogue.services.get(f"{team}/{name}")
        if service is None:
            return Error(problems.no_such_path(caller_request.path.partition("?")[0]))
        body = caller_request.read_body()
        item = f"{team}/{name}"
        return Ok(
            RequestPlan(
                team=team,
                target=item,
                item=item,
                priority=SERVICE_PRIORITY,
                wait_deadline=now + MAX_QUEUE_WAIT_S,
                repeatable=caller_request.key is None
                and caller_request.method in service.repeatable_methods,
                path=f"{slash or '/'}{subpath}",
                headers=_build_upstream_headers(caller_request),
                first_byte_timeout_s=FIRST_BYTE_TIMEOUT_S,
                list_candidates=lambda: self._router.pool(service.pool),
                find_item=lambda upstream: item,
                make_body=lambda upstream: body,
                get_upstream_kind=self._get_upstream_kind,
                is_model=False,
            )
        )

    def _get_upstream_kind(self, kind: str) -> UpstreamKind:
        return self._catalogue.kind_of(kind) if self._catalogue is not None else UpstreamKind()


def _build_upstream_headers(caller_request: CallerRequest) -> dict[str, str]:
    """Return the caller's headers without its token, hop-by-hop headers and those for the entry."""
    headers = {}
    for name, values in caller_request.request.requestHeaders.getAllRawHeaders():
        key = name.decode("latin-1").lower()
        if key not in NOT_FORWARDED_HEADERS and key not in ENTRY_HEADERS and key != "authorization":
            headers[name.decode("latin-1")] = values[-1].decode("latin-1")
    return headers
