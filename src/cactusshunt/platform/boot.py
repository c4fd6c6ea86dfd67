"""Settings file (TOML) that the platform provides for each process."""

from __future__ import annotations

import os
import tomllib

from pathlib import Path
from typing import Annotated
from typing import Any

import msgspec

from cactusshunt.decisions.election_order import PositiveInteger
from cactusshunt.decisions.election_order import PositiveNumber
from cactusshunt.decisions.election_order import VmSize
from cactusshunt.exceptions import SettingsError
from cactusshunt.schema.decoding import UNREADABLE_ERRORS

SETTINGS_PATH_VARIABLE = "CACTUSSHUNT_BOOT"
# Overrides the hedging share of the settings file, for platforms that write that file themselves.
HEDGING_SHARE_VARIABLE = "CACTUSSHUNT_HEDGING_SHARE"


class ListenAddresses(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Addresses ``IP:PORT`` to listen on: ``front`` for callers, ``ready`` for internal pages."""

    front: str
    ready: str


class Bounds(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Limits that the platform sets for this process.

    ``drain_ms`` limits how long a removed upstream stays known, ``grace_s`` the time from the order
    to stop to the end of the process, ``config_ms`` the time to apply a new configuration.
    ``lease_ms`` is the extra wait before a former order holder orders again, not the duration of
    the lease. All VMs together may send ``retry_budget_ratio`` of the requests in
    ``budget_window_s`` again, plus ``budget_min_retries``. The last two fields are ignored.
    """

    drain_ms: int = 2000
    grace_s: float = 8
    config_ms: int = 2000
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10
    budget_min_retries: float = 50
    lease_ms: int = 3000
    ceiling_window_s: float = 5
    origin_overage: float = 1.1


class StoreSettings(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Address of the platform's store and the shortest lease that it grants, in ms."""

    address: str
    ttl_min_ms: int = 1000


class ProcessLimits(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Memory in MB beyond which the platform ends the process, its file descriptors, and its VM.

    ``cpu_share`` is the fraction of a core, ``cores`` the speed of that core, ``link_mbps`` the
    network link; ``read_vm_size`` reads them, so that a wrong value doesn't prevent the start.
    """

    memory_mb: float = 300.0
    max_fds: int = 4096  # 974 callers; a VM of the target size sees some 10 requests a second
    cpu_share: Any = None
    cores: Any = None
    link_mbps: Any = None


class _StatedSize(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    cpu_share: PositiveNumber
    cores: PositiveNumber = 1.0
    link_mbps: PositiveNumber
    max_fds: PositiveInteger


class HedgingSettings(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Largest part of callers' requests that may be sent a second time while the first is late.

    0 is off; above 0.2 second sends would use the whole retry budget that platforms set.
    """

    max_share: Annotated[float, msgspec.Meta(ge=0.0, le=0.2)] = 0.0


class BootSettings(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Settings of one process; unknown fields are ignored.

    ``node`` is the name of the VM; the first port of ``port_range`` is for UDP and TCP between
    VMs, the others are unused; ``statsd`` is ``HOST:PORT``, or empty to send no statsd metrics;
    ``bootstrap`` means that the whole system starts for the first time.
    """

    node: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    listen: ListenAddresses
    platform: StoreSettings
    bounds: Bounds = Bounds()
    statsd: str = ""
    bootstrap: bool = False
    limits: ProcessLimits = ProcessLimits()
    hedging: HedgingSettings = HedgingSettings()


def find_settings_file() -> Path:
    """Return the path of the settings file: ``CACTUSSHUNT_BOOT`` or the default path."""
    return Path(os.environ.get(SETTINGS_PATH_VARIABLE, "/etc/cactusshunt/local.toml"))


def read_boot_settings(path: Path) -> BootSettings:
    """Read and check the settings file; raises ``SettingsError``."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
        _apply_environment(document)
        return msgspec.convert(document, BootSettings, strict=False)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise SettingsError(
            reason=f"{error}.",
            remedy="Correct the settings file of the platform.",
            path=str(path),
            line=0,
        ) from error


def read_vm_size(limits: ProcessLimits) -> VmSize | None:
    """Return the VM's size, ``None`` if none is stated; raises ``SettingsError``."""
    stated = {"cpuShare": limits.cpu_share, "cores": limits.cores, "linkMbps": limits.link_mbps}
    fields = {name: value for name, value in stated.items() if value is not None}
    if not fields:
        return None
    try:
        found = msgspec.convert(fields | {"maxFds": limits.max_fds}, _StatedSize, strict=False)
        return msgspec.convert(
            {
                "cpu": found.cpu_share * found.cores,
                "link_mbps": found.link_mbps,
                "max_fds": found.max_fds,
            },
            VmSize,
        )
    except UNREADABLE_ERRORS as error:
        raise SettingsError(
            reason=f"{error}.",
            remedy="State cpuShare, linkMbps and maxFds as numbers above 0.",
            path="limits",
            line=0,
        ) from error


def _apply_environment(document: dict[str, Any]) -> None:
    """Replace the hedging share of a settings file by that of the environment, if it has one."""
    share = os.environ.get(HEDGING_SHARE_VARIABLE)
    if share is None:
        return
    table = document.setdefault("hedging", {})
    if isinstance(table, dict):  # else it is rejected for its type
        table["maxShare"] = share


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:PORT`` into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)
