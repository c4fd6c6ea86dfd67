"""Store keys of settings, and merging of their documents."""

from __future__ import annotations

from cactusshunt.decisions.catalogue import DEPLOYMENT_SUBJECT

ACCEPTED_PREFIX = "accepted/"
WRITTEN_PREFIXES = ("teams/", "deployment/")  # of documents as operators write them


def accepted_key(subject: str) -> str:
    """Return the store key of a subject's accepted version."""
    return f"{ACCEPTED_PREFIX}{subject}"


def merge_documents(
    older: dict[str, str], written: dict[str, str], newer: dict[str, str]
) -> dict[str, str]:
    """Return ``newer`` with the changes between ``older`` and ``written`` applied to it."""
    merged = dict(newer)
    for path in older.keys() | written.keys():
        if older.get(path) == written.get(path):
            continue
        if path in written:
            merged[path] = written[path]
        else:
            merged.pop(path, None)
    return merged


def split_key(key: str) -> tuple[str, str]:
    """Return the subject of a written document's key, and the document's path below it."""
    if key.startswith(f"{DEPLOYMENT_SUBJECT}/"):
        return DEPLOYMENT_SUBJECT, key.removeprefix(f"{DEPLOYMENT_SUBJECT}/")
    team_end = key.find("/", len("teams/"))
    if team_end < 0:
        return key, ""
    return key[:team_end], key[team_end + 1 :]
