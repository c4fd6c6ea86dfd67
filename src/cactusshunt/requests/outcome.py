"""Outcomes of one attempt at an upstream, and the next step after each."""

from __future__ import annotations

import enum

MAX_SENDS = 3  # per request, including the attempts that upstreams refused


class Outcome(enum.Enum):
    """How one attempt ended; the values are reasons in answers, logs and metrics."""

    ANSWERED = "answered"
    NOT_REACHED = "no byte left this process"
    # The answer has the header x-not-executed.
    NOT_RUN = "the upstream says that it did not run the request"
    # Status 421: another instance is at the address, or the engine does not hold the item.
    ABSENT = "the upstream is another one, or lacks the model"
    FAILED = "the upstream answered with a failure"
    # The connection broke, or the answer is malformed, rejected, a redirect or an unproven refusal.
    UNKNOWN = "the request may have run"
    # The connection broke after nothing had been read from it for a while; no fault of the engine.
    CUT_UNREAD = "the answer was cut off because the caller did not read it"
    TIMED_OUT = "the time was up"
    CALLER_GONE = "the caller left"
    SUPERSEDED = "cancelled, as the other send of the request was answered first"


class NextStep(enum.Enum):
    """Next step after an attempt."""

    ANSWER = "forward the upstream's answer"
    TRY_OTHER = "try another upstream; counts as a retry if the request was sent"
    GIVE_UP = "answer locally"


_NEXT: dict[tuple[Outcome, bool], NextStep] = {
    (Outcome.ANSWERED, True): NextStep.ANSWER,
    (Outcome.ANSWERED, False): NextStep.ANSWER,
    (Outcome.NOT_REACHED, True): NextStep.TRY_OTHER,
    (Outcome.NOT_REACHED, False): NextStep.TRY_OTHER,
    (Outcome.NOT_RUN, True): NextStep.TRY_OTHER,
    (Outcome.NOT_RUN, False): NextStep.TRY_OTHER,
    (Outcome.ABSENT, True): NextStep.TRY_OTHER,
    (Outcome.ABSENT, False): NextStep.TRY_OTHER,
    (Outcome.FAILED, True): NextStep.TRY_OTHER,
    (Outcome.FAILED, False): NextStep.ANSWER,
    (Outcome.UNKNOWN, True): NextStep.TRY_OTHER,
    (Outcome.UNKNOWN, False): NextStep.GIVE_UP,
    (Outcome.CUT_UNREAD, True): NextStep.TRY_OTHER,
    (Outcome.CUT_UNREAD, False): NextStep.GIVE_UP,
    (Outcome.TIMED_OUT, True): NextStep.GIVE_UP,
    (Outcome.TIMED_OUT, False): NextStep.GIVE_UP,
    (Outcome.CALLER_GONE, True): NextStep.GIVE_UP,
    (Outcome.CALLER_GONE, False): NextStep.GIVE_UP,
    (Outcome.SUPERSEDED, True): NextStep.GIVE_UP,
    (Outcome.SUPERSEDED, False): NextStep.GIVE_UP,
}
_MAY_HAVE_RUN_OUTCOMES: frozenset[Outcome] = frozenset(
    {
        Outcome.ANSWERED,
        Outcome.FAILED,
        Outcome.UNKNOWN,
        Outcome.CUT_UNREAD,
        Outcome.TIMED_OUT,
        Outcome.CALLER_GONE,
        Outcome.SUPERSEDED,
    }
)
_SENT_OUTCOMES = _MAY_HAVE_RUN_OUTCOMES | {Outcome.NOT_RUN, Outcome.ABSENT}


def decide_next(outcome: Outcome, *, repeatable: bool) -> NextStep:
    """Return the next step after an attempt."""
    return _NEXT[(outcome, repeatable)]


def may_have_run(outcome: Outcome) -> bool:
    """Return whether a request may have run in an attempt with this outcome."""
    return outcome in _MAY_HAVE_RUN_OUTCOMES


def was_sent(outcome: Outcome) -> bool:
    """Return whether an attempt with this outcome reached an upstream."""
    return outcome in _SENT_OUTCOMES
