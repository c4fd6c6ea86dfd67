"""The command line interface and its commands."""

from __future__ import annotations
