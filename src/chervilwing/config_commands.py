"""Commands that read and edit the configuration."""

from datetime import UTC, datetime
from typing import Annotated
from uuid import uuid4

import typer

from . import clients
from .changes import (
    EMPTY_CONFIGURATION,
    PART_BY_SECTION,
    describe_change,
    edit_entries,
    find_changes,
)
from .console import (
    AuthorOption,
    DryRunOption,
    JsonOption,
    quit_with,
    require_store,
    show,
    unwrap_or_quit,
)
from .documents import (
    PartFile,
    check_configuration,
    parse_document,
    parse_file,
    render_file,
)
from .edits import Commit, Edit, make_history_key
from .exceptions import BadConfiguration, NotFound
from .shapes import to_plain
from .tables import render_rows

TomlArgument = Annotated[typer.FileText, typer.Argument(help="TOML; - for stdin")]

config_app = typer.Typer(no_args_is_help=True, help="Revisions of the configuration.")


def load_current(options, as_json):
    """Return the stored configuration, or an empty one if none is stored."""
    text = unwrap_or_quit(clients.read_configuration_text(options), as_json)
    if text is None:
        return unwrap_or_quit(clients.make_empty_configuration(options), as_json)
    return unwrap_or_quit(parse_document(text), as_json)


def load_revision(options, revision, current, as_json):
    """Return the configuration of a revision; None stands for the current one."""
    if revision in (None, current.revision):
        return current
    text = unwrap_or_quit(
        clients.read_value(options, make_history_key(revision)), as_json
    )
    if text is None:
        quit_with(NotFound(f"revision {revision} is not in the history"), as_json)
    return unwrap_or_quit(parse_document(text), as_json)


def commit_changes(options, current, base, desired, author, dry_run, as_json):
    """Commit the changes from ``base`` to ``desired`` as a new revision.

    Prints the changes; with ``dry_run`` it writes nothing.
    """
    changes = find_changes(base, desired)
    lines = [describe_change(base, change) for change in changes]
    if dry_run:
        value = {"revision": base.revision, "changes": lines}
        return show(value, as_json, lambda: "\n".join(lines) or "no change")
    edited_at = datetime.now(UTC).isoformat(timespec="seconds")
    edit = Edit(base, changes, str(uuid4()), author, edited_at)
    # Commit starts from this configuration if none is stored. A ``current`` without an
    # operation id is the empty one of load_current(); it is passed on because its
    # revision number may be higher than 0.
    empty_configuration = EMPTY_CONFIGURATION if current.operation else current
    done = unwrap_or_quit(
        clients.run_commit(options, Commit(edit, empty_configuration)), as_json
    )
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
        return f"revision {revision} already has these values"
    suffix = ", on top of another operator's edit" if done.rebased else ""
    return f"revision {revision} written{suffix}"


def _check_or_quit(cfg, as_json):
    try:
        return check_configuration(cfg)
    except BadConfiguration as exc:
        quit_with(exc, as_json)


def make_part_app(part_name):
    """Return the commands show, edit and apply for ``inventory`` or ``rules``."""
    part_app = typer.Typer(no_args_is_help=True, help=f"The {part_name}.")

    @part_app.command("show")
    def show_part(
        ctx: typer.Context,
        revision: Annotated[int | None, typer.Option(help="an older revision")] = None,
        as_json: JsonOption = False,
    ):
        """Print the stored revision, or an older one, in the format ``apply`` reads."""
        options = require_store(ctx)
        current = load_current(options, as_json)
        cfg = load_revision(options, revision, current, as_json)
        part = getattr(cfg, part_name)
        value = {"revision": cfg.revision, part_name: to_plain(part)}
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
        author: AuthorOption = "",
        dry_run: DryRunOption = False,
        as_json: JsonOption = False,
    ):
        """Set keys of entries, or remove entries.

        Setting a key of an entry that doesn't exist adds the entry.
        """
        options = require_store(ctx)
        current = load_current(options, as_json)
        try:
            _reject_other_part(part_name, [*(settings or ()), *(removals or ())])
            desired = edit_entries(current, settings or (), removals or ())
        except BadConfiguration as exc:
            quit_with(exc, as_json)
        commit_changes(options, current, current, desired, author, dry_run, as_json)

    @part_app.command("apply")
    def apply_part(
        ctx: typer.Context,
        file: TomlArgument,
        author: AuthorOption = "",
        dry_run: DryRunOption = False,
        as_json: JsonOption = False,
    ):
        """Replace the stored inventory or rules by the content of a file.

        If the file has ``revision``, edits that others made since that revision are
        kept; without it the file replaces the stored content completely.
        """
        apply_files(ctx, {part_name: file}, author, dry_run, as_json)

    return part_app


def _reject_other_part(part_name, paths):
    for path in paths:
        section = path.partition(".")[0]
        if PART_BY_SECTION.get(section, part_name) != part_name:
            raise BadConfiguration(f"{section}: belongs to {PART_BY_SECTION[section]}")


def apply_files(ctx, files, author, dry_run, as_json):
    """Replace parts of the configuration in one edit.

    ``files`` maps the names of the parts to open files.
    """
    options = require_store(ctx)
    parsed = {
        part_name: unwrap_or_quit(parse_file(part_name, file.read()), as_json)
        for part_name, file in files.items()
    }
    revisions = {file.revision for file in parsed.values()}
    if len(revisions) > 1:
        quit_with(BadConfiguration("revision: differs between the files"), as_json)
    current = load_current(options, as_json)
    base = load_revision(options, revisions.pop(), current, as_json)
    parts = {part_name: file.part for part_name, file in parsed.items()}
    desired = _check_or_quit(base._replace(**parts), as_json)
    commit_changes(options, current, base, desired, author, dry_run, as_json)


@config_app.command("apply")
def apply_configuration(
    ctx: typer.Context,
    inventory: TomlArgument,
    rules: TomlArgument,
    author: AuthorOption = "",
    dry_run: DryRunOption = False,
    as_json: JsonOption = False,
):
    """Replace inventory and rules by two files, in one revision.

    Use it for the first configuration: services refer to classes of the rules, and
    routes to pools of the inventory, so neither part is valid alone.
    """
    files = {"inventory": inventory, "rules": rules}
    apply_files(ctx, files, author, dry_run, as_json)


@config_app.command()
def history(
    ctx: typer.Context,
    limit: Annotated[int, typer.Option(min=1)] = 20,
    operation: Annotated[str, typer.Option(help="only this operation")] = "",
    as_json: JsonOption = False,
):
    """List the revisions, newest first."""
    options = require_store(ctx)
    current = load_current(options, as_json)
    revisions = unwrap_or_quit(clients.list_revisions(options), as_json)
    older = sorted((n for n in revisions if n < current.revision), reverse=True)
    rows = [_describe_revision(current)] if current.operation else []
    for revision in older[: max(0, limit - len(rows))]:
        cfg = load_revision(options, revision, current, as_json)
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
    author: AuthorOption = "",
    dry_run: DryRunOption = False,
    as_json: JsonOption = False,
):
    """Write the content of an old revision as a new revision."""
    options = require_store(ctx)
    current = load_current(options, as_json)
    old = load_revision(options, revision, current, as_json)
    commit_changes(options, current, current, old, author, dry_run, as_json)


@config_app.command()
def prune(
    ctx: typer.Context,
    keep: Annotated[int, typer.Option(min=100, help="revisions to keep")] = 1000,
    as_json: JsonOption = False,
):
    """Delete the oldest replaced revisions from the history."""
    options = require_store(ctx)
    surplus = unwrap_or_quit(clients.list_revisions(options), as_json)[:-keep]
    for revision in surplus:
        unwrap_or_quit(clients.delete_revision(options, revision), as_json)
    value = {"deleted": len(surplus)}
    show(value, as_json, lambda: f"{len(surplus)} revisions deleted")
