"""Replay of stored answers to requests that repeat an Idempotency-Key."""

from __future__ import annotations

import base64

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusshunt.schema.generated.messages import OnceRecord
    from cactusshunt.tasks.entry.caller_request import CallerRequest

REPLAYED_HEADER = "Idempotency-Replayed"


def send_stored_answer(caller_request: CallerRequest, record: OnceRecord) -> None:
    """Send the stored answer with the header ``Idempotency-Replayed: true``."""
    headers = [("Content-Type", record.content_type), (REPLAYED_HEADER, "true")]
    caller_request.answer(record.status, headers, base64.b64decode(record.body))
