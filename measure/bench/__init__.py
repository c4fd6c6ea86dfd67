"""Performance of one entry process, compared with the same load sent directly to the engines."""

from __future__ import annotations
