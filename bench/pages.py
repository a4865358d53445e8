"""Write a bench's rows into its own section of docs/MEASUREMENTS.md."""

from pathlib import Path

PAGE = Path(__file__).resolve().parent.parent / "docs" / "MEASUREMENTS.md"
TITLE = "# Measurements\n\nEach section is written by the command that it names.\n"


def write_section(name, title, command, rows):
    """Replace the section between the markers of this name, or add it."""
    opening, closing = f"<!-- {name} -->", f"<!-- /{name} -->"
    text = PAGE.read_text() if PAGE.exists() else TITLE
    body = "\n".join([opening, f"## {title}", "", f"`{command}`", "", *rows, closing])
    if opening in text:
        before, rest = text.split(opening, 1)
        text = before + body + rest.split(closing, 1)[1]
    else:
        text = text.rstrip("\n") + "\n\n" + body + "\n"
    PAGE.write_text(text)
