"""Commands that read and edit the configuration."""

from datetime import UTC, datetime
from typing import Annotated
from uuid import uuid4

import typer

from . import clients
from .changes import EMPTY, PART_OF, describe_change, find_changes, set_values
from .console import Author, DryRun, Json, need_store, quit_with, show, take
from .documents import (
    PartFile,
    check_configuration,
    parse_document,
    parse_file,
    render_file,
)
from .edits import Commit, Edit, history_key
from .exceptions import BadConfiguration, NotFound
from .shapes import to_plain
from .tables import render_rows

File = Annotated[typer.FileText, typer.Argument(help="TOML; - for stdin")]

config_app = typer.Typer(no_args_is_help=True, help="Revisions of the configuration.")


def load_current(links, as_json):
    """Return the stored configuration, or an empty one."""
    text = take(clients.read_current(links), as_json)
    if text is None:
        return take(clients.make_empty(links), as_json)
    return take(parse_document(text), as_json)


def load_revision(links, revision, current, as_json):
    """Return a configuration by its revision, from the current value or history."""
    if revision in (None, current.revision):
        return current
    text = take(clients.read_value(links, history_key(revision)), as_json)
    if text is None:
        quit_with(NotFound(f"revision {revision} is not in the history"), as_json)
    return take(parse_document(text), as_json)


def commit(links, current, base, wanted, author, dry_run, as_json):
    """Show the changes from ``base`` to ``wanted`` and write them."""
    changes = find_changes(base, wanted)
    lines = [describe_change(base, change) for change in changes]
    if dry_run:
        value = {"revision": base.revision, "changes": lines}
        return show(value, as_json, lambda: "\n".join(lines) or "no change")
    at = datetime.now(UTC).isoformat(timespec="seconds")
    edit = Edit(base, changes, str(uuid4()), author, at)
    # Only a configuration that isn't stored has no operation.
    empty = EMPTY if current.operation else current
    done = take(clients.drive(links, Commit(edit, empty)), as_json)
    value = {
        "revision": done.configuration.revision,
        "operation": done.configuration.operation,
        "changed": done.changed,
        "rebased": done.rebased,
        "changes": lines,
    }
    show(value, as_json, lambda: "\n".join([*lines, _describe_commit(done)]))


def _describe_commit(done):
    revision = done.configuration.revision
    if not done.changed:
        return f"revision {revision} holds this already"
    others = ", on top of another operator's edit" if done.rebased else ""
    return f"revision {revision} written{others}"


def _check(cfg, as_json):
    try:
        return check_configuration(cfg)
    except BadConfiguration as exc:
        quit_with(exc, as_json)


def make_part_app(name):
    """Return the commands show, edit and apply of ``inventory`` or ``rules``."""
    part_app = typer.Typer(no_args_is_help=True, help=f"The {name}.")

    @part_app.command("show")
    def show_part(
        ctx: typer.Context,
        revision: Annotated[int | None, typer.Option(help="an older one")] = None,
        as_json: Json = False,
    ):
        """Print it in the file format that ``apply`` reads."""
        links = need_store(ctx)
        current = load_current(links, as_json)
        cfg = load_revision(links, revision, current, as_json)
        part = getattr(cfg, name)
        value = {"revision": cfg.revision, name: to_plain(part)}
        show(value, as_json, lambda: render_file(PartFile(cfg.revision, part)))

    @part_app.command("edit")
    def edit_part(
        ctx: typer.Context,
        settings: Annotated[
            list[str] | None, typer.Option("--set", help="section.name.key=value")
        ] = None,
        removals: Annotated[
            list[str] | None, typer.Option("--remove", help="section.name")
        ] = None,
        author: Author = "",
        dry_run: DryRun = False,
        as_json: Json = False,
    ):
        """Set keys of named entries, add entries by their keys, or remove entries."""
        links = need_store(ctx)
        current = load_current(links, as_json)
        try:
            _refuse_other_part(name, [*(settings or ()), *(removals or ())])
            wanted = set_values(current, settings or (), removals or ())
        except BadConfiguration as exc:
            quit_with(exc, as_json)
        commit(links, current, current, wanted, author, dry_run, as_json)

    @part_app.command("apply")
    def apply_part(
        ctx: typer.Context,
        file: File,
        author: Author = "",
        dry_run: DryRun = False,
        as_json: Json = False,
    ):
        """Make the stored one like a file.

        With ``revision`` in the file, edits made by others since then stay; without
        it the file replaces what stands.
        """
        apply_files(ctx, {name: file}, author, dry_run, as_json)

    return part_app


def _refuse_other_part(name, paths):
    for path in paths:
        section = path.partition(".")[0]
        if PART_OF.get(section, name) != name:
            raise BadConfiguration(f"{section}: belongs to {PART_OF[section]}")


def apply_files(ctx, files, author, dry_run, as_json):
    """Make the stored parts like files; all in one revision."""
    links = need_store(ctx)
    parsed = {
        name: take(parse_file(name, file.read()), as_json)
        for name, file in files.items()
    }
    revisions = {file.revision for file in parsed.values()}
    if len(revisions) > 1:
        quit_with(BadConfiguration("revision: differs between the files"), as_json)
    current = load_current(links, as_json)
    base = load_revision(links, revisions.pop(), current, as_json)
    parts = {name: file.part for name, file in parsed.items()}
    wanted = _check(base._replace(**parts), as_json)
    commit(links, current, base, wanted, author, dry_run, as_json)


@config_app.command("apply")
def apply_both(
    ctx: typer.Context,
    inventory: File,
    rules: File,
    author: Author = "",
    dry_run: DryRun = False,
    as_json: Json = False,
):
    """Make inventory and rules like two files, in one revision.

    The way to start: services name classes of the rules, and routes name pools.
    """
    files = {"inventory": inventory, "rules": rules}
    apply_files(ctx, files, author, dry_run, as_json)


@config_app.command()
def history(
    ctx: typer.Context,
    limit: Annotated[int, typer.Option(min=1)] = 20,
    operation: Annotated[str, typer.Option(help="only this operation")] = "",
    as_json: Json = False,
):
    """List the revisions, newest first."""
    links = need_store(ctx)
    current = load_current(links, as_json)
    kept = take(clients.list_revisions(links), as_json)
    older = sorted((n for n in kept if n < current.revision), reverse=True)
    rows = [_describe_revision(current)] if current.operation else []
    for revision in older[: max(0, limit - len(rows))]:
        cfg = load_revision(links, revision, current, as_json)
        rows.append(_describe_revision(cfg))
    rows = [row for row in rows if operation in ("", row["operation"])]
    columns = ("revision", "at", "author", "operation")
    show(rows, as_json, lambda: render_rows(columns, rows))


def _describe_revision(cfg):
    return {
        "revision": cfg.revision,
        "at": cfg.at,
        "author": cfg.author,
        "operation": cfg.operation,
    }


@config_app.command()
def rollback(
    ctx: typer.Context,
    revision: int,
    author: Author = "",
    dry_run: DryRun = False,
    as_json: Json = False,
):
    """Write an old revision's content as a new revision."""
    links = need_store(ctx)
    current = load_current(links, as_json)
    old = load_revision(links, revision, current, as_json)
    commit(links, current, current, old, author, dry_run, as_json)


@config_app.command()
def prune(
    ctx: typer.Context,
    keep: Annotated[int, typer.Option(min=100, help="revisions to keep")] = 1000,
    as_json: Json = False,
):
    """Delete the oldest replaced revisions from the history."""
    links = need_store(ctx)
    surplus = take(clients.list_revisions(links), as_json)[:-keep]
    for revision in surplus:
        take(clients.delete_revision(links, revision), as_json)
    value = {"deleted": len(surplus)}
    show(value, as_json, lambda: f"{len(surplus)} revisions deleted")
