"""Permits that one VM issues from the shares of all VMs, for limits that hold over all of them."""

from __future__ import annotations
