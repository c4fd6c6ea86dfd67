"""Bearer tokens: which callers may use a team, and which administrators may edit a subtree."""

from __future__ import annotations

import hashlib
import hmac

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from cactusshunt.schema.generated.settings import Administrator
    from cactusshunt.schema.generated.settings import TeamAccess

ALL_SUBJECTS = "*"


class Access(Enum):
    """Result of the check of a caller's token."""

    ALLOWED = "allowed"
    NO_TOKEN = "no_token"
    WRONG_TOKEN = "wrong_token"


def hash_token(token: str) -> str:
    """Return the SHA-256 hash of a token, as stored in settings."""
    return hashlib.sha256(token.encode()).hexdigest()


def read_bearer_token(header: str | None) -> str | None:
    """Return the bearer token of an Authorization header, or ``None``."""
    scheme, _, token = (header or "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" and token.strip() else None


def check_caller(access: Mapping[str, TeamAccess], team: str, token: str | None) -> Access:
    """Check a caller's token; a team without tokens, or an unknown team, is open to all."""
    found = access.get(team)
    if found is None or not found.caller_token_hashes:
        return Access.ALLOWED
    if token is None:
        return Access.NO_TOKEN
    return Access.ALLOWED if _matches(token, found.caller_token_hashes) else Access.WRONG_TOKEN


def find_administrator(
    administrators: Iterable[Administrator], token: str | None
) -> Administrator | None:
    """Return the administrator to whom a token belongs, or ``None``."""
    if token is None:
        return None
    for administrator in administrators:
        if _matches(token, [administrator.token_hash]):
            return administrator
    return None


def may_administer(administrator: Administrator, subject: str) -> bool:
    """Tell whether an administrator may read and write a subtree."""
    return ALL_SUBJECTS in administrator.subjects or subject in administrator.subjects


def _matches(token: str, hashes: Iterable[str]) -> bool:
    digest = hash_token(token)
    return any(hmac.compare_digest(digest, known) for known in hashes)
