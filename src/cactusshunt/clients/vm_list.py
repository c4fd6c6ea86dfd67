"""Client of the platform's VM list, which includes VMs that are being removed."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

import msgspec

from expression import Error
from expression import Ok
from expression import Result

from cactusshunt.exceptions import CactusshuntError
from cactusshunt.schema.decoding import UNREADABLE_ERRORS
from cactusshunt.schema.generated.messages import Vm

if TYPE_CHECKING:
    from cactusshunt.clients.http_client import HttpClient


class VmListError(CactusshuntError):
    """The VM list could not be read."""


class VmList(Protocol):
    """Interface to the VM list; deadlines are in Unix seconds."""

    async def fetch(self, *, deadline: float) -> Result[list[Vm], VmListError]:
        """Return all VMs."""


class HttpVmList:
    """Implementation for a VM list served as a JSON array over HTTP."""

    def __init__(self, *, client: HttpClient, url: str) -> None:
        self._client = client
        self._url = url

    async def fetch(self, *, deadline: float) -> Result[list[Vm], VmListError]:
        """Return all VMs."""
        result = await self._client.call("GET", self._url, deadline=deadline)
        if result.is_error() or result.ok.status != 200:
            return Error(_read_error())
        try:
            return Ok(msgspec.json.decode(result.ok.body, type=list[Vm]))
        except UNREADABLE_ERRORS:
            return Error(_read_error())


def _read_error() -> VmListError:
    return VmListError(
        reason="The VM list could not be read.",
        remedy="Check vm_list_url; the last list that was read stays in use.",
    )
