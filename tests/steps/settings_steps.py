"""Steps on settings: nodes run the real task on a manual clock with an in-memory store."""

from __future__ import annotations

import copy
import json

from typing import TYPE_CHECKING
from typing import Any

from behave import given
from behave import then
from behave import when
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from cactusshunt.clients.store import Commit
from cactusshunt.clients.store import Put
from cactusshunt.decisions.adoption import subtree_version
from cactusshunt.decisions.subtree import check_subtree
from cactusshunt.exceptions import CompareFailedError
from cactusshunt.schema.generated.messages import Subtree
from cactusshunt.tasks.administration.settings_writer import SettingsWriter
from cactusshunt.tasks.control_messages import SubtreesReceived
from cactusshunt.tasks.message_bus import MessageBus
from cactusshunt.tasks.settings_task import SettingsTask
from stand_ins.memory_store import MemoryStore
from stand_ins.memory_store import StoreLink
from stand_ins.store_state import StoreState

if TYPE_CHECKING:
    from collections.abc import Coroutine

NODES = 3
TEAMS = ("a", "b")
STEP_S = 0.05
IN_FORCE_S = 11.0
HEALED_S = 40.0


def model(memory_mib: int) -> str:
    """Return the text of a model's document."""
    return json.dumps({"version": "v1", "memory_mib": memory_mib})


class Node:
    """One node with its settings task."""

    def __init__(self, *, world: SettingsWorld, number: int) -> None:
        self.link = StoreLink()
        self.store = MemoryStore(clock=world.clock, state=world.state, link=self.link)
        self.bus = MessageBus(reactor=world.clock)
        self.task = SettingsTask(
            reactor=world.clock, bus=self.bus, store=self.store, extra_accept_delay_s=number * 0.2
        )
        self.writer = SettingsWriter(reactor=world.clock, store=self.store)
        self.task.start()

    def version(self, subject: str) -> tuple[int, int]:
        """Return the version in force."""
        subtree = self.task.adopted.get(subject)
        return subtree_version(subtree) if subtree is not None else (-1, -1)

    def documents(self, subject: str) -> dict[str, str]:
        """Return the documents in force."""
        subtree = self.task.adopted.get(subject)
        return dict(subtree.documents) if subtree is not None else {}


class SettingsWorld:
    """Nodes, a shared store and a manual clock."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.clock.advance(1000.0)
        self.state = StoreState()
        self.saved: StoreState | None = None
        self.nodes = [Node(world=self, number=number) for number in range(NODES)]
        self.operator_link = StoreLink()
        self.operator = MemoryStore(clock=self.clock, state=self.state, link=self.operator_link)
        self.written = 0
        for team in TEAMS:
            self.write_directly(team, model(100))
        self.run_for(3.0)

    def run_for(self, seconds: float) -> None:
        """Advance the clock."""
        for _ in range(int(seconds / STEP_S)):
            self.clock.advance(STEP_S)

    def finish(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine to its end."""
        found: list[Any] = []
        Deferred.fromCoroutine(coroutine).addBoth(found.append)
        for _ in range(400):
            if found:
                break
            self.clock.advance(STEP_S)
        assert found, "the coroutine did not end"
        return found[0]

    def next_memory(self) -> int:
        """Return a memory size in MiB that no earlier write used."""
        self.written += 1
        return 100 + self.written

    def write_directly(self, team: str, text: str) -> None:
        """Write a document directly to the store, bypassing the API."""
        put = Put(key=f"teams/{team}/models/m", value=text.encode())
        self.finish(self.operator.commit(Commit(puts=[put]), deadline=self.clock.seconds() + 1))

    async def write_through(self, node: Node, team: str, stored: Any = None) -> Any:
        """Write a valid document through a node's API and return its result."""
        subject = f"teams/{team}"
        if stored is None:
            read = await node.writer.read(subject)
            if read.is_error():
                return read
            stored = read.ok
        subtree = Subtree(
            subject=subject,
            generation=stored.accepted.generation if stored.accepted else 0,
            documents={"models/m": model(self.next_memory())},
            write_id=f"write-{self.written}",
        )
        result = await node.writer.write(stored, subtree)
        if result.is_ok():
            node.bus.publish(SubtreesReceived(subtrees=(result.ok,)))
        return result

    def send_settings(self, source: int, target: int) -> None:
        """Send a node the settings that a peer has in force."""
        subtrees = tuple(self.nodes[source].task.adopted.subtrees)
        self.nodes[target].bus.publish(SubtreesReceived(subtrees=subtrees))
        self.clock.advance(STEP_S)

    def restore_store(self) -> None:
        """Restore the saved state of the store; watches end as in a real restore."""
        if self.saved is not None:
            self.state.keys = copy.deepcopy(self.saved.keys)
            self.state.revision = self.saved.revision
            self.state.history = []

    def heal(self) -> None:
        """End all faults and advance the clock until settings can spread."""
        for node in self.nodes:
            node.link.cut = node.link.mute_watches = False
            node.link.lose_answers = node.link.lose_requests = 0
        self.run_for(HEALED_S)


class SettingsMachine(RuleBasedStateMachine):
    """Any sequence of writes and faults."""

    def __init__(self) -> None:
        super().__init__()
        self.world = SettingsWorld()
        self.highest: dict[tuple[int, str], tuple[int, int]] = {}

    @rule(team=st.sampled_from(TEAMS), valid=st.booleans())
    def write_directly(self, team: str, valid: bool) -> None:
        memory = self.world.next_memory() if valid else -1
        self.world.write_directly(team, model(memory))

    @rule(node=st.integers(0, NODES - 1), team=st.sampled_from(TEAMS))
    def write_through(self, node: int, team: str) -> None:
        self.world.finish(self.world.write_through(self.world.nodes[node], team))

    @rule(node=st.integers(0, NODES - 1), kind=st.sampled_from(["cut", "mute_watches"]))
    def toggle(self, node: int, kind: str) -> None:
        link = self.world.nodes[node].link
        setattr(link, kind, not getattr(link, kind))

    @rule(node=st.integers(0, NODES - 1), kind=st.sampled_from(["lose_answers", "lose_requests"]))
    def lose(self, node: int, kind: str) -> None:
        link = self.world.nodes[node].link
        setattr(link, kind, 1)
        link.late_delivery_s = 1.0

    @rule(node=st.integers(0, NODES - 1), source=st.integers(0, NODES - 1))
    def restart(self, node: int, source: int) -> None:
        """A node restarts and receives a peer's settings before it serves."""
        if source == node:
            return
        self.world.nodes[node].task.stop()
        self.world.nodes[node] = Node(world=self.world, number=node)
        self.world.send_settings(source, node)
        for team in TEAMS:
            self.highest.pop((node, f"teams/{team}"), None)

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0]))
    def wait(self, seconds: float) -> None:
        self.world.run_for(seconds)

    @rule()
    def save(self) -> None:
        self.world.saved = copy.deepcopy(
            StoreState(keys=self.world.state.keys, revision=self.world.state.revision)
        )

    @rule()
    def restore(self) -> None:
        """Restore an older store after every node has adopted the accepted settings."""
        self.world.heal()
        self.world.restore_store()
        self.world.saved = None
        self.world.run_for(20.0)

    @invariant()
    def never_reverts(self) -> None:
        for number, node in enumerate(self.world.nodes):
            for team in TEAMS:
                subject = f"teams/{team}"
                version = node.version(subject)
                assert version >= self.highest.get((number, subject), (-1, -1))
                self.highest[(number, subject)] = version

    @invariant()
    def only_valid(self) -> None:
        for node in self.world.nodes:
            for subtree in node.task.adopted.subtrees:
                assert not check_subtree(subtree.subject, subtree.documents)

    def teardown(self) -> None:
        newest = {
            f"teams/{team}": max(node.version(f"teams/{team}") for node in self.world.nodes)
            for team in TEAMS
        }
        self.world.heal()
        for subject, version in newest.items():
            found = [node.documents(subject) for node in self.world.nodes]
            assert all(documents == found[0] for documents in found), found
            assert all(node.version(subject) >= version for node in self.world.nodes)


@given("three nodes, two teams and operators who write through the API and directly to the store")
def step_world(context: Any) -> None:
    context.world = SettingsWorld()
    context.subject = "teams/b"


@given("the watches of every node deliver nothing")
def step_silent_watches(context: Any) -> None:
    for node in context.world.nodes:
        node.link.mute_watches = True


@given("the store is saved")
def step_save(context: Any) -> None:
    state = context.world.state
    context.world.saved = copy.deepcopy(StoreState(keys=state.keys, revision=state.revision))


@then("no sequence makes a node revert, adopt invalid settings, or differ from the rest in the end")
def step_histories(context: Any) -> None:
    run_state_machine_as_test(
        SettingsMachine, settings=hypothesis_settings(max_examples=60, stateful_step_count=25)
    )


@when('operators at nodes 0 and 1 write team "{team}" from the same version')
def step_race(context: Any, team: str) -> None:
    world = context.world
    nodes = world.nodes[:2]
    read = [world.finish(node.writer.read(f"teams/{team}")).ok for node in nodes]
    context.results = [
        world.finish(world.write_through(node, team, stored))
        for node, stored in zip(nodes, read, strict=True)
    ]


@then("exactly one of them succeeds and the other is told of the change")
def step_one_wins(context: Any) -> None:
    assert context.results[0].is_ok(), context.results
    assert isinstance(context.results[1].error, CompareFailedError), context.results


@when('the store loses the answer to a write of team "{team}" at node 0')
def step_lost_answer(context: Any, team: str) -> None:
    node = context.world.nodes[0]
    node.link.lose_answers = 1
    context.result = context.world.finish(context.world.write_through(node, team))
    context.subject = f"teams/{team}"
    context.expected = {"models/m": model(100 + context.world.written)}


@then("the operator is told that it succeeded")
def step_succeeded(context: Any) -> None:
    assert context.result.is_ok(), context.result


@then("every node has the change in force within 11 seconds")
def step_in_force(context: Any) -> None:
    context.world.run_for(IN_FORCE_S)
    for node in context.world.nodes:
        assert node.documents(context.subject) == context.expected, node.task.dump()


@when('team "{team}" writes a change directly')
def step_write(context: Any, team: str) -> None:
    text = model(context.world.next_memory())
    context.world.write_directly(team, text)
    context.subject, context.expected = f"teams/{team}", {"models/m": text}
    if all(not node.link.mute_watches for node in context.world.nodes):
        context.world.run_for(2.0)


@when('team "a" writes invalid settings directly and team "b" writes a change')
def step_invalid_settings(context: Any) -> None:
    context.world.write_directly("a", '{"version": "v1", "memory_mb": 5}')
    step_write(context, "b")


@then('team "a" keeps its last accepted settings and the error is reported at every node')
def step_kept(context: Any) -> None:
    context.world.run_for(2.0)
    for node in context.world.nodes:
        assert node.documents("teams/a") == {"models/m": model(100)}
        assert any("memory_mb" in str(error) for error in node.task.rejected["teams/a"])


@when("the store is restored to what was saved")
def step_restore(context: Any) -> None:
    context.world.restore_store()


@then("after 20 seconds every node and the store still have the change")
def step_still(context: Any) -> None:
    context.world.run_for(20.0)
    for node in context.world.nodes:
        assert node.documents(context.subject) == context.expected, node.task.dump()
    stored = context.world.finish(context.world.nodes[0].writer.read(context.subject)).ok
    assert dict(stored.accepted.documents) == stored.documents == context.expected


@when("every node is cut off from the store and node 2 restarts")
def step_restart_cut(context: Any) -> None:
    world = context.world
    world.nodes[2].task.stop()
    for node in world.nodes:
        node.link.cut = True
    world.nodes[2] = Node(world=world, number=2)
    world.nodes[2].link.cut = True
    world.run_for(1.0)
    world.send_settings(0, 2)


@then("node 2 has the settings of its peers in force")
def step_from_peers(context: Any) -> None:
    world = context.world
    assert world.nodes[2].documents(context.subject) == context.expected
    assert world.nodes[2].version(context.subject) == world.nodes[0].version(context.subject)
