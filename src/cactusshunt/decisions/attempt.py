"""State machine of one attempt at an upstream, and the outcome reported to the caller."""

from __future__ import annotations

from enum import Enum


class AttemptState(Enum):
    """State of an attempt; ``FINAL_STATES`` lists those at its end."""

    QUEUED = "queued"
    CONNECTING = "connecting"
    SENT = "sent"
    STREAMING = "streaming"
    DONE = "done"
    NOT_SENT = "not_sent"
    REFUSED = "refused"
    LOST = "lost"  # sent, and ended before the answer began
    BROKEN = "broken"  # the answer began but did not end


class AttemptEvent(Enum):
    """Event in the course of an attempt."""

    ADMITTED = "admitted"
    CONNECTED = "connected"
    CONNECT_FAILED = "connect_failed"
    GIVEN_UP = "given_up"  # by the entry process, as when the caller disconnected
    REFUSAL = "refusal"
    FIRST_BYTE = "first_byte"
    LAST_BYTE = "last_byte"
    CONNECTION_LOST = "connection_lost"
    SILENCE = "silence"  # nothing arrived within the time allowed
    MISMATCH = "mismatch"  # the answer carries the identity of another attempt


class Outcome(Enum):
    """What is known of the execution of a request without an answer, as told to its caller."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"


_TRANSITIONS: dict[tuple[AttemptState, AttemptEvent], AttemptState] = {
    (AttemptState.QUEUED, AttemptEvent.ADMITTED): AttemptState.CONNECTING,
    (AttemptState.QUEUED, AttemptEvent.GIVEN_UP): AttemptState.NOT_SENT,
    (AttemptState.CONNECTING, AttemptEvent.CONNECTED): AttemptState.SENT,
    (AttemptState.CONNECTING, AttemptEvent.CONNECT_FAILED): AttemptState.NOT_SENT,
    (AttemptState.CONNECTING, AttemptEvent.GIVEN_UP): AttemptState.NOT_SENT,
    (AttemptState.SENT, AttemptEvent.REFUSAL): AttemptState.REFUSED,
    (AttemptState.SENT, AttemptEvent.FIRST_BYTE): AttemptState.STREAMING,
    (AttemptState.SENT, AttemptEvent.CONNECTION_LOST): AttemptState.LOST,
    (AttemptState.SENT, AttemptEvent.SILENCE): AttemptState.LOST,
    (AttemptState.SENT, AttemptEvent.MISMATCH): AttemptState.LOST,
    (AttemptState.SENT, AttemptEvent.GIVEN_UP): AttemptState.LOST,
    (AttemptState.STREAMING, AttemptEvent.LAST_BYTE): AttemptState.DONE,
    (AttemptState.STREAMING, AttemptEvent.CONNECTION_LOST): AttemptState.BROKEN,
    (AttemptState.STREAMING, AttemptEvent.SILENCE): AttemptState.BROKEN,
    (AttemptState.STREAMING, AttemptEvent.MISMATCH): AttemptState.BROKEN,
    (AttemptState.STREAMING, AttemptEvent.GIVEN_UP): AttemptState.BROKEN,
}

_OUTCOMES = {
    AttemptState.NOT_SENT: Outcome.NOT_RUN,
    AttemptState.REFUSED: Outcome.NOT_RUN,
    AttemptState.LOST: Outcome.UNKNOWN,
    AttemptState.BROKEN: Outcome.UNKNOWN,
}

FINAL_STATES = frozenset({AttemptState.DONE, *_OUTCOMES})


def advance_attempt(state: AttemptState, event: AttemptEvent) -> AttemptState:
    """Return the state after an event; an event without a transition changes nothing."""
    return _TRANSITIONS.get((state, event), state)


def outcome_of(state: AttemptState) -> Outcome:
    """Return what is known of the execution of an attempt that ended without an answer.

    ``NOT_RUN`` if no byte was sent or the upstream refused the request, else ``UNKNOWN``.
    """
    return _OUTCOMES.get(state, Outcome.UNKNOWN)


def may_retry(state: AttemptState, *, repeatable: bool) -> bool:
    """Tell whether another attempt is allowed after one that ended in ``state``."""
    if state is AttemptState.DONE:
        return False
    return repeatable or outcome_of(state) is Outcome.NOT_RUN


def combine_outcomes(states: list[AttemptState]) -> Outcome:
    """Return the outcome of a request from the final states of all its attempts."""
    if all(outcome_of(state) is Outcome.NOT_RUN for state in states):
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN
