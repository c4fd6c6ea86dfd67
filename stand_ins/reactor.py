"""The installed Twisted reactor, cast to its concrete type."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import cast

from twisted.internet import reactor as installed_reactor

if TYPE_CHECKING:
    from twisted.internet.epollreactor import EPollReactor

reactor = cast("EPollReactor", installed_reactor)
