"""Steps on the quarantine of prompt parts, over simulated VMs and engines."""

from __future__ import annotations

from collections import defaultdict
from types import SimpleNamespace
from typing import Any

from behave import given
from behave import step
from behave import then
from behave import when
from simulated_quarantine import DEADLY_PART
from simulated_quarantine import KINDS
from simulated_quarantine import SERVICE
from simulated_quarantine import STEP_S
from simulated_quarantine import SimulatedQuarantines

from cactusshunt.quarantine.crash_evidence import CONVICTION_S
from cactusshunt.quarantine.crash_evidence import MAX_SOUND_SUBJECTS
from cactusshunt.quarantine.crash_evidence import MAX_SUSPECTS
from cactusshunt.quarantine.crash_evidence import Crash
from cactusshunt.quarantine.crash_evidence import CrashEvidence
from cactusshunt.quarantine.crash_evidence import Verdict
from cactusshunt.quarantine.engine_crashes import ENTRY_LAG_S
from cactusshunt.quarantine.quarantine import AttemptEnd
from cactusshunt.quarantine.subject import REQUEST_PREFIX
from cactusshunt.quarantine.subject import Subject

PART = Subject(service=SERVICE, name=DEADLY_PART)
NEVER = 1e9


@given(
    "{vms:d} simulated VMs and {engines:d} engines, and datagrams of which {percent:d} % are lost"
)
def make_fleet(context: Any, vms: int, engines: int, percent: int) -> None:
    context.make = lambda seed: SimulatedQuarantines(
        seed=seed, vms=vms, engines=engines, loss=percent / 100.0
    )


@when("requests with a deadly part come for {seconds:d} seconds, in {seeds:d} runs")
def run_deadly(context: Any, seconds: int, seeds: int) -> None:
    context.runs = [context.make(seed) for seed in range(seeds)]
    for run in context.runs:
        run.run(seconds, deadly_from=1.0, crashes_per_s=0.0)


@when("{count:d} deadly {kind} requests come for {seconds:d} seconds, in {seeds:d} runs")
def run_deadly_requests(context: Any, count: int, kind: str, seconds: int, seeds: int) -> None:
    context.runs = [context.make(seed) for seed in range(seeds)]
    for run in context.runs:
        run.kind = KINDS[kind]
        run.run(seconds, deadly_from=1.0, crashes_per_s=0.0, deadly_requests=count)


@when(
    "{cut:d} of the VMs get no new connections, and a deadly {kind} request comes there "
    "for {seconds:d} seconds, in {seeds:d} runs"
)
def run_refused(context: Any, cut: int, kind: str, seconds: int, seeds: int) -> None:
    context.runs = [context.make(seed) for seed in range(seeds)]
    for run in context.runs:
        run.kind = KINDS[kind]
        run.deadly_vms = list(run.vms)[:cut]
        run.refused = set(run.deadly_vms)
        run.run(seconds, deadly_from=1.0, crashes_per_s=0.0, deadly_requests=1)


@when(
    "all connections of {cut:d} of the VMs are reset each second and new ones refused, "
    "for {seconds:d} seconds, in {seeds:d} runs"
)
def run_reset(context: Any, cut: int, seconds: int, seeds: int) -> None:
    context.runs = [context.make(seed) for seed in range(seeds)]
    for run in context.runs:
        run.refused = set(list(run.vms)[:cut])
        for _ in range(seconds):
            run.run(1.0, deadly_from=NEVER, crashes_per_s=0.0, repeated_per_s=20.0)
            for vm in run.refused:
                run.reset_links(vm)
        run.run(1.0, deadly_from=NEVER, crashes_per_s=0.0)


@then("no VM suspects anything")
def check_none_suspected(context: Any) -> None:
    for run in context.runs:
        assert sum(count for result, count in run.sound.items() if "broken" in result) > 0
        for vm, quarantine in run.vms.items():
            quarantine.tick()
            suspects = quarantine._evidence.list_suspects(run.clock.seconds())
            assert not suspects, (vm, suspects)


@then(
    "at most {count:d} sends of each reach engines later than {s:g} seconds "
    "after it has crashed the third, and no VM convicts anything else"
)
def check_request_crashes(context: Any, count: int, s: float) -> None:
    for run in context.runs:
        crashes: defaultdict[str, list[float]] = defaultdict(list)
        for at, name in run.deadly_crashes:
            crashes[name].append(at)
        for name, found in crashes.items():
            third = found[2] if len(found) > 2 else NEVER
            late = [at for at, sent in run.deadly_arrivals if sent == name and at > third + s]
            assert len(late) <= count, (name, found, late)
            print(name, len(found), "crashes,", len(late), "late")
        for quarantine in run.vms.values():
            convicted = {subject.name for subject in quarantine._evidence.convictions}
            assert convicted <= {REQUEST_PREFIX + name for name in crashes}, convicted


@when(
    "engines crash for another cause while callers repeat sound requests for {seconds:d} seconds, "
    "in {seeds:d} runs"
)
def run_repeated(context: Any, seconds: int, seeds: int) -> None:
    context.runs = [context.make(seed) for seed in range(seeds)]
    for run in context.runs:
        run.run(seconds, deadly_from=NEVER, crashes_per_s=1.0, repeated_per_s=20.0)


@when("engines crash for another cause for {seconds:d} seconds, in {seeds:d} runs")
def run_crashes(context: Any, seconds: int, seeds: int) -> None:
    context.runs = [context.make(seed) for seed in range(seeds)]
    for run in context.runs:
        run.run(seconds, deadly_from=NEVER, crashes_per_s=1.0)


@then("at most {count:d} engines crash in each run, and no VM convicts another part")
def check_crashes(context: Any, count: int) -> None:
    for run in context.runs:
        assert 0 < len(run.deadly_crashes) <= count, run.deadly_crashes
        for quarantine in run.vms.values():
            assert set(quarantine._evidence.convictions) <= {PART}, quarantine._evidence.convictions


@then("every VM convicts the part in the end")
def check_found(context: Any) -> None:
    for run in context.runs:
        assert set(read_verdicts(run)) == {Verdict.CONVICTED}, read_verdicts(run)


@then("at most {percent:d} % of the sound requests are not admitted")
def check_sound(context: Any, percent: int) -> None:
    for run in context.runs:
        print(run.sound)
        refused = run.sound["convicted"] + run.sound["held back"] + run.sound["not sent"]
        assert refused <= percent / 100.0 * run.sound.total(), run.sound


@when("one VM hears no peers, and requests with a deadly part come for {seconds:d} seconds")
def run_cut(context: Any, seconds: int) -> None:
    context.run = context.make(0)
    context.run.cut.add("vm0")
    context.run.run(seconds, deadly_from=1.0, crashes_per_s=0.0)


@then("at most {count:d} engines crash, and that VM rejects the part in the end")
def check_cut(context: Any, count: int) -> None:
    print("crashes by VM:", dict(context.run.deadly_crashes_by_vm))
    assert len(context.run.deadly_crashes) <= count, context.run.deadly_crashes
    assert read_verdicts(context.run)[0] is Verdict.CONVICTED


def read_verdicts(run: SimulatedQuarantines) -> list[Verdict]:
    return [vm._assess(PART, run.clock.seconds()) for vm in run.vms.values()]


def convict(vms: int) -> SimulatedQuarantines:
    run = SimulatedQuarantines(seed=1, vms=vms, engines=3, loss=0.0)
    run.run(6.0, deadly_from=0.5, crashes_per_s=0.0)
    assert set(read_verdicts(run)) == {Verdict.CONVICTED}
    return run


@given("{vms:d} simulated VMs that have convicted a part")
def make_convicted(context: Any, vms: int) -> None:
    context.convict = lambda: convict(vms)


@then("both send requests with it again when an operator lifts it")
def check_lifted(context: Any) -> None:
    run = context.convict()
    assert run.vms["vm0"].lift(SERVICE, DEADLY_PART)
    assert not run.vms["vm0"].lift(SERVICE, DEADLY_PART)
    run.clock.pump([STEP_S] * 200)
    assert set(read_verdicts(run)) == {Verdict.SOUND}


@step("a request probes it when all engines have a new version of their software")
def check_new_version(context: Any) -> None:
    run = context.convict()
    run.engines[0].entry.version = "2"
    assert set(read_verdicts(run)) == {Verdict.CONVICTED}
    for engine in run.engines:
        engine.entry.version = "2"
    assert set(read_verdicts(run)) == {Verdict.SUSPECTED}


@step("after its time one crash convicts it again, and one answer ends it")
def check_end(context: Any) -> None:
    run = context.convict()
    for _ in range(int(CONVICTION_S / 0.5)):
        run.clock.advance(0.5)
    assert set(read_verdicts(run)) == {Verdict.SUSPECTED}
    crashes = len(run.deadly_crashes)
    run.run(4.0, deadly_from=0.0, crashes_per_s=0.0)
    assert len(run.deadly_crashes) == crashes + 1
    assert set(read_verdicts(run)) == {Verdict.CONVICTED}
    for vm in run.vms.values():
        vm._record_completion(PART, run.clock.seconds())
    assert set(read_verdicts(run)) == {Verdict.SOUND}


@given("{answered:d} invented parts that were answered, and {crashed:d} that crashed an engine")
def make_invented(context: Any, answered: int, crashed: int) -> None:
    context.evidence = CrashEvidence()
    for number in range(answered):
        context.evidence.record_completion(Subject(service=SERVICE, name=f"a{number}"), 1.0)
    parts = [Subject(service=SERVICE, name=f"c{number}") for number in range(crashed)]
    context.evidence.record_crash(Crash(upstream="e1", born=1), parts, 2.0)


@then("at most {sound:d} and {suspects:d} of them are remembered")
def check_bounds(context: Any, sound: int, suspects: int) -> None:
    assert (sound, suspects) == (MAX_SOUND_SUBJECTS, MAX_SUSPECTS)
    assert len(context.evidence._completed_parts) == sound
    assert len(context.evidence._suspects) == suspects


@given("a part without an answer that was at {count:d} engines when all of them ended at once")
def make_group(context: Any, count: int) -> None:
    context.evidence = CrashEvidence()
    for number in range(count):
        context.evidence.record_crash(Crash(upstream=f"e{number}", born=1), [PART], 1.0)


@then("it is suspected, and not convicted")
def check_suspected(context: Any) -> None:
    assert context.evidence.assess(PART, 5.0) is Verdict.SUSPECTED
    assert not context.evidence.may_probe(PART, 1.2)
    assert context.evidence.may_probe(PART, 1.6)


@step("it is convicted when an engine crashes under its probe later")
def check_probe_crash(context: Any) -> None:
    context.evidence.record_crash(Crash(upstream="probed", born=1), [PART], 1.7)
    assert context.evidence.assess(PART, 5.0) is Verdict.CONVICTED


class CrashingEngine:
    """An engine, and VMs that each have a request with a part of their own at it."""

    def __init__(self, vms: int) -> None:
        self.run = SimulatedQuarantines(seed=1, vms=vms, engines=1, loss=0.0)
        self.engine = self.run.engines[0]
        self.parts = [Subject(service=SERVICE, name=f"p{number}") for number in range(vms)]
        self.jobs = [make_job(part, self.run.clock.seconds()) for part in self.parts]

    def send(self) -> None:
        for vm, job in zip(self.run.vms.values(), self.jobs, strict=True):
            job.last_sent_at = self.run.clock.seconds()
            vm.begin(job, self.engine)

    def break_at(self, number: int) -> None:
        """Let a VM notice that its connection broke."""
        vm = list(self.run.vms.values())[number]
        vm.end(self.jobs[number], self.engine, born=1, end=AttemptEnd.BROKEN)
        self.run.clock.pump([STEP_S] * 60)

    def read_suspects(self) -> list[set[Subject]]:
        """Return the parts that each VM suspects, and check that it suspects their requests."""
        now = self.run.clock.seconds()
        found = [set(vm._evidence.list_suspects(now)) for vm in self.run.vms.values()]
        parts = [{subject for subject in known if not subject.is_request} for known in found]
        for known, suspected in zip(found, parts, strict=True):
            requests = {REQUEST_PREFIX + f"of {part.name}" for part in suspected}
            assert {subject.name for subject in known - suspected} == requests, known
        return parts


def make_job(part: Subject, now: float) -> Any:
    return SimpleNamespace(
        service=SERVICE,
        generation=SimpleNamespace(prompt_parts=((part.name, 1), ("last", 1))),
        digest=f"of {part.name}",
        probe_upstreams=None,
        connection=SimpleNamespace(disconnected=False),
        last_sent_at=now,
    )


@given(
    "{vms:d} VMs with requests at an engine that crashes, "
    "one of which notices it {seconds:g} seconds later"
)
def make_late_vm(context: Any, vms: int, seconds: float) -> None:
    context.crashing = CrashingEngine(vms)
    context.crashing.send()
    context.crashing.engine.alive = False
    context.crashing.break_at(0)
    assert seconds == 60 * STEP_S
    context.crashing.break_at(1)


@then("both VMs suspect the parts of both VMs' requests")
def check_both(context: Any) -> None:
    parts = set(context.crashing.parts)
    assert context.crashing.read_suspects() == [parts, parts], context.crashing.read_suspects()


def crash_and_answer(vms: int) -> CrashingEngine:
    """Let an engine crash, and then answer a request that was sent later."""
    crashing = CrashingEngine(vms)
    crashing.send()
    crashing.engine.alive = False
    crashing.break_at(0)
    crashing.engine.alive = True
    first = next(iter(crashing.run.vms.values()))
    answered = make_job(Subject(service=SERVICE, name="other"), crashing.run.clock.seconds())
    first.begin(answered, crashing.engine)
    first.end(answered, crashing.engine, born=1, end=AttemptEnd.ANSWERED)
    return crashing


@given("{vms:d} VMs, of which one has taken its report of an engine's crash back")
def make_taken_back(context: Any, vms: int) -> None:
    context.crashing = crashing = crash_and_answer(vms)
    crashing.run.clock.advance(ENTRY_LAG_S)  # the entry still shows the same start
    crashing.run.clock.pump([STEP_S] * 60)
    assert crashing.read_suspects() == [set()] * vms


@given("{vms:d} VMs and an engine that crashed, whose next start answers before its entry shows it")
def make_early_answer(context: Any, vms: int) -> None:
    context.crashing = crashing = crash_and_answer(vms)
    crashing.run.clock.pump([STEP_S] * 60)
    crashing.engine.entry = SimpleNamespace(born=2, version="1", service=SERVICE)
    crashing.run.clock.advance(ENTRY_LAG_S)
    crashing.run.clock.pump([STEP_S] * 60)


@then("all VMs still suspect the parts of the request that was there")
def check_still_suspected(context: Any) -> None:
    suspects = context.crashing.read_suspects()
    assert all(context.crashing.parts[0] in found for found in suspects), suspects


@then("both report the parts of their requests when the engine crashes later")
def check_later_crash(context: Any) -> None:
    crashing = context.crashing
    crashing.send()
    crashing.engine.alive = False
    crashing.break_at(1)
    crashing.break_at(0)
    parts = set(crashing.parts)
    assert crashing.read_suspects() == [parts, parts], crashing.read_suspects()
