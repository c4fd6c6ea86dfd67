"""What may crash upstreams: a part of prompts, or a whole request.

A part is named by its identifier in the prompt, a whole request by a digest of what is the same
each time that it comes.
"""

from __future__ import annotations

import hashlib

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusshunt.requests.job import Job

REQUEST_PREFIX = "request:"  # no part's identifier contains a colon, which ends it in a prompt
MAX_PARTS_PER_REQUEST = 16  # the first ones, which requests share most
MAX_NAME_LENGTH = 64
DIGEST_BYTES = 16
MAX_LISTED = 8  # names in one log line
MAX_PARTS_PER_REPORT = 200  # keeps a datagram below 16 KB


@dataclass(frozen=True, kw_only=True, order=True)
class Subject:
    """A part of prompts to a service, or a whole request to it."""

    service: str
    name: str

    @property
    def is_request(self) -> bool:
        """Return whether this is a whole request."""
        return self.name.startswith(REQUEST_PREFIX)


def list_shared_parts(job: Job) -> tuple[Subject, ...]:
    """Return the parts of a request's prompt that other requests may share: all but the last."""
    if job.generation is None:
        return ()
    names = [name[:MAX_NAME_LENGTH] for name, _ in job.generation.prompt_parts[:-1]]
    return tuple(Subject(service=job.service, name=name) for name in names[:MAX_PARTS_PER_REQUEST])


def identify_request(job: Job) -> Subject:
    """Return a whole request: what is the same each time that a caller sends it."""
    if job.digest is None:
        job.digest = _compute_digest(job)
    return Subject(service=job.service, name=REQUEST_PREFIX + job.digest)


def list_subjects(job: Job) -> tuple[Subject, ...]:
    """Return all that may crash an upstream under a request."""
    return (*list_shared_parts(job), identify_request(job))


def _compute_digest(job: Job) -> str:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    request = job.request
    for field in (request.method, request.target, job.caller, request.body):
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return digest.hexdigest()
