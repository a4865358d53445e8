"""Render tables and conflicting configuration entries as text for operators."""

import json

COLUMN_SEPARATOR = "  "


def render_rows(columns, rows):
    """Return aligned text with a heading; each row is a dict by column name."""
    lines = [list(columns)]
    lines += [[_render_cell(row.get(name)) for name in columns] for row in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
    padded = (
        COLUMN_SEPARATOR.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        for line in lines
    )
    return "\n".join(line.rstrip() for line in padded)


def _render_cell(value):
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.4g}"
    if isinstance(value, dict):
        return " ".join(f"{name}={_render_cell(item)}" for name, item in value.items())
    return str(value)


def render_overlaps(overlaps):
    """Return text with the base and both new values of each conflicting entry."""
    lines = []
    for item in overlaps:
        lines.append(f"{item.section}.{item.name}")
        for version in ("base", "ours", "theirs"):
            lines.append(f"  {version:6} {_render_value(getattr(item, version))}")
    return "\n".join(lines)


def _render_value(value):
    return "(none)" if value is None else json.dumps(value)
