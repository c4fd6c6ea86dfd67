"""JSON schemas and the data classes generated from them."""

from __future__ import annotations
