"""What one attempt at an upstream came to, and what may follow."""

from __future__ import annotations

import enum


class Outcome(enum.Enum):
    """What is known of one attempt."""

    ANSWERED = "answered"
    NOT_REACHED = "no byte left this process"
    NOT_RUN = "the upstream says that it did not run the request"
    ABSENT = "the upstream is another one, or lacks the model"
    FAILED = "the upstream answered with a failure"
    UNKNOWN = "the request may have run"
    TIMED_OUT = "the time was up"
    CALLER_GONE = "the caller left"


class Next(enum.Enum):
    """What follows an attempt."""

    ANSWER = "pass the upstream's answer on"
    TRY_OTHER = "try another upstream; counts as a repeat if the request was sent"
    GIVE_UP = "final answer of our own"


_NEXT: dict[tuple[Outcome, bool], Next] = {
    (Outcome.ANSWERED, True): Next.ANSWER,
    (Outcome.ANSWERED, False): Next.ANSWER,
    (Outcome.NOT_REACHED, True): Next.TRY_OTHER,
    (Outcome.NOT_REACHED, False): Next.TRY_OTHER,
    (Outcome.NOT_RUN, True): Next.TRY_OTHER,
    (Outcome.NOT_RUN, False): Next.TRY_OTHER,
    (Outcome.ABSENT, True): Next.TRY_OTHER,
    (Outcome.ABSENT, False): Next.TRY_OTHER,
    (Outcome.FAILED, True): Next.TRY_OTHER,
    (Outcome.FAILED, False): Next.ANSWER,
    (Outcome.UNKNOWN, True): Next.TRY_OTHER,
    (Outcome.UNKNOWN, False): Next.GIVE_UP,
    (Outcome.TIMED_OUT, True): Next.GIVE_UP,
    (Outcome.TIMED_OUT, False): Next.GIVE_UP,
    (Outcome.CALLER_GONE, True): Next.GIVE_UP,
    (Outcome.CALLER_GONE, False): Next.GIVE_UP,
}
_RAN: frozenset[Outcome] = frozenset(
    {
        Outcome.ANSWERED,
        Outcome.FAILED,
        Outcome.UNKNOWN,
        Outcome.TIMED_OUT,
        Outcome.CALLER_GONE,
    }
)
_WAS_SENT = _RAN | {Outcome.NOT_RUN, Outcome.ABSENT}


def decide_next(outcome: Outcome, *, repeatable: bool) -> Next:
    """Return what follows an attempt."""
    return _NEXT[(outcome, repeatable)]


def may_have_run(outcome: Outcome) -> bool:
    """Tell whether a request may have run in an attempt with this outcome."""
    return outcome in _RAN


def was_sent(outcome: Outcome) -> bool:
    """Tell whether an attempt reached an upstream."""
    return outcome in _WAS_SENT
