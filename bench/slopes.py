"""Measures cost slopes and writes the tables of docs/CAPACITY.md."""

import json
import os
import platform
import time
from dataclasses import fields
from datetime import UTC, datetime
from pathlib import Path

import fire

from bench.capacity_rows import capacity_rows
from bench.capacity_sheet import Row
from bench.slope_fit import Slope
from bench.slopes_fleet import measure_fleet
from bench.slopes_owners import measure_owners
from bench.slopes_state import measure_state

__all__ = ["main", "replace_block"]

ROOT = Path(__file__).resolve().parent.parent
PAGE_PATH = ROOT / "docs" / "CAPACITY.md"
OUTPUT_PATH = ROOT / "out" / "slopes.json"


def format_value(value: float) -> str:
    """Format a value with about three significant digits and no exponent."""
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}" if abs(value) >= 0.001 else f"{value:.6f}"


def replace_block(page: str, name: str, lines: list[str]) -> str:
    """Replace the lines between the begin and end markers of block `name`."""
    begin, end = f"<!-- {name} begin -->", f"<!-- {name} end -->"
    head, _, rest = page.partition(begin)
    _, end_marker, tail = rest.partition(end)
    if not end_marker:
        raise ValueError(f"the page has no block {name!r}")
    return "\n".join([f"{head}{begin}", "", *lines, "", f"{end}{tail}"])


def slope_table(slopes: list[Slope]) -> list[str]:
    """Return the lines of the table of slopes."""
    lines = [
        "| slope | at size 0 | for one more | unit | size | measured at | R² |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for slope in slopes:
        fit_quality = (
            "one point" if slope.r_squared is None else f"{slope.r_squared:.3f}"
        )
        lines.append(
            f"| `{slope.name}` | {format_value(slope.at_zero)} "
            f"| {format_value(slope.value)} | {slope.unit} | {slope.per} "
            f"| {slope.measured_range} | {fit_quality} |"
        )
    return lines


def point_table(slopes: list[Slope], names: tuple[str, ...]) -> list[str]:
    """Return the lines of the table of measured points of some slopes."""
    lines = ["| figure | unit | measured (size: value) |", "| --- | --- | --- |"]
    for slope in slopes:
        if slope.name in names:
            points = "; ".join(f"{s:,.0f}: {format_value(c)}" for s, c in slope.points)
            lines.append(f"| `{slope.name}` by {slope.per} | {slope.unit} | {points} |")
    return lines


def row_table(rows: list[Row], role: str) -> list[str]:
    """Return the lines of the table of capacity rows of a role."""
    lines = [
        "| line | how | value | unit | limit | held |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for row in rows:
        if row.role == role:
            limit = "" if row.limit is None else format_value(row.limit)
            lines.append(
                f"| {row.line} | {row.how} | {format_value(row.value)} | {row.unit} "
                f"| {limit} | {row.verdict} |"
            )
    return lines


def describe_machine(took_s: float) -> str:
    """Return a line with the date, duration and machine of the measurement."""
    day = datetime.now(UTC).strftime("%Y-%m-%d")
    return (
        f"Measured on {day} with `make slopes` in {took_s:.0f} s on {os.cpu_count()} "
        f"cores ({platform.machine()}, Linux), Python {platform.python_version()}, "
        f"load average {os.getloadavg()[1]:.1f} over 5 minutes."
    )


def write_page(slopes: list[Slope], rows: list[Row], machine: str) -> None:
    page = PAGE_PATH.read_text(encoding="utf-8")
    page = replace_block(page, "machine", [machine])
    page = replace_block(page, "slopes", slope_table(slopes))
    curves = ("ledger_commits_per_s", "ledger_median_ms", "ledger_p99_ms")
    page = replace_block(page, "curves", point_table(slopes, curves))
    for role in sorted({row.role for row in rows}):
        page = replace_block(page, role, row_table(rows, role))
    PAGE_PATH.write_text(page, encoding="utf-8")


def load_slopes() -> tuple[list[Slope], str]:
    """Return the slopes of the last run and the description of its machine."""
    content = json.loads(OUTPUT_PATH.read_text(encoding="utf-8"))
    names = {field.name for field in fields(Slope)}
    slopes = []
    for item in content["slopes"]:
        values = {name: value for name, value in item.items() if name in names}
        values["points"] = tuple(tuple(point) for point in values["points"])
        slopes.append(Slope(**values))
    return slopes, content["machine"]


def main(*, saved: bool = False) -> None:
    """Measure the slopes and write the page; `saved` reuses those of the last run."""
    if saved:
        slopes, machine = load_slopes()
    else:
        start_s = time.monotonic()
        OUTPUT_PATH.parent.mkdir(exist_ok=True)
        slopes = [*measure_state(), *measure_owners(), *measure_fleet()]
        machine = describe_machine(time.monotonic() - start_s)
    rows = capacity_rows({slope.name: slope for slope in slopes})
    for slope in slopes:
        print(
            f"slope={slope.name} value={slope.value:.6g} at_zero={slope.at_zero:.6g} "
            f"unit={slope.unit} per={slope.per!r} range={slope.measured_range!r} "
            f"r_squared={slope.r_squared}"
        )
    for row in rows:
        print(row)
    content = {
        "machine": machine,
        "slopes": [slope.to_json() for slope in slopes],
        "rows": [row.to_json() for row in rows],
    }
    OUTPUT_PATH.write_text(json.dumps(content, indent=1))
    write_page(slopes, rows, machine)
    breaches = sum(row.verdict == "no" for row in rows)
    print(f"{len(slopes)} slopes, {breaches} limits not held")


if __name__ == "__main__":
    fire.Fire(main)
