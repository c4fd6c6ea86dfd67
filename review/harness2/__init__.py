"""What the scripts of the second review share: a small deployment, a client and a record."""

from __future__ import annotations
