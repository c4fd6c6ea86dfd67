"""Error answers of the administration API."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from cactusshunt.tasks.problem import Problem

if TYPE_CHECKING:
    from cactusshunt.tasks.administration.settings_writer import StoredSubtree

BODY_LIMIT_BYTES = 1024 * 1024
RETRY_AFTER_S = 2.0


def unauthorized() -> Problem:
    """Return the problem of a call without a valid administrator token."""
    return Problem(
        status=401,
        kind="no-administrator",
        detail="The request carries no valid administrator token.",
        remedy="Send Authorization: Bearer <token>; see deployment/administrators.",
    )


def forbidden() -> Problem:
    """Return the problem of a token that does not cover the subject."""
    return Problem(
        status=403,
        kind="subject-not-allowed",
        detail="The token does not permit access to this subject.",
        remedy="Use the token of an administrator of this subject.",
    )


def body_too_large() -> Problem:
    """Return the problem of a body over the size limit."""
    return Problem(
        status=413,
        kind="body-too-large",
        detail=f"The request body is larger than {BODY_LIMIT_BYTES} bytes.",
        remedy="Split the change into several requests.",
    )


def store_unavailable(now: float) -> Problem:
    """Return the problem of a call that the store did not answer."""
    return Problem(
        status=503,
        kind="store-unavailable",
        detail="The store did not answer; nothing was written.",
        remedy="Try again later; callers are still served with the settings in force.",
        retry_at=now + RETRY_AFTER_S,
    )


def revision_required() -> Problem:
    """Return the problem of a write without If-Match."""
    return Problem(
        status=428,
        kind="version-required",
        detail="The request has no valid If-Match header.",
        remedy='Read the subject and send its revision as If-Match: "<revision>".',
    )


def revision_conflict(stored: StoredSubtree) -> Problem:
    """Return the problem of a write based on a revision that is no longer current."""
    accepted = stored.accepted
    author = accepted.author if accepted is not None else "none"
    documents = msgspec.json.encode(stored.documents).decode()
    return Problem(
        status=412,
        kind="other-change-first",
        detail=f"The current revision is {stored.accepted_revision}; author: {author}.",
        remedy="Read the subject again and apply the change to its current documents.",
        errors=(documents,),  # the current documents, as JSON
    )


def invalid_settings(errors: tuple[str, ...]) -> Problem:
    """Return the problem of settings that are not valid."""
    return Problem(
        status=422,
        kind="invalid-settings",
        detail="The settings are not valid; nothing was written.",
        remedy="Correct each error listed under errors.",
        errors=errors,
    )


def no_such_revision(subject: str, revision: int) -> Problem:
    """Return the problem of a revision that is not in the history."""
    return Problem(
        status=404,
        kind="no-such-revision",
        detail=f"The history of {subject} has no revision {revision}.",
        remedy="Read the history for the available revisions.",
    )
