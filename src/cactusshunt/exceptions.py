"""Family of typed failures; every failure of the product derives from one base."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class CactusshuntError(Exception):
    """Base of every failure; ``remedy`` says what the reader can do about it."""

    reason: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.reason} {self.remedy}"


@dataclass(frozen=True, kw_only=True)
class SettingsError(CactusshuntError):
    """One wrong place in a settings document; ``line`` counts from 1, 0 when unknown."""

    path: str
    line: int

    def __str__(self) -> str:
        return f"{self.path}, line {self.line}: {self.reason} {self.remedy}"


class ModelNameError(CactusshuntError):
    """A model name that does not follow ``team/model[:adapter][@version]``."""


class StoreError(CactusshuntError):
    """Base of the failures of the platform's key-value service."""


class StoreUnavailableError(StoreError):
    """The store was not reached, so the call certainly had no effect."""


class StoreOutcomeUnknownError(StoreError):
    """The call was sent and no answer came, so it may have taken effect."""


class CompareFailedError(StoreError):
    """A compare-and-swap met another version than the expected one."""


class HistoryLostError(StoreError):
    """The store no longer keeps the changes that were asked for."""


class LeaseEndedError(StoreError):
    """A lease has lapsed or was ended."""


class LedgerError(CactusshuntError):
    """An order or report that the memory ledger cannot accept."""


class OrderRefusedError(CactusshuntError):
    """An engine refused an order, so the order had no effect."""


class OrderOutcomeUnknownError(CactusshuntError):
    """An order was sent and not acknowledged, so it may still arrive."""


class UpstreamError(CactusshuntError):
    """Base of the failures of a request at an upstream."""


class UpstreamNotReachedError(UpstreamError):
    """No byte of the request left this process."""


class UpstreamRefusedError(UpstreamError):
    """The upstream said that it did not begin the request."""


class UpstreamBrokenError(UpstreamError):
    """The request was sent and its answer did not arrive whole."""


class UpstreamSilentError(UpstreamError):
    """The request was sent and the upstream sent nothing before the deadline."""


class AnswerMismatchError(UpstreamError):
    """An upstream answered with the identity of another attempt."""


class OrderNotSentError(CactusshuntError):
    """An order did not leave this process, so it cannot arrive."""


class ChartLibraryMissingError(CactusshuntError):
    """An image was asked for and the drawing library is not installed."""
