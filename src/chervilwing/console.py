"""Options, output, failures and exit codes common to all commands."""

import json
import sys
from typing import Annotated

import typer
from returns.pipeline import is_successful

from .exceptions import (
    UNKNOWN,
    BadConfiguration,
    BadSetting,
    ChervilwingError,
    Conflict,
    PlatformDown,
    Unreachable,
)
from .tables import render_overlaps

(
    EXIT_OK,
    EXIT_FAILED,
    EXIT_USAGE,
    EXIT_CONFLICT,
    EXIT_UNREACHABLE,
    EXIT_IN_DOUBT,
    EXIT_BAD_CONFIGURATION,
    EXIT_LAGGING,
) = range(8)
# The first row whose type matches the failure gives the exit code.
EXIT_CODES = (
    (BadSetting, EXIT_USAGE),
    (BadConfiguration, EXIT_BAD_CONFIGURATION),
    (Conflict, EXIT_CONFLICT),
    (PlatformDown, EXIT_UNREACHABLE),
    (Unreachable, EXIT_UNREACHABLE),
    (ChervilwingError, EXIT_FAILED),
)
EXIT_HELP = (
    "Exit codes: 0 done, 1 failed, 2 usage or bad setting, 3 conflict, 4 unreachable, "
    "5 in doubt (the edit may be stored), 6 bad document, 7 an instance lags behind."
)

JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]
DryRunOption = Annotated[bool, typer.Option(help="Show the changes and write nothing.")]
AuthorOption = Annotated[
    str, typer.Option(envvar="USER", help="Stored with the revision.")
]


def quit_with(exc, as_json=False):
    """Print a failure on stderr and exit with the exit code of its type."""
    if as_json:
        print(json.dumps(_describe_failure(exc)), file=sys.stderr)
    else:
        print(f"{exc.type}: {exc.detail}", file=sys.stderr)
        if overlaps := getattr(exc, "overlaps", ()):
            print(render_overlaps(overlaps), file=sys.stderr)
    raise typer.Exit(find_exit_code(exc))


def _describe_failure(exc):
    overlaps = [item._asdict() for item in getattr(exc, "overlaps", ())]
    return {
        "type": exc.type,
        "detail": exc.detail,
        "outcome": exc.outcome,
        "overlaps": overlaps,
    }


def find_exit_code(exc):
    """Return the exit code of a failure."""
    if isinstance(exc, PlatformDown) and exc.outcome == UNKNOWN:
        return EXIT_IN_DOUBT
    return next(code for type_, code in EXIT_CODES if isinstance(exc, type_))


def unwrap_or_quit(result, as_json=False):
    """Return the value of a Result, or print its failure and exit."""
    if not is_successful(result):
        quit_with(result.failure(), as_json)
    return result.unwrap()


def show(value, as_json, render):
    """Print ``value`` as JSON, or else the text that ``render()`` returns."""
    print(json.dumps(value) if as_json else render())


def require_store(ctx):
    """Return the options; exit if they give no address of the key-value service."""
    if ctx.obj.store is None:
        quit_with(BadSetting("--store or CHERVILWING_STORE: needed"))
    return ctx.obj
