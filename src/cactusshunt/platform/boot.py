"""Settings file (TOML) that the platform provides for each process."""

from __future__ import annotations

import os
import tomllib

from pathlib import Path

import msgspec

from cactusshunt.exceptions import SettingsError

SETTINGS_PATH_VARIABLE = "CACTUSSHUNT_BOOT"


class ListenAddresses(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Addresses on which this process listens, as ``IP:PORT``."""

    front: str
    ready: str


class Bounds(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Time limits and ratios that the deployment guarantees."""

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


class BootSettings(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Settings of one process; unknown fields are ignored.

    ``statsd`` is ``HOST:PORT``, or empty to send no statsd metrics.
    """

    node: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    listen: ListenAddresses
    platform: StoreSettings
    bounds: Bounds = Bounds()
    statsd: str = ""


def find_settings_file() -> Path:
    """Return the path of the settings file: ``CACTUSSHUNT_BOOT`` or the default path."""
    return Path(os.environ.get(SETTINGS_PATH_VARIABLE, "/etc/cactusshunt/local.toml"))


def read_boot_settings(path: Path) -> BootSettings:
    """Read and check the settings file; raises ``SettingsError``."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
        return msgspec.convert(document, BootSettings, strict=False)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise SettingsError(
            reason=f"{error}.",
            remedy="Correct the settings file of the platform.",
            path=str(path),
            line=0,
        ) from error


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:PORT`` into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)
