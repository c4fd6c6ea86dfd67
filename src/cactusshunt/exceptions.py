"""Exception classes of the project; all derive from ``CactusshuntError``."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, kw_only=True)
class CactusshuntError(Exception):
    """Base of all exceptions; ``remedy`` says how to correct the problem."""

    reason: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.reason} {self.remedy}"


@dataclass(frozen=True, kw_only=True)
class SettingsError(CactusshuntError):
    """One error in a settings document; ``line`` starts at 1 and is 0 if unknown."""

    path: str
    line: int

    def __str__(self) -> str:
        return f"{self.path}, line {self.line}: {self.reason} {self.remedy}"


class ModelNameError(CactusshuntError):
    """A model name does not follow ``team/model[:adapter][@version]``."""


class StoreError(CactusshuntError):
    """Base of the failures of the platform's key-value store."""


class StoreUnavailableError(StoreError):
    """The store was not reached, so the call had no effect."""


class StoreOutcomeUnknownError(StoreError):
    """The call was sent but not answered, so it may have taken effect."""


@dataclass(frozen=True, kw_only=True)
class CompareFailedError(StoreError):
    """A compare-and-swap found a version other than the expected one.

    ``revisions`` has those of the expected keys that the store named; it leaves out missing keys.
    """

    revisions: Mapping[str, int] = field(default_factory=dict)


class HistoryLostError(StoreError):
    """The store no longer holds the requested change history."""


class LeaseEndedError(StoreError):
    """A lease has expired or was revoked."""


class ZoneReaderError(CactusshuntError):
    """A reader of the zone gave no answer that can be used; the store has to be read."""


class ChangesTooLargeError(ZoneReaderError):
    """A reader of the zone is sound, but these changes have to be read from the store."""


class LedgerError(CactusshuntError):
    """The memory ledger cannot accept an order or a report."""


class OrderRefusedError(CactusshuntError):
    """An engine refused an order, so it had no effect."""


class OrderOutcomeUnknownError(CactusshuntError):
    """An order was sent but not acknowledged, so it may still arrive."""


class UpstreamError(CactusshuntError):
    """Base of the failures of an attempt at an upstream."""


class UpstreamNotReachedError(UpstreamError):
    """No byte of the request was sent."""


class UpstreamRefusedError(UpstreamError):
    """The upstream answered that it did not start the request."""


class UpstreamBrokenError(UpstreamError):
    """The request was sent but its answer did not arrive completely."""


@dataclass(frozen=True, kw_only=True)
class UpstreamSilentError(UpstreamError):
    """The request was sent but the upstream sent nothing before the deadline.

    ``on_kept_connection`` tells that the connection had served an earlier request.
    """

    on_kept_connection: bool = False


class HeaderValueError(UpstreamError):
    """A header of an upstream's answer has a value that cannot be read."""


class AnswerMismatchError(UpstreamError):
    """An upstream sent the answer of another attempt."""


class OrderNotSentError(CactusshuntError):
    """An order was not sent, so it cannot arrive."""


class ChartLibraryMissingError(CactusshuntError):
    """An image was requested but the drawing library is not installed."""


class QuestionError(CactusshuntError):
    """A request about which an operator asks where it would go could not be a caller's."""
