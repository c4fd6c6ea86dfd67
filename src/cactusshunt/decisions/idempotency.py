"""At-most-once execution of requests that carry an Idempotency-Key.

An idempotency claim on the key is created in the store before any byte can reach an upstream. The
entry process gives each claim its own id, so a caller's retry is never taken for the first request
(after "Treat Agent Tool Calls as a Commit Protocol, Not Chat Messages", section "Sequence model").
"""

from __future__ import annotations

import hashlib

from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusshunt.schema.generated.messages import OnceRecord


CLAIM_PREFIX = "once/"
CLAIM_TTL_S = 86400  # time for which a key is remembered


class ClaimVerdict(Enum):
    """How an entry process must handle a request that carries a key."""

    GRANTED = "granted"
    IN_PROGRESS = "in_progress"
    ANSWERED = "answered"
    DONE_WITHOUT_ANSWER = "done_without_answer"
    OTHER_REQUEST = "other_request"


def claim_key(*, scope: str, key: str) -> str:
    """Return the store key of a claim; ``scope`` is the team, so that teams never share keys."""
    digest = hashlib.sha256(f"{scope}\0{key}".encode()).hexdigest()
    return f"{CLAIM_PREFIX}{digest}"


def fingerprint_request(*, method: str, path: str, body: bytes) -> str:
    """Return a hash that distinguishes a repeated request from another with the same key."""
    digest = hashlib.sha256()
    digest.update(f"{method} {path}\0".encode())
    digest.update(body)
    return digest.hexdigest()


def classify_claim(found: OnceRecord, *, claim_id: str, fingerprint: str) -> ClaimVerdict:
    """Classify the record found in the store after an attempt to create a claim."""
    if found.fingerprint != fingerprint:
        return ClaimVerdict.OTHER_REQUEST
    if found.state == "claimed":
        own = found.claim_id == claim_id
        return ClaimVerdict.GRANTED if own else ClaimVerdict.IN_PROGRESS
    return ClaimVerdict.ANSWERED if found.kept else ClaimVerdict.DONE_WITHOUT_ANSWER


def complete_claim(record: OnceRecord, *, status: int, content_type: str, body: str) -> OnceRecord:
    """Return the record of an executed request; ``body`` is the whole answer in base64."""
    return replace(
        record, state="done", status=status, content_type=content_type, body=body, kept=True
    )
