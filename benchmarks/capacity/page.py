"""Writes the tables of docs/CAPACITY.md from the committed files of docs/capacity/, between these markers:

    <!-- table NAME --> ... <!-- end -->

The text around the tables is written by hand and contains no measured figure. tests/test_capacity.py fails if the
tables on the page differ from those of the files.
"""

from __future__ import annotations

import hashlib
import json
import math
import re
import sys
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Any, Final

from benchmarks.capacity import budget
from benchmarks.capacity.budget import ASSUMED, Figure, ScaledFleet, evaluate_lines, rank_figures
from benchmarks.capacity.plan import MIN_GATEWAYS_PER_SERVICE, PLAN, SERVICES_PER_GATEWAY, service_sizes
from benchmarks.capacity.slopes import curve_from_row, read_rows

ROOT: Final = Path(__file__).resolve().parents[2]
PAGE: Final = ROOT / "docs" / "CAPACITY.md"
SLOPES: Final = ROOT / "docs" / "capacity" / "slopes.json"
RUN_FILES: Final = "run*.json"  # next to SLOPES: scale runs, without and with relays
RUN_COLUMNS: Final = (
    "gateways", "hosts", "step", "last_s", "limit_s", "p50_s", "p99_s", "had", "bytes_per_s", "calls_per_s",
    "cpu_share", "apply_ms", "stop_ms", "relay_stop_ms", "hollow_mb", "all_mb", "added_p99_ms", "direct_p99_ms",
    "lost", "refused", "had_while_cut", "last_while_cut_s", "undone", "kill_stop_ms",
)  # fmt: skip
MAX_UNMENTIONED_RESIDUAL: Final = 0.3  # a larger relative residual is printed wherever its curve is used
TABLE_PATTERN: Final = re.compile(r"<!-- table (\S+) -->\n.*?<!-- end -->", flags=re.S)


def format_table(headings: Sequence[str], rows: Iterable[Sequence[str]], right_aligned: Sequence[int] = ()) -> str:
    """Return a Markdown table. `right_aligned` has the indexes of right-aligned columns."""
    lines = ["| " + " | ".join(headings) + " |"]
    lines.append(
        "| " + " | ".join("---:" if index in right_aligned else "---" for index in range(len(headings))) + " |"
    )
    return "\n".join([*lines, *("| " + " | ".join(row) + " |" for row in rows)]) + "\n"


def format_value(value: float | None) -> str:
    """Return the value with three significant digits and separators of thousands."""
    if value is None:
        return "not known"
    if value == 0 or abs(value) >= 100:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{value:.3g}"


def format_limit(value: float | None) -> str:
    """Return the limit with all its digits."""
    return "none named" if value is None else f"{value:,.0f}" if value >= 100 else f"{value:g}"


def format_share(value: float | None) -> str:
    """Return the share of the plan at which a limit is exceeded."""
    if value is None:
        return ""
    if value == 0:
        return "at any size"
    if math.isinf(value):
        return f"over {budget.MAX_SHARE:g}"
    return f"{value:.4f}" if value < 0.01 else f"{value:.3f}" if value < 0.1 else f"{value:.2f}"


def file_digest(file: Path) -> str:
    """Return a digest of the content of a file."""
    return hashlib.blake2b(file.read_bytes(), digest_size=8).hexdigest()


class Page:
    """The tables of the page, from the rows of the slopes and of the scale runs. A method `table_NAME` per table.

    "The mechanism" is relays with subsets (docs/relay-design.md).
    """

    def __init__(
        self, rows: dict[str, dict[str, Any]], runs: Sequence[dict[str, Any]] = (), files: Sequence[Path] = ()
    ) -> None:
        self.rows, self.runs, self.files = rows, runs, files
        self.curves = {name: curve_from_row(row) for name, row in rows.items()}
        self.figures_before, self.figures_after = (
            evaluate_lines(self.curves, False),
            evaluate_lines(self.curves, True),
        )

    def tables(self) -> dict[str, Callable[[], str]]:
        """Return the function of each table by its name in the markers."""
        functions = {
            name.removeprefix("table_"): getattr(self, name) for name in dir(self) if name.startswith("table_")
        }
        return {name.replace("_", "-"): function for name, function in functions.items()}

    def render(self, text: str) -> str:
        """Return the page with all tables written from the files. Raise KeyError if a marker has an unknown name."""
        tables = self.tables()
        return TABLE_PATTERN.sub(lambda match: f"<!-- table {match[1]} -->\n{tables[match[1]]()}<!-- end -->", text)

    # The tables

    def table_where(self) -> str:
        """Return how, when and where the rows were measured, and the digests of the files."""
        row_counts: dict[tuple[str, ...], int] = {}
        for row in self.rows.values():
            run_details = (row["commit"], row["date"], f"{row['cores']}", f"{row['load']:g}", row["build"])
            key = (f"`{row['command']}`", *run_details)
            row_counts[key] = row_counts.get(key, 0) + 1
        rows = [(*key, str(count)) for key, count in row_counts.items()]
        headings = ("command", "commit", "date", "cores", "load at the start", "build", "rows")
        # The page rounds figures; the digests make a change of any digit in a file visible.
        digests = [(f"`{file.name}`", file_digest(file)) for file in self.files]
        return (
            format_table(headings, rows, right_aligned=(3, 4, 6)) + "\n" + format_table(("file", "digest"), digests)
        )

    def table_slopes(self) -> str:
        """Return each cost with its measured points and its curve."""
        rows = []
        for name, row in self.rows.items():
            points = ", ".join(f"{format_value(size)}: {format_value(value)}" for size, value in row["points"])
            if spread := row.get("spread"):
                spans = ", ".join(f"{format_value(low)} to {format_value(high)}" for _, low, high in spread)
                points += f"; range of the rounds {spans}"
            kind = {"worse": f"worse than linear, exponent {row['coefficients'][1]:.2f}"}.get(row["fit"], row["fit"])
            extrapolation = "measured" if row["extrapolation"] <= 1 else f"{format_value(row['extrapolation'])} times"
            cost = row["cost"] + (" (an estimate)" if row["estimate"] else "")
            rows.append((f"`{name}`", cost, row["unit"], f"{row['by']}: {points}", kind, f"{row['residual']:.0%}",
                         format_value(row["at_plan"]), extrapolation))  # fmt: skip
        headings = ("row", "cost", "unit", "by: measured", "grows", "residual", "at the plan's size", "extrapolated")
        return format_table(headings, rows, right_aligned=(5, 6))

    def table_assumed(self) -> str:
        """Return the figures that are derived from the plan, and the assumptions."""
        min_services, mean_services, max_services = budget.services_per_gateway()
        sizes = sorted(service_sizes(PLAN.hosts, PLAN.services))
        held_hosts, held_hosts_of_all_services = (
            ScaledFleet({}, 1.0, has_subsets=True).held_hosts,
            budget.mean_subset_hosts(1.0, serves_all=True),
        )
        fleet = ScaledFleet({}, 1.0)
        rows = [
            ("hosts of a service, largest", format_value(sizes[-1])),
            ("hosts of a service, median", format_value(sizes[len(sizes) // 2])),
            (f"services of a gateway (each gateway has room for {SERVICES_PER_GATEWAY}, "
             f"each service {MIN_GATEWAYS_PER_SERVICE} gateways or more)",
             f"{min_services} to {max_services}, mean {mean_services:.1f}"),
            ("hosts in a gateway's subset, mean", format_value(budget.mean_subset_hosts(1.0))),
            ("the same for the gateway with the most services, as the tables use it", format_value(held_hosts)),
            ("the same if each gateway served all services", format_value(held_hosts_of_all_services)),
            ("changes of the list per second, ordinary day", format_value(fleet.changes_per_s)),
            ("changes of configuration per second", format_value(fleet.configurations_per_s)),
            ("requests per second at a gateway", format_value(PLAN.requests_per_gateway)),
            ("hosts that return with a zone", format_value(PLAN.hosts / PLAN.zones)),
            ("gateways that start within 2 s", format_value(budget.STARTED_SHARE * PLAN.gateways)),
        ]  # fmt: skip
        plan_table = format_table(("derived from the plan", ""), rows, right_aligned=(1,))
        return plan_table + "\n" + "".join(f"- {assumption}\n" for assumption in ASSUMED)

    def table_other_way(self) -> str:
        """Return what a gateway's subset would cost if every gateway served every service."""
        held_hosts = budget.mean_subset_hosts(1.0, serves_all=True)
        names = (
            "resident_mb", "whole_bytes", "whole_stop_ms", "change_1_stop_ms", "collector_ms", "quiet_p99_added_ms",
        )  # fmt: skip
        rows = [
            (self.rows[name]["cost"], self.rows[name]["unit"],
             format_value(self.curves[name].value_at(ScaledFleet({}, 1.0, True).held_hosts)),
             format_value(self.curves[name].value_at(held_hosts)),
             format_value(self.curves[name].value_at(PLAN.hosts)))
            for name in names if name in self.rows
        ]  # fmt: skip
        headings = ("cost", "unit", "only its services", "all services", "no subset")
        return format_table(headings, rows, right_aligned=(2, 3, 4))

    def describe_source(self, figure: Figure) -> str:
        """Return whether the costs behind a figure were measured at the plan's size or extrapolated."""
        if figure.value is None:
            return "not known"
        if not figure.rows:
            return "counted"
        max_extrapolation = max(self.rows[name]["extrapolation"] for name in figure.rows)
        description = (
            "measured" if max_extrapolation <= 1 else f"extrapolated {format_value(max_extrapolation)} times"
        )
        residual = max(self.rows[name]["residual"] for name in figure.rows)
        if residual > MAX_UNMENTIONED_RESIDUAL:
            description += f", with a residual of {residual:.0%}"
        return description + (", partly estimated" if figure.line.needs_new_state else "")

    def role_table(self, role: str) -> str:
        """Return the lines of a role, without and with the mechanism."""
        before_by_line = {id(figure.line): figure for figure in self.figures_before}
        rows = []
        for figure_after in [figure for figure in self.figures_after if figure.line.role == role]:
            line, figure_before = figure_after.line, before_by_line.get(id(figure_after.line))
            row_names = dict.fromkeys((figure_before.rows if figure_before is not None else ()) + figure_after.rows)
            rows.append(
                (line.moment, f"{line.quantity}, {line.unit}",
                 format_value(figure_before.value) if figure_before is not None else "",
                 format_share(figure_before.share) if figure_before is not None else "",
                 format_value(figure_after.value), format_share(figure_after.share), format_limit(line.limit),
                 line.met_by or "missing",
                 line.met_by_after or ("the same" if line.met_by else "missing"),
                 self.describe_source(figure_before or figure_after),
                 ", ".join(f"`{name}`" for name in row_names) or "the plan")
            )  # fmt: skip
        headings = ("moment", "what", "today", "exceeded at", "with the mechanism", "exceeded at", "limit",
                    "met today by", "met with the mechanism by", "source of the figure", "rows")  # fmt: skip
        return format_table(headings, rows, right_aligned=(2, 3, 4, 5, 6))

    def table_requests(self) -> str:
        """Return the lines of requests at a gateway, and the measured p99 behind a relay."""
        return self.role_table("gateway, requests") + self.relayed_table()

    def relayed_table(self) -> str:
        """Return the p99 added behind a relay by number of hosts: median and range of the rounds, and the ratio
        to the smallest size."""
        rows = []
        for name in ("relayed_p99_added_ms", "relayed_changes_p99_added_ms"):
            row = self.rows.get(name)
            if row is None:
                continue
            first_value = row["points"][0][1]
            for (size, value), (_, low, high) in zip(row["points"], row["spread"], strict=True):
                ratio = f"{value / first_value:.2f}" if first_value else ""
                rows.append(
                    (
                        row["cost"],
                        format_value(size),
                        format_value(value),
                        f"{format_value(low)} to {format_value(high)}",
                        ratio,
                    )
                )
        headings = ("row", "hosts", "median, ms", "range of the rounds, ms", "ratio to the fewest hosts")
        return "\n" + format_table(headings, rows, right_aligned=(1, 2, 4)) if rows else ""

    def table_hosts(self) -> str:
        """Return the lines of the host list at a gateway."""
        return self.role_table("gateway, hosts")

    def table_others(self) -> str:
        """Return the lines of peers at a gateway."""
        return self.role_table("gateway, peers")

    def table_settings(self) -> str:
        """Return the lines of the settings at a gateway."""
        return self.role_table("gateway, settings")

    def table_discovery(self) -> str:
        """Return the lines of discovery."""
        return self.role_table("discovery")

    def table_relay(self) -> str:
        """Return the lines of a relay."""
        return self.role_table("relay")

    def ranking_table(self, figures: list[Figure]) -> str:
        """Return the lines in the order of the share at which their limits are exceeded."""
        rows = [
            (str(rank), format_share(figure.share), figure.line.role, figure.line.moment, f"{figure.line.quantity}, "
             f"{figure.line.unit}", format_value(figure.value), format_limit(figure.line.limit),
             self.describe_source(figure), figure.line.cause)
            for rank, figure in enumerate(rank_figures(figures), 1)
        ]  # fmt: skip
        headings = (
            "",
            "exceeded at",
            "role",
            "moment",
            "what",
            "at the plan's size",
            "limit",
            "source of the figure",
            "cause",
        )
        return format_table(headings, rows, right_aligned=(0, 1, 5, 6))

    def table_ranking_before(self) -> str:
        """Return the ranking without the mechanism."""
        return self.ranking_table(self.figures_before)

    def table_ranking_after(self) -> str:
        """Return the ranking with the mechanism."""
        return self.ranking_table(self.figures_after)

    def table_broken(self) -> str:
        """Return the limits that are exceeded at the plan's size even with the mechanism."""
        rows = [
            (format_share(figure.share), figure.line.role, f"{figure.line.quantity}, {figure.line.unit}",
             format_value(figure.value), format_limit(figure.line.limit), figure.line.remedy or "not known")
            for figure in rank_figures(self.figures_after) if (figure.share or 0.0) < 1
        ]  # fmt: skip
        headings = ("exceeded at", "role", "what", "at the plan's size", "limit", "possible remedy")
        return format_table(headings, rows, right_aligned=(0, 3, 4))

    def table_causes(self) -> str:
        """Return, by cause, how many limits are exceeded below the plan's size, without and with the mechanism."""
        rows = []
        for cause in dict.fromkeys(
            figure.line.cause for figure in rank_figures(self.figures_before) + rank_figures(self.figures_after)
        ):
            cells = []
            for figures in (self.figures_before, self.figures_after):
                ranked = [figure for figure in rank_figures(figures) if figure.line.cause == cause]
                exceeded = [figure for figure in ranked if (figure.share or 0.0) < 1]
                cells += [
                    f"{len(exceeded)} of {len(ranked)}" if ranked else "",
                    format_share(ranked[0].share) if ranked else "",
                ]
            rows.append((cause, *cells))
        headings = ("cause", "limits exceeded today", "the first at", "with the mechanism", "the first at")
        return format_table(headings, rows, right_aligned=(1, 2, 3, 4))

    def table_run(self) -> str:
        """Return the steps of each committed scale run, at its sizes."""
        run_texts = []
        for run in self.runs:
            faults, steps = run.get("faults", []), run.get("steps", [])
            relays = ", ".join(str(count) for count in sorted({step.get("relays", 0) for step in steps}))
            near = " own-region" if any(step.get("near") for step in steps) else ""
            title = f"{relays or 'no step, no'}{near} relays, {run.get('cores')} cores, {run.get('build')}"
            title += f", {len(faults)} faults" + "".join(f"; {format_cell(fault)}" for fault in faults)
            keys = [key for key in RUN_COLUMNS if any(step.get(key) is not None for step in steps)]
            run_texts.append(
                title + ":\n\n" + format_table(keys, [[format_cell(step.get(key)) for key in keys] for step in steps])
            )
        return "\n".join(run_texts) or "No scale run is committed.\n"


def format_cell(value: Any) -> str:
    """Return a value of a scale run as the text of a table cell."""
    if isinstance(value, bool) or value is None:
        return {True: "yes", False: "no", None: ""}[value]
    return format_value(float(value)) if isinstance(value, int | float) else str(value).replace("|", "/")


def load_page(folder: Path) -> Page:
    """Return the page of the files in a folder. Raise OSError or ValueError if a file cannot be used."""
    runs = sorted(folder.glob(RUN_FILES))
    slopes = folder / SLOPES.name
    return Page(read_rows(slopes), [json.loads(file.read_text()) for file in runs], [slopes, *runs])


def load_committed_page() -> Page:
    """Return the page of the committed files."""
    return load_page(SLOPES.parent)


def main(check: bool) -> int:
    """Write the page, or with `check` only compare it. Return exit code 0; 1 if the page differs with
    `check`; 2 if the page cannot be made."""
    try:
        old_text = PAGE.read_text()
        new_text = load_committed_page().render(old_text)
    except (OSError, ValueError, KeyError) as error:
        print(f"capacity: cannot make the page: {error!r}", file=sys.stderr)
        return 2
    if new_text == old_text:
        print("docs/CAPACITY.md is up to date")
        return 0
    if check:
        print("docs/CAPACITY.md differs from its files; run `python -m benchmarks.capacity page` to write it")
        return 1
    PAGE.write_text(new_text)
    print("docs/CAPACITY.md: tables written")
    return 0
