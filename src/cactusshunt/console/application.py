"""Assembles the command line application from its commands."""

from __future__ import annotations

import typer

from cactusshunt.console.commands import check
from cactusshunt.console.commands import control
from cactusshunt.console.commands import dump
from cactusshunt.console.commands import entry
from cactusshunt.console.commands import explain
from cactusshunt.console.commands import node
from cactusshunt.console.commands import report
from cactusshunt.console.commands import settings
from cactusshunt.console.commands import version
from cactusshunt.console.commands import where

application = typer.Typer(
    name="cactusshunt",
    help="Serves many models from a shared pool of accelerators.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
application.command(name="entry")(entry.run_entry)
application.command(name="control")(control.run_control)
application.command(name="node")(node.run_node)
application.command(name="explain")(explain.explain_request)
application.command(name="where")(where.explain_where)
application.command(name="report")(report.print_report)
application.command(name="check")(check.check_file)
application.command(name="dump")(dump.print_dump)
application.add_typer(settings.application, name="settings")
application.command(name="version")(version.print_version)


def main() -> None:
    """Run the command line."""
    application()
