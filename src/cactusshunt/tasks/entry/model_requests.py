"""Requests to models through the OpenAI-compatible interface."""

from __future__ import annotations

import hashlib

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from expression import Error
from expression import Ok
from expression import Result

from cactusshunt.decisions.authorization import Access
from cactusshunt.decisions.authorization import check_caller
from cactusshunt.decisions.authorization import read_bearer_token
from cactusshunt.decisions.names import parse_model_name
from cactusshunt.decisions.names import target_of
from cactusshunt.decisions.names import version_of_item
from cactusshunt.schema.decoding import UNREADABLE_ERRORS
from cactusshunt.schema.generated.settings import UpstreamKind
from cactusshunt.tasks.entry import problems
from cactusshunt.tasks.entry.request_plan import RequestPlan

if TYPE_CHECKING:
    from cactusshunt.decisions.catalogue import Catalogue
    from cactusshunt.decisions.names import ModelName
    from cactusshunt.decisions.router import Router
    from cactusshunt.tasks.entry.caller_request import CallerRequest
    from cactusshunt.tasks.problem import Problem

MODEL_PATHS = frozenset({"/v1/chat/completions", "/v1/completions"})
STREAM_FIRST_BYTE_TIMEOUT_S = 5.0
NON_STREAM_FIRST_BYTE_TIMEOUT_S = 120.0  # such an answer starts only when it is fully generated
PROMPT_PREFIX_BYTES = 512  # hashed to choose the upstream that probably has the prompt cached
MIN_PROMPT_PREFIX_BYTES = 64  # shorter prompts are not worth routing by their prefix

_ACCESS_PROBLEMS = {
    Access.NO_TOKEN: problems.no_caller_token,
    Access.WRONG_TOKEN: problems.caller_not_allowed,
}


class ModelRequests:
    """Plans callers' requests to models and lists the models that a caller may use."""

    def __init__(self, *, router: Router) -> None:
        self._router = router
        self._catalogue: Catalogue | None = None

    def set_catalogue(self, catalogue: Catalogue) -> None:
        """Use a new catalogue: the teams' access, models and services, read from the settings."""
        self._catalogue = catalogue

    def list_models(self, authorization: str | None) -> list[dict[str, Any]]:
        """Return the models that a caller with this Authorization header may call."""
        if self._catalogue is None:
            return []
        token = read_bearer_token(authorization)
        return [
            {"id": target, "object": "model", "created": 0, "owned_by": item.team}
            for target, item in sorted(self._catalogue.items.items())
            if check_caller(self._catalogue.access, item.team, token) is Access.ALLOWED
        ]

    def make_plan(self, caller_request: CallerRequest, now: float) -> Result[RequestPlan, Problem]:
        """Return the plan for a caller's request, or why it is refused."""
        if self._catalogue is None:
            return Error(problems.not_ready(now))
        body = _decode_body(caller_request.read_body())
        if body.is_error():
            return Error(body.error)
        parsed_name = parse_model_name(str(body.ok.get("model", "")))
        if parsed_name.is_error():
            return Error(problems.malformed_request(str(parsed_name.error)))
        name = parsed_name.ok
        token = read_bearer_token(caller_request.request.getHeader("Authorization"))
        access = check_caller(self._catalogue.access, name.team, token)
        if access is not Access.ALLOWED:
            return Error(_ACCESS_PROBLEMS[access]())
        return self._build_plan(self._catalogue, caller_request, name, body.ok, now)

    def _build_plan(
        self,
        catalogue: Catalogue,
        caller_request: CallerRequest,
        name: ModelName,
        body: dict[str, Any],
        now: float,
    ) -> Result[RequestPlan, Problem]:
        item = catalogue.declared_item(name.target)
        if item is None or not self._is_known_version(name, item.item):
            return Error(problems.unknown_model(str(body.get("model"))))
        model = catalogue.models[name.target.partition(":")[0]]
        streamed = body.get("stream") is True
        return Ok(
            RequestPlan(
                team=name.team,
                target=name.target,
                item=item.item,
                priority=item.priority,
                wait_deadline=now + model.queue_wait_ms / 1000,
                repeatable=caller_request.key is None,
                path=caller_request.path,
                headers=_build_upstream_headers(caller_request),
                first_byte_timeout_s=(
                    STREAM_FIRST_BYTE_TIMEOUT_S if streamed else NON_STREAM_FIRST_BYTE_TIMEOUT_S
                ),
                list_candidates=lambda: self._list_candidates(name, item.item),
                find_item=lambda upstream: self._find_item(name, item.item, upstream),
                make_body=lambda upstream: _encode_body(
                    body, self._find_item(name, item.item, upstream), item.priority
                ),
                get_upstream_kind=self.get_upstream_kind,
                prefix=_hash_prompt_prefix(name.target, body),
            )
        )

    def get_upstream_kind(self, kind: str) -> UpstreamKind:
        """Return what upstreams of a kind guarantee; an unknown kind guarantees nothing."""
        return self._catalogue.kind_of(kind) if self._catalogue is not None else UpstreamKind()

    def _is_known_version(self, name: ModelName, declared: str) -> bool:
        if name.version is None or version_of_item(declared) == name.version:
            return True
        return any(
            version_of_item(item) == name.version for item in self._router.items_of(name.target)
        )

    def _list_candidates(self, name: ModelName, declared: str) -> list[str]:
        """Return the engines that have loaded the requested version.

        The declared version is the one in the team's settings. If the name has no version, the
        engines with the declared version are returned, or those with any other version while no
        engine has loaded the declared one.
        """
        if name.version is None or version_of_item(declared) == name.version:
            holders = self._router.holders(declared)
            if holders:
                return holders
        return [
            holder
            for item in self._router.items_of(name.target)
            if name.version is None or version_of_item(item) == name.version
            for holder in self._router.holders(item)
        ]

    def _find_item(self, name: ModelName, declared: str, upstream: str) -> str:
        """Return the item (version of the target) that an upstream serves the request with."""
        state = self._router.upstreams.get(upstream)
        items = state.items if state is not None else ()
        wants_declared = name.version is None or version_of_item(declared) == name.version
        if wants_declared and declared in items:
            return declared
        for item in items:
            matches = name.version is None or version_of_item(item) == name.version
            if target_of(item) == name.target and matches:
                return item
        return declared


def _decode_body(data: bytes) -> Result[dict[str, Any], Problem]:
    try:
        return Ok(msgspec.json.decode(data, type=dict[str, Any]))
    except UNREADABLE_ERRORS as error:
        return Error(problems.malformed_request(f"The body is not a JSON object: {error}."))


def _encode_body(body: dict[str, Any], item: str, priority: int) -> bytes:
    return msgspec.json.encode({**body, "model": item, "priority": priority})


def _build_upstream_headers(caller_request: CallerRequest) -> dict[str, str]:
    headers = {"Content-Type": "application/json"}
    if caller_request.key is not None:
        headers["Idempotency-Key"] = caller_request.key
    return headers


def _hash_prompt_prefix(target: str, body: dict[str, Any]) -> str | None:
    """Return a hash of the prompt's start, or ``None`` for a short prompt."""
    if "messages" in body:
        data = msgspec.json.encode(body["messages"])
    else:
        data = str(body.get("prompt", "")).encode()
    if len(data) < MIN_PROMPT_PREFIX_BYTES:
        return None
    digest = hashlib.blake2b(target.encode() + data[:PROMPT_PREFIX_BYTES], digest_size=8)
    return digest.hexdigest()
