"""Write sections of the pages in docs; each section has its own pair of markers."""

from pathlib import Path

DOCS = Path(__file__).resolve().parent.parent / "docs"
PAGE = DOCS / "MEASUREMENTS.md"
TITLE = "# Measurements\n"


def write_section(name, text, page=PAGE):
    """Replace the section between its markers, or add it at the end."""
    start, end = f"<!-- {name} -->", f"<!-- /{name} -->"
    whole = page.read_text() if page.exists() else TITLE
    section = f"{start}\n{text.strip()}\n{end}\n"
    if start not in whole:
        page.write_text(f"{whole.rstrip()}\n\n{section}")
        return
    before, rest = whole.split(start, 1)
    _, after = rest.split(f"{end}\n", 1)
    page.write_text(f"{before}{section}{after}")


def format_table(heads, rows):
    """Return a Markdown table with the given column heads and rows."""
    lines = [heads, ["---"] * len(heads), *rows]
    return "\n".join("| " + " | ".join(map(str, line)) + " |" for line in lines)
