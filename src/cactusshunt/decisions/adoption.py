"""Settings in force at this node; the version of each subject never decreases.

Operators write documents to the store; valid subtrees are stored as accepted, and each node then
adopts the accepted subtrees, which are thereby in force there.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from cactusshunt.decisions.subtree import check_subtree
from cactusshunt.schema.generated.messages import SubjectVersion
from cactusshunt.schema.generated.messages import Subtree

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactusshunt.exceptions import SettingsError


class AdoptionVerdict(Enum):
    """Result of the attempt to adopt a subtree; ``CURRENT`` is the version already in force."""

    ADOPTED = "adopted"
    CURRENT = "current"
    STALE = "stale"
    REJECTED = "rejected"


@dataclass(frozen=True, kw_only=True)
class AdoptionResult:
    """Verdict on one subtree, with its errors if it was rejected."""

    verdict: AdoptionVerdict
    errors: tuple[SettingsError, ...] = ()


def subtree_version(subtree: Subtree) -> tuple[int, int]:
    """Return the sort key of a subtree's version: generation, then store revision."""
    return (subtree.generation, subtree.revision)


class AdoptedSettings:
    """Subtree in force of each subject; owned by the control process."""

    def __init__(self) -> None:
        self._subtrees: dict[str, Subtree] = {}
        self._highest_store_revision = 0
        self._store_regressed_to: int | None = None

    @property
    def subtrees(self) -> list[Subtree]:
        """Return the subtrees in force, sorted by subject."""
        return [self._subtrees[subject] for subject in sorted(self._subtrees)]

    @property
    def store_regressed_to(self) -> int | None:
        """Return the store's revision if it is lower than one already seen, else ``None``."""
        return self._store_regressed_to

    def get(self, subject: str) -> Subtree | None:
        """Return the subtree in force for a subject."""
        return self._subtrees.get(subject)

    def adopt_if_newer(self, subtree: Subtree) -> AdoptionResult:
        """Adopt a subtree if it is valid and newer than the one in force."""
        current = self._subtrees.get(subtree.subject)
        if current is not None and subtree_version(subtree) == subtree_version(current):
            return AdoptionResult(verdict=AdoptionVerdict.CURRENT)
        if current is not None and subtree_version(subtree) < subtree_version(current):
            return AdoptionResult(verdict=AdoptionVerdict.STALE)
        errors = check_subtree(subtree.subject, subtree.documents)
        if errors:
            return AdoptionResult(verdict=AdoptionVerdict.REJECTED, errors=tuple(errors))
        self._subtrees[subtree.subject] = subtree
        return AdoptionResult(verdict=AdoptionVerdict.ADOPTED)

    def observe_store_revision(self, revision: int) -> bool:
        """Record the store's revision; return ``False`` if it decreased."""
        if revision < self._highest_store_revision:
            self._store_regressed_to = revision
            return False
        self._highest_store_revision = revision
        self._store_regressed_to = None
        return True

    def versions(self) -> list[SubjectVersion]:
        """Return the versions of the settings in force, as digests carry them."""
        return [
            SubjectVersion(
                subject=subtree.subject,
                generation=subtree.generation,
                revision=subtree.revision,
            )
            for subtree in self.subtrees
        ]

    def find_newer(self, versions: Iterable[SubjectVersion]) -> list[str]:
        """Return the subjects whose version in ``versions`` is newer than the one in force."""
        return [
            version.subject
            for version in versions
            if (version.generation, version.revision) > self._version(version.subject)
        ]

    def _version(self, subject: str) -> tuple[int, int]:
        subtree = self._subtrees.get(subject)
        return subtree_version(subtree) if subtree is not None else (-1, -1)
