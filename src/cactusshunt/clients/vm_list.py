"""Port to the platform's list of live and leaving VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

import msgspec

from expression import Error
from expression import Ok
from expression import Result

from cactusshunt.exceptions import CactusshuntError
from cactusshunt.schema.generated.messages import Vm

if TYPE_CHECKING:
    from cactusshunt.clients.http_client import HttpClient


class VmListError(CactusshuntError):
    """The VM list could not be read."""


class VmList(Protocol):
    """What the system needs of the VM list."""

    async def fetch(self, *, deadline: float) -> Result[list[Vm], VmListError]:
        """Return all VMs."""


class HttpVmList:
    """Adapter for a VM list served as a JSON array."""

    def __init__(self, *, client: HttpClient, url: str) -> None:
        self._client = client
        self._url = url

    async def fetch(self, *, deadline: float) -> Result[list[Vm], VmListError]:
        """Return all VMs."""
        result = await self._client.call("GET", self._url, deadline=deadline)
        if result.is_error() or result.ok.status != 200:
            return Error(_unreadable())
        try:
            return Ok(msgspec.json.decode(result.ok.body, type=list[Vm]))
        except msgspec.MsgspecError:
            return Error(_unreadable())


def _unreadable() -> VmListError:
    return VmListError(
        reason="The VM list could not be read.",
        remedy="Check vm_list_url; the last known list stays in use.",
    )
