"""What decoding the bytes of another writer may raise: every reader catches all of it."""

from __future__ import annotations

import msgspec

# Beside malformed values: bytes that are no text, numbers with thousands of digits, deep nesting.
UNREADABLE_ERRORS = (msgspec.MsgspecError, ValueError, OverflowError, RecursionError)
