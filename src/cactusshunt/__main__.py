"""Runs the command line for ``python -m cactusshunt``."""

from __future__ import annotations

from cactusshunt.console.application import main

if __name__ == "__main__":
    main()
