"""Keeps parts of prompts that crash engines away from the engines."""

from __future__ import annotations
