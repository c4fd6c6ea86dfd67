"""Request limits that upstreams name, kept by all VMs together."""

from __future__ import annotations
