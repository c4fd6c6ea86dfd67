"""Membership: the registered VMs, their messages, and the election of the order holder."""

from __future__ import annotations
