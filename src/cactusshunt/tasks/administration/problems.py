"""The problems that operators can meet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from cactusshunt.tasks.problem import Problem

if TYPE_CHECKING:
    from cactusshunt.tasks.administration.settings_writer import StoredSubtree

BODY_LIMIT_BYTES = 1024 * 1024
RETRY_AFTER_S = 2.0


def unauthorised() -> Problem:
    """A call without an administrator's token."""
    return Problem(
        status=401,
        kind="no-administrator",
        detail="The call carries no token of an administrator.",
        remedy="Send Authorization: Bearer <token>; tokens stand in deployment/administrators.",
    )


def forbidden() -> Problem:
    """A token that is not for the subtree."""
    return Problem(
        status=403,
        kind="subject-not-allowed",
        detail="The token is not for this subtree.",
        remedy="Use the token of this team's administrator.",
    )


def body_too_large() -> Problem:
    """A body over the limit."""
    return Problem(
        status=413,
        kind="body-too-large",
        detail=f"The body is larger than {BODY_LIMIT_BYTES} bytes.",
        remedy="Split the change.",
    )


def store_unavailable(now: float) -> Problem:
    """The key-value service did not answer."""
    return Problem(
        status=503,
        kind="store-unavailable",
        detail="The platform's key-value service did not answer; nothing was written.",
        remedy="Try again; callers are served with the settings in force.",
        retry_at=now + RETRY_AFTER_S,
    )


def version_required() -> Problem:
    """A write that names no version."""
    return Problem(
        status=428,
        kind="version-required",
        detail="The call names no version.",
        remedy='Read the subtree and send its revision as If-Match: "<revision>".',
    )


def revision_conflict(stored: StoredSubtree) -> Problem:
    """A write over a version that no longer stands."""
    accepted = stored.accepted
    author = accepted.author if accepted is not None else "nobody"
    documents = msgspec.json.encode(stored.documents).decode()
    return Problem(
        status=412,
        kind="other-change-first",
        detail=f"Revision {stored.accepted_revision} by {author} stands now.",
        remedy="Read the subtree again and repeat the change on it.",
        errors=(documents,),
    )


def invalid_settings(errors: tuple[str, ...]) -> Problem:
    """Settings that are not valid."""
    return Problem(
        status=422,
        kind="invalid-settings",
        detail="The settings are not valid; nothing was written.",
        remedy="Mend each place that is named.",
        errors=errors,
    )


def no_such_revision(subject: str, revision: int) -> Problem:
    """A revision that the history does not keep."""
    return Problem(
        status=404,
        kind="no-such-revision",
        detail=f"The history of {subject} has no revision {revision}.",
        remedy="Read the history for the revisions that are kept.",
    )
