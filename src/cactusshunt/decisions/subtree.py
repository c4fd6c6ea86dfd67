"""Validation of a whole subtree of settings: one team's, or the deployment's."""

from __future__ import annotations

import re

from typing import TYPE_CHECKING

from cactusshunt.decisions.catalogue import DEPLOYMENT_SUBJECT
from cactusshunt.decisions.documents import check_document
from cactusshunt.exceptions import SettingsError

if TYPE_CHECKING:
    from collections.abc import Mapping

_NAME = r"[a-z0-9][a-z0-9_-]{0,62}"
_TEAM_SUBJECT = re.compile(rf"teams/{_NAME}")
_TEAM_DOCUMENTS = (
    (re.compile(r"access"), "TeamAccess"),
    (re.compile(r"models/[a-z0-9][a-z0-9._-]{0,62}"), "ModelSettings"),
    (re.compile(rf"services/{_NAME}"), "ServiceSettings"),
)
_DEPLOYMENT_DOCUMENTS = (
    (re.compile(rf"upstream_kinds/{_NAME}"), "UpstreamKind"),
    (re.compile(r"weight_store"), "WeightStore"),
    (re.compile(r"objective"), "Objective"),
    (re.compile(r"administrators"), "Administrators"),
)


def is_subject(subject: str) -> bool:
    """Tell whether a string names a subtree of settings."""
    return subject == DEPLOYMENT_SUBJECT or _TEAM_SUBJECT.fullmatch(subject) is not None


def check_subtree(subject: str, documents: Mapping[str, str]) -> list[SettingsError]:
    """Return all errors of a subtree; it is valid if the list is empty."""
    if not is_subject(subject):
        return [
            SettingsError(
                path=subject,
                line=0,
                reason="The subject is neither teams/<team> nor deployment.",
                remedy="Use lower-case letters, digits, - and _ for the team's name.",
            )
        ]
    found: list[SettingsError] = []
    for path, text in documents.items():
        found.extend(_check_settings_document(subject, path, text))
    return found


def definition_of(subject: str, path: str) -> str | None:
    """Return the schema definition for a document, or ``None`` for an unknown path."""
    known = _DEPLOYMENT_DOCUMENTS if subject == DEPLOYMENT_SUBJECT else _TEAM_DOCUMENTS
    for pattern, definition in known:
        if pattern.fullmatch(path):
            return definition
    return None


def _check_settings_document(subject: str, path: str, text: str) -> list[SettingsError]:
    definition = definition_of(subject, path)
    if definition is None:
        return [
            SettingsError(
                path=f"{subject}/{path}",
                line=0,
                reason="No settings document has this path.",
                remedy="See the settings reference for the paths of a team and the deployment.",
            )
        ]
    return [
        SettingsError(
            path=f"{subject}/{path}:{error.path}",
            line=error.line,
            reason=error.reason,
            remedy=error.remedy,
        )
        for error in check_document(text, "settings", definition)
    ]
