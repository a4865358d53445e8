"""Commands that ask the entry instances."""

import typer
from returns.pipeline import is_successful

from . import clients
from .addresses import format_address
from .config_commands import config_app, load_current
from .console import (
    LAGGING,
    UNREACHABLE,
    Json,
    need_store,
    quit_with,
    show,
    take,
)
from .exceptions import BadSetting, NotFound
from .reports import merge_reports, summarise
from .settings import parse_optional_address
from .tables import render_rows


def ask_instances(ctx, ask, as_json):
    """Return address and Result for each entry instance; quit if none is known."""
    addresses = take(clients.list_instances(ctx.obj), as_json)
    if not addresses:
        quit_with(BadSetting("--instance or --list: needed, or the list is empty"))
    return [(address, ask(ctx.obj, address)) for address in addresses]


def ask_status(ctx, as_json):
    """Return one row for each entry instance, with the failure of those unreached."""
    rows = []
    for address, result in ask_instances(ctx, clients.ask_status, as_json):
        row = {"address": format_address(address)}
        row.update(result.value_or({}))
        row["failure"] = None if is_successful(result) else result.failure().detail
        rows.append(row)
    return rows


def quit_unless_reached(rows):
    """Exit with UNREACHABLE if any instance didn't answer."""
    if any(row["failure"] for row in rows):
        raise typer.Exit(UNREACHABLE)


@config_app.command()
def status(ctx: typer.Context, as_json: Json = False):
    """Show which revision is in force on which instance and data centre."""
    stored = load_current(need_store(ctx), as_json).revision
    rows = ask_status(ctx, as_json)
    columns = ("name", "address", "data_centre", "revision", "ready", "failure")
    rows = [{name: row.get(name) for name in columns} for row in rows]
    show(
        {"stored": stored, "instances": rows},
        as_json,
        lambda: f"stored revision: {stored}\n{render_rows(columns, rows)}",
    )
    quit_unless_reached(rows)
    if any(row["revision"] != stored for row in rows):
        raise typer.Exit(LAGGING)


def instances(ctx: typer.Context, as_json: Json = False):
    """Show the entry instances."""
    rows = ask_status(ctx, as_json)
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
    quit_unless_reached(rows)


def upstreams(ctx: typer.Context, as_json: Json = False):
    """Show each upstream with its state as each entry instance sees it."""
    answers = ask_status(ctx, as_json)
    rows = {}
    for answer in answers:
        seen_by = answer.get("name") or answer["address"]
        for item in answer.get("upstreams", ()):
            row = rows.setdefault(item["name"], {**item, "state": {}})
            row["state"][seen_by] = item["state"]
    rows = [rows[name] for name in sorted(rows)]
    columns = ("name", "pool", "data_centre", "state")
    show(rows, as_json, lambda: render_rows(columns, rows))
    quit_unless_reached(answers)


def drain(ctx: typer.Context, name: str, as_json: Json = False):
    """Ask one entry instance to stop without cutting a request."""
    rows = ask_status(ctx, as_json)
    found = [row["address"] for row in rows if row.get("name") == name]
    if not found:
        failures = [row["failure"] for row in rows if row["failure"]]
        detail = "; ".join([f"no instance {name!r} answers", *failures])
        quit_with(NotFound(detail), as_json)
    address = parse_optional_address(found[0])
    take(clients.drain_instance(ctx.obj, address, name), as_json)
    value = {"name": name, "draining": True}
    show(value, as_json, lambda: f"{name} is draining")


def stats(ctx: typer.Context, as_json: Json = False):
    """Show latencies, outcomes and tokens per customer and class, all merged."""
    asked = ask_instances(ctx, clients.ask_histograms, as_json)
    answers = [result for _, result in asked]
    reached = [result.unwrap() for result in answers if is_successful(result)]
    rows = summarise(take(merge_reports(reached), as_json))
    columns = ("customer", "class", "requests", "outcomes", "tokens")
    columns += ("recomputed_tokens", "first_token", "between_tokens", "whole_answer")
    value = {"instances": len(reached), "rows": rows}
    show(value, as_json, lambda: render_rows(columns, rows))
    for result in answers:
        if not is_successful(result):
            quit_with(result.failure(), as_json)


COMMANDS = (instances, upstreams, drain, stats)
