"""JSON schemas, and the data classes and event tables generated from them."""

from __future__ import annotations
