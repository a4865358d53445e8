"""Commands that query entry instances or stop them."""

import typer
from returns.pipeline import is_successful

from . import clients
from .addresses import format_address
from .config_commands import config_app, load_current
from .console import (
    EXIT_LAGGING,
    EXIT_UNREACHABLE,
    JsonOption,
    quit_with,
    require_store,
    show,
    unwrap_or_quit,
)
from .exceptions import BadSetting, NotFound
from .reports import merge_reports, summarise
from .settings import parse_optional_address
from .tables import render_rows


def query_instances(ctx, fetch, as_json):
    """Return a pair of address and Result for each entry instance.

    Exits if the options and the list name no instance.
    """
    addresses = unwrap_or_quit(clients.list_instances(ctx.obj), as_json)
    if not addresses:
        quit_with(
            BadSetting("no entry instances given by --instance or found at --list")
        )
    return [(address, fetch(ctx.obj, address)) for address in addresses]


def query_status(ctx, as_json):
    """Return one status row for each entry instance.

    ``failure`` is the error text if no valid status was received (no connection, an
    error status or a malformed response), else None.
    """
    rows = []
    for address, result in query_instances(ctx, clients.fetch_status, as_json):
        row = {"address": format_address(address)}
        row.update(result.value_or({}))
        row["failure"] = None if is_successful(result) else result.failure().detail
        rows.append(row)
    return rows


def quit_if_unreachable(rows):
    """Exit with EXIT_UNREACHABLE if any row has a failure."""
    if any(row["failure"] for row in rows):
        raise typer.Exit(EXIT_UNREACHABLE)


@config_app.command()
def status(ctx: typer.Context, as_json: JsonOption = False):
    """Show the revision in force on each instance, with its data centre."""
    stored = load_current(require_store(ctx), as_json).revision
    rows = query_status(ctx, as_json)
    columns = ("name", "address", "data_centre", "revision", "ready", "failure")
    rows = [{name: row.get(name) for name in columns} for row in rows]
    show(
        {"stored": stored, "instances": rows},
        as_json,
        lambda: f"stored revision: {stored}\n{render_rows(columns, rows)}",
    )
    quit_if_unreachable(rows)
    if any(row["revision"] != stored for row in rows):
        raise typer.Exit(EXIT_LAGGING)


def instances(ctx: typer.Context, as_json: JsonOption = False):
    """Show each entry instance with its revision, readiness and requests in flight."""
    rows = query_status(ctx, as_json)
    columns = (
        "name",
        "address",
        "data_centre",
        "revision",
        "ready",
        "in_flight",
        "version",
        "failure",
    )
    rows = [{name: row.get(name) for name in columns} for row in rows]
    show(rows, as_json, lambda: render_rows(columns, rows))
    quit_if_unreachable(rows)


def upstreams(ctx: typer.Context, as_json: JsonOption = False):
    """Show each upstream and its state according to each entry instance."""
    status_rows = query_status(ctx, as_json)
    rows = {}
    for status_row in status_rows:
        instance = status_row.get("name") or status_row["address"]
        for upstream in status_row.get("upstreams", ()):
            row = rows.setdefault(upstream["name"], {**upstream, "state": {}})
            row["state"][instance] = upstream["state"]
    rows = [rows[name] for name in sorted(rows)]
    columns = ("name", "pool", "data_centre", "state")
    show(rows, as_json, lambda: render_rows(columns, rows))
    quit_if_unreachable(status_rows)


def drain(ctx: typer.Context, name: str, as_json: JsonOption = False):
    """Ask one entry instance to stop without interrupting a request."""
    rows = query_status(ctx, as_json)
    matches = [row["address"] for row in rows if row.get("name") == name]
    if not matches:
        failures = [row["failure"] for row in rows if row["failure"]]
        detail = "; ".join([f"no instance {name!r} answers", *failures])
        quit_with(NotFound(detail), as_json)
    address = parse_optional_address(matches[0])
    unwrap_or_quit(clients.request_drain(ctx.obj, address, name), as_json)
    value = {"name": name, "draining": True}
    show(value, as_json, lambda: f"{name} is draining")


def stats(ctx: typer.Context, as_json: JsonOption = False):
    """Show latencies, outcomes and tokens by customer and class, for all instances."""
    pairs = query_instances(ctx, clients.fetch_histograms, as_json)
    results = [result for _, result in pairs]
    reports = [result.unwrap() for result in results if is_successful(result)]
    rows = summarise(unwrap_or_quit(merge_reports(reports), as_json))
    columns = ("customer", "class", "requests", "outcomes", "tokens")
    columns += ("recomputed_tokens", "first_token", "between_tokens", "whole_answer")
    value = {"instances": len(reports), "rows": rows}
    show(value, as_json, lambda: render_rows(columns, rows))
    for result in results:
        if not is_successful(result):
            quit_with(result.failure(), as_json)


COMMANDS = (instances, upstreams, drain, stats)
