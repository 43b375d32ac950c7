"""Write docs/reference/codes.md from the table of codes."""

from pathlib import Path

from catkinknot.model import CODE_TABLE

PAGE = Path(__file__).resolve().parent.parent / "docs" / "reference" / "codes.md"


def page() -> str:
    """Return the text of the page."""
    lines = [
        "# Result codes",
        "",
        "Written by `tools/write_codes.py`; a test holds it against the code.",
        "",
        "| code | name | HTTP | did it run | retry | what to do |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for info in sorted(CODE_TABLE.values(), key=lambda info: info.code):
        retry = "yes" if info.retry else "no"
        lines.append(
            f"| {int(info.code)} | {info.code.name} | {info.http_status} "
            f"| {info.ran.name.lower()} | {retry} | {info.advice} |"
        )
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    PAGE.write_text(page())
