"""Which engines a prompt should avoid so that running streams keep the pauses that callers accept.

Load pattern: short requests with long prompts and long streams share the engines of the same models
at about half of the engines' prefill rate. Engines read prompts in pieces between the tokens of
running streams, so a few prompts that arrive together at one engine delay the next event of each
stream there beyond the route's target. A stream of some seconds meets such a moment on nearly every
engine. It does not on engines that short requests avoid: long streams gather there, and the other
engines take the short requests.
"""

from __future__ import annotations

# At one engine; further ones change neither cost below. With 24, streams gather at so few engines
# that their own prompts cause long pauses.
MAX_COUNTED_STREAMS = 12.0
# Part of the accepted pause that a full engine takes to generate the tokens of one event.
EVENT_DECODE_MS = 40.0
# Each long stream at an engine lowers the engine's cost for a further one by this. With 2 ms too
# few gather, with 10 ms too many, see MAX_COUNTED_STREAMS.
GATHERING_MS = 5.0


def estimate_pause_share(prefill_ms: float, gap_aim_ms: float) -> float:
    """Return how much of the accepted pause a prefill uses up, squared, 1 at most.

    A prefill well below the accepted pause harms only together with others that arrive in the same
    moment, which is rarer the smaller each is.
    """
    room_ms = max(1.0, gap_aim_ms - EVENT_DECODE_MS)
    return min(1.0, prefill_ms / room_ms) ** 2


def compute_short_request_cost_ms(
    *, prefill_ms: float, long_streams: float, gap_aim_ms: float, target_ms: float
) -> float:
    """Return what a short request costs the long streams at an engine.

    ``prefill_ms`` is the time to read all queued prompts and its own. Each stream whose pause gets
    too long counts like one request that misses its latency objective ``target_ms``.
    """
    streams = min(MAX_COUNTED_STREAMS, long_streams)
    return streams * target_ms * estimate_pause_share(prefill_ms, gap_aim_ms)


def compute_long_stream_cost_ms(*, queued_ms: float, long_streams: float) -> float:
    """Return how much an engine is worse for a long stream because of prompts and other streams.

    ``queued_ms`` is the time to read the less urgent prompts, which delay the stream's events
    although it begins before them. The others count already in the time to its first token.
    """
    return queued_ms - GATHERING_MS * min(MAX_COUNTED_STREAMS, long_streams)
