"""``cactusshunt version``."""

from __future__ import annotations

import typer

from cactusshunt import __version__


def print_version() -> None:
    """Print the version."""
    typer.echo(__version__)
