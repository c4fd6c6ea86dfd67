"""HTTP resource of the administration API."""

from __future__ import annotations

import re
import uuid

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from expression import Error
from expression import Ok
from expression import Result
from logbook import Logger
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from cactusshunt.decisions.authorization import find_administrator
from cactusshunt.decisions.authorization import may_administer
from cactusshunt.decisions.authorization import read_bearer_token
from cactusshunt.decisions.subtree import check_subtree
from cactusshunt.decisions.subtree import is_subject
from cactusshunt.exceptions import CompareFailedError
from cactusshunt.exceptions import StoreError
from cactusshunt.exceptions import StoreUnavailableError
from cactusshunt.schema.decoding import UNREADABLE_ERRORS
from cactusshunt.schema.generated.messages import Subtree
from cactusshunt.tasks.administration import problems
from cactusshunt.tasks.administration.preview import ENGINE_RECORDS_PREFIX
from cactusshunt.tasks.administration.preview import preview_change
from cactusshunt.tasks.administration.settings_writer import SettingsWriter
from cactusshunt.tasks.administration.settings_writer import StoredSubtree
from cactusshunt.tasks.control_messages import SubtreesReceived
from cactusshunt.tasks.periodic import start_coroutine
from cactusshunt.tasks.problem import Problem
from cactusshunt.tasks.problem import send_problem

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase
    from twisted.web.server import Request

    from cactusshunt.clients.store import Store
    from cactusshunt.schema.generated.settings import Administrator
    from cactusshunt.tasks.message_bus import MessageBus
    from cactusshunt.tasks.peer_task import PeerTask
    from cactusshunt.tasks.routing_task import RoutingTask
    from cactusshunt.tasks.settings_task import SettingsTask

audit = Logger("audit")

STORE_TIMEOUT_S = 2.0


@dataclass(frozen=True, kw_only=True)
class SettingsChange:
    """Body of a write: new document texts by path; ``null`` removes a document."""

    documents: dict[str, str | None]
    write_id: str = ""


@dataclass(frozen=True, kw_only=True)
class Rollback:
    """Body of a rollback: the earlier revision whose documents are written again."""

    to_revision: int


@dataclass(frozen=True, kw_only=True)
class Call:
    """An authorized call with its subject, its administrator and its body."""

    request: Request
    subject: str
    administrator: Administrator
    body: bytes


Answer = Result[Any, Problem]
Handler = Callable[[Call], Awaitable[Answer]]


class AdministrationApi(Resource):
    """Serves the administration API, state dumps and health checks of the control process."""

    isLeaf = True  # noqa: N815

    def __init__(
        self,
        *,
        reactor: ReactorBase,
        bus: MessageBus,
        store: Store,
        settings: SettingsTask,
        peers: PeerTask,
        routing: RoutingTask,
        dump: Callable[[], dict[str, Any]],
        vm: str,
        availability_zone: str,
    ) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._reactor = reactor
        self._bus = bus
        self._store = store
        self._settings = settings
        self._peers = peers
        self._routing = routing
        self._dump = dump
        self._vm = vm
        self._availability_zone = availability_zone
        self._writer = SettingsWriter(reactor=reactor, store=store)
        self._routes: list[tuple[str, re.Pattern[str], Handler]] = [
            ("GET", re.compile(r"/v1/settings/(?P<subject>.+)/history"), self._read_history),
            ("GET", re.compile(r"/v1/settings/(?P<subject>.+)/in-force"), self._read_in_force),
            ("POST", re.compile(r"/v1/settings/(?P<subject>.+)/rollback"), self._roll_back),
            ("POST", re.compile(r"/v1/settings/(?P<subject>.+)/dry-run"), self._dry_run),
            ("GET", re.compile(r"/v1/settings/(?P<subject>.+)"), self._read_subject),
            ("PUT", re.compile(r"/v1/settings/(?P<subject>.+)"), self._write_subject),
        ]

    def render(self, request: Request) -> Any:
        """Answer a request."""
        path = request.path.decode() if request.path else ""
        if path in ("/healthz", "/readyz"):
            return b"ok\n"
        if path == "/dump":
            request.setHeader("Content-Type", "application/json")
            return msgspec.json.encode(self._dump())
        start_coroutine(self._answer(request, path))
        return NOT_DONE_YET

    async def _answer(self, request: Request, path: str) -> None:
        answer = await self._dispatch(request, path)
        if request._disconnected:
            return
        if answer.is_error():
            send_problem(request, answer.error, now=self._reactor.seconds())
            return
        request.setHeader("Content-Type", "application/json")
        if isinstance(answer.ok, dict) and "revision" in answer.ok:
            request.setHeader("ETag", f'"{answer.ok["revision"]}"')
        request.write(msgspec.json.encode(answer.ok))
        request.finish()

    async def _dispatch(self, request: Request, path: str) -> Answer:
        method = request.method.decode()
        for route_method, pattern, handler in self._routes:
            match = pattern.fullmatch(path)
            if match is None or method != route_method:
                continue
            call = self._authorize(request, match["subject"])
            return await handler(call.ok) if call.is_ok() else Error(call.error)
        return Error(
            Problem(
                status=404,
                kind="no-such-path",
                detail=f"The administration API has no call {method} {path}.",
                remedy="See docs/operators.md for the available calls.",
            )
        )

    def _authorize(self, request: Request, subject: str) -> Result[Call, Problem]:
        token = read_bearer_token(request.getHeader("Authorization"))
        administrator = find_administrator(self._settings.catalogue.administrators, token)
        if administrator is None:
            return Error(problems.unauthorized())
        if not may_administer(administrator, subject) or not is_subject(subject):
            return Error(problems.forbidden())
        body = request.content.read() if request.content is not None else b""
        if len(body) > problems.BODY_LIMIT_BYTES:
            return Error(problems.body_too_large())
        return Ok(Call(request=request, subject=subject, administrator=administrator, body=body))

    async def _read_subject(self, call: Call) -> Answer:
        found = await self._writer.read(call.subject)
        if found.is_error():
            return self._describe_adopted(call.subject)
        stored = found.ok
        accepted = stored.accepted
        return Ok(
            {
                "subject": call.subject,
                "revision": stored.accepted_revision,
                "generation": accepted.generation if accepted else 0,
                "documents": dict(accepted.documents) if accepted else {},
                "written": stored.documents,
                "rejected": [str(e) for e in check_subtree(call.subject, stored.documents)],
                "from": "store",
            }
        )

    def _describe_adopted(self, subject: str) -> Answer:
        """Return the settings in force at this node, used when the store is unreachable."""
        subtree = self._settings.adopted.get(subject)
        if subtree is None:
            return Error(problems.store_unavailable(self._reactor.seconds()))
        return Ok(
            {
                "subject": subject,
                "revision": subtree.revision,
                "generation": subtree.generation,
                "documents": dict(subtree.documents),
                "from": self._vm,
            }
        )

    async def _write_subject(self, call: Call) -> Answer:
        prepared = await self._prepare_change(call)
        if prepared.is_error():
            return Error(prepared.error)
        stored, subtree = prepared.ok
        return await self._commit(call, stored, subtree)

    async def _dry_run(self, call: Call) -> Answer:
        prepared = await self._prepare_change(call)
        if prepared.is_error():
            return Error(prepared.error)
        records = await self._store.read_prefix(
            ENGINE_RECORDS_PREFIX, deadline=self._reactor.seconds() + STORE_TIMEOUT_S
        )
        if records.is_error():
            return Error(problems.store_unavailable(self._reactor.seconds()))
        preview = preview_change(
            self._settings.adopted.subtrees, prepared.ok[1], records.ok, self._reactor.seconds()
        )
        return Ok(msgspec.to_builtins(preview))

    async def _roll_back(self, call: Call) -> Answer:
        body = _decode_body(call.body, Rollback)
        if body.is_error():
            return Error(body.error)
        found = await self._writer.read(call.subject)
        if found.is_error():
            return Error(problems.store_unavailable(self._reactor.seconds()))
        matching = [v for v in found.ok.history if v.revision == body.ok.to_revision]
        if not matching:
            return Error(problems.no_such_revision(call.subject, body.ok.to_revision))
        subtree = self._make_subtree(call, found.ok, dict(matching[0].documents), "")
        errors = check_subtree(call.subject, subtree.documents)
        if errors:
            return Error(problems.invalid_settings(tuple(str(error) for error in errors)))
        return await self._commit(call, found.ok, subtree)

    async def _read_history(self, call: Call) -> Answer:
        found = await self._writer.read(call.subject)
        if found.is_error():
            return Error(problems.store_unavailable(self._reactor.seconds()))
        versions = list(found.ok.history)
        if found.ok.accepted is not None:
            versions.append(found.ok.accepted)
        return Ok([msgspec.to_builtins(version) for version in versions])

    async def _read_in_force(self, call: Call) -> Answer:
        """Return the revision in force at each known node, and the items that no engine holds."""
        subject = call.subject
        subtree = self._settings.adopted.get(subject)
        revision = subtree.revision if subtree is not None else 0
        nodes = {self._vm: revision}
        for vm, versions in self._peers.versions.items():
            nodes[vm] = versions[subject].revision if subject in versions else 0
        held = {item for state in self._routing.states.values() for item in state.items}
        team = subject.partition("/")[2]
        items = [i for i in self._settings.catalogue.items.values() if i.team == team]
        return Ok(
            {
                "subject": subject,
                "revision": revision,
                "nodes": nodes,
                "behind": sorted(vm for vm, seen in nodes.items() if seen < revision),
                "not_resident": sorted(item.item for item in items if item.item not in held),
            }
        )

    async def _prepare_change(self, call: Call) -> Result[tuple[StoredSubtree, Subtree], Problem]:
        """Read the stored version, compare it with If-Match, and check the changed documents."""
        change = _decode_body(call.body, SettingsChange)
        if change.is_error():
            return Error(change.error)
        expected = (call.request.getHeader("If-Match") or "").strip('"')
        if not expected.isdigit():
            return Error(problems.revision_required())
        found = await self._writer.read(call.subject)
        if found.is_error():
            return Error(problems.store_unavailable(self._reactor.seconds()))
        stored = found.ok
        if stored.accepted_revision != int(expected):
            return Error(problems.revision_conflict(stored))
        documents = stored.documents
        for path, text in change.ok.documents.items():
            if text is None:
                documents.pop(path, None)
            else:
                documents[path] = text
        errors = check_subtree(call.subject, documents)
        if errors:
            return Error(problems.invalid_settings(tuple(str(error) for error in errors)))
        return Ok((stored, self._make_subtree(call, stored, documents, change.ok.write_id)))

    def _make_subtree(
        self, call: Call, stored: StoredSubtree, documents: dict[str, str], write_id: str
    ) -> Subtree:
        accepted = stored.accepted
        return Subtree(
            subject=call.subject,
            generation=accepted.generation if accepted is not None else 0,
            documents=documents,
            author=call.administrator.name,
            write_id=write_id or uuid.uuid4().hex,
            accepted_at=self._reactor.seconds(),
        )

    async def _commit(self, call: Call, stored: StoredSubtree, subtree: Subtree) -> Answer:
        result = await self._writer.write(stored, subtree)
        if result.is_error():
            return Error(await self._describe_failure(call.subject, result.error, subtree))
        written = result.ok
        audit.info(
            "settings written: subject={} revision={} author={} write_id={}",
            call.subject,
            written.revision,
            call.administrator.name,
            written.write_id,
        )
        self._bus.publish(SubtreesReceived(subtrees=(replace(subtree, revision=written.revision),)))
        return Ok(
            {
                "subject": call.subject,
                "revision": written.revision,
                "write_id": written.write_id,
            }
        )

    async def _describe_failure(self, subject: str, error: StoreError, subtree: Subtree) -> Problem:
        if isinstance(error, StoreUnavailableError):
            return problems.store_unavailable(self._reactor.seconds())
        if not isinstance(error, CompareFailedError):
            return replace(
                problems.store_unavailable(self._reactor.seconds()),
                status=504,
                kind="write-outcome-unknown",
                detail=f"It is not known whether the write {subtree.write_id} took effect.",
                remedy="Look for the write_id in the history before you write again.",
            )
        found = await self._writer.read(subject)
        return (
            problems.revision_conflict(found.ok)
            if found.is_ok()
            else problems.store_unavailable(self._reactor.seconds())
        )


def _decode_body(body: bytes, kind: type[Any]) -> Result[Any, Problem]:
    try:
        return Ok(msgspec.json.decode(body, type=kind))
    except UNREADABLE_ERRORS as error:
        return Error(
            Problem(
                status=400,
                kind="malformed-body",
                detail=f"The request body is not valid: {error}.",
                remedy="See docs/operators.md for the fields of this call's body.",
            )
        )
