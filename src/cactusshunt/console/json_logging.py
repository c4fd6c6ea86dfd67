"""Writes logs as JSON lines to standard error."""

from __future__ import annotations

import sys

from typing import Any

import logbook
import msgspec

from twisted.python import log as twisted_log


class JsonFormatter:
    """Formats a log record as one line of JSON."""

    def __init__(self, *, vm: str, role: str) -> None:
        self._process_fields = {"vm": vm, "role": role}

    def __call__(self, record: logbook.LogRecord, handler: logbook.Handler) -> str:
        """Return the JSON text of a record."""
        del handler
        line: dict[str, Any] = {
            "time": record.time.isoformat() + "Z",
            "level": record.level_name,
            "logger": record.channel,
            "message": record.message,
            **self._process_fields,
        }
        if record.exc_info:
            line["exception"] = record.formatted_exception
        return msgspec.json.encode(line).decode()


def install_logging(*, vm: str, role: str, level: str) -> None:
    """Send all logs and Twisted's errors to standard error."""
    handler = logbook.StreamHandler(sys.stderr, level=level, bubble=False)
    handler.formatter = JsonFormatter(vm=vm, role=role)
    handler.push_application()
    twisted_log.startLoggingWithObserver(_log_twisted_error, setStdout=False)


def _log_twisted_error(event: dict[str, Any]) -> None:
    if event.get("isError"):
        text = twisted_log.textFromEventDict(event)
        logbook.Logger("twisted").error("{}", text)
