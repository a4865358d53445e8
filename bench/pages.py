"""Rewrite one marked section of a page."""

from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def write_section(page, marker, text):
    """Put ``text`` between the markers of a page under docs; add them if missing."""
    path = ROOT / "docs" / page
    old = path.read_text() if path.exists() else f"# {path.stem.capitalize()}\n"
    start, end = f"<!-- {marker} -->", f"<!-- /{marker} -->"
    section = f"{start}\n{text.strip()}\n{end}"
    if start not in old:
        path.write_text(f"{old.rstrip()}\n\n{section}\n")
        return
    head, rest = old.split(start, 1)
    path.write_text(head + section + rest.split(end, 1)[1])


def format_table(heads, rows):
    """Return a Markdown table."""
    lines = [heads, ["---"] * len(heads), *rows]
    return "\n".join("| " + " | ".join(map(str, line)) + " |" for line in lines)
