"""docs/CAPACITY.md: what stands between its markers is made here, from the committed files of docs/capacity/.

    <!-- table NAME --> ... <!-- end -->

The text around them is written by hand and holds no measured figure. tests/test_capacity.py fails where what is on
the page is not what the files give.
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
RUNS: Final = "run*.json"  # beside it: the scale run, before and with the mechanism
RUN_COLUMNS: Final = (
    "gateways", "hosts", "step", "last_s", "limit_s", "p50_s", "p99_s", "had", "bytes_per_s", "calls_per_s",
    "cpu_share", "apply_ms", "stop_ms", "relay_stop_ms", "hollow_mb", "all_mb", "added_p99_ms", "direct_p99_ms",
    "lost", "refused", "had_while_cut", "last_while_cut_s", "undone", "kill_stop_ms",
)  # fmt: skip
SCATTER: Final = 0.3  # a relative residual beyond this is said wherever the curve is used
MARKED: Final = re.compile(r"<!-- table (\S+) -->\n.*?<!-- end -->", flags=re.S)


def table(heads: Sequence[str], rows: Iterable[Sequence[str]], right: Sequence[int] = ()) -> str:
    lines = ["| " + " | ".join(heads) + " |"]
    lines.append("| " + " | ".join("---:" if at in right else "---" for at in range(len(heads))) + " |")
    return "\n".join([*lines, *("| " + " | ".join(row) + " |" for row in rows)]) + "\n"


def figure(value: float | None) -> str:
    """Three digits, thousands apart."""
    if value is None:
        return "not known"
    if value == 0 or abs(value) >= 100:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{value:.3g}"


def limit(value: float | None) -> str:
    """As it was named."""
    return "none named" if value is None else f"{value:,.0f}" if value >= 100 else f"{value:g}"


def share(value: float | None) -> str:
    if value is None:
        return ""
    if value == 0:
        return "at any size"
    if math.isinf(value):
        return f"over {budget.MAX_SHARE:g}"
    return f"{value:.4f}" if value < 0.01 else f"{value:.3f}" if value < 0.1 else f"{value:.2f}"


def digest(file: Path) -> str:
    return hashlib.blake2b(file.read_bytes(), digest_size=8).hexdigest()


class Page:
    """The tables by name; each from the rows of the slopes, and of the scale run where there is one."""

    def __init__(
        self, rows: dict[str, dict[str, Any]], runs: Sequence[dict[str, Any]] = (), files: Sequence[Path] = ()
    ) -> None:
        self.rows, self.runs, self.files = rows, runs, files
        self.curves = {name: curve_from_row(row) for name, row in rows.items()}
        self.before, self.after = evaluate_lines(self.curves, False), evaluate_lines(self.curves, True)

    def tables(self) -> dict[str, Callable[[], str]]:
        made = {name.removeprefix("table_"): getattr(self, name) for name in dir(self) if name.startswith("table_")}
        return {name.replace("_", "-"): of for name, of in made.items()}

    def render(self, text: str) -> str:
        """The page with all its tables as the files give them. KeyError for a name that is no table."""
        tables = self.tables()
        return MARKED.sub(lambda found: f"<!-- table {found[1]} -->\n{tables[found[1]]()}<!-- end -->", text)

    # The tables

    def table_where(self) -> str:
        kinds: dict[tuple[str, ...], int] = {}
        for row in self.rows.values():
            told = (row["commit"], row["date"], f"{row['cores']}", f"{row['load']:g}", row["build"])
            key = (f"`{row['command']}`", *told)
            kinds[key] = kinds.get(key, 0) + 1
        rows = [(*key, str(count)) for key, count in kinds.items()]
        heads = ("command", "commit", "date", "cores", "load at the start", "build", "rows")
        # Digests: a figure that is rounded on this page is held to its file all the same.
        digests = [(f"`{file.name}`", digest(file)) for file in self.files]
        return table(heads, rows, right=(3, 4, 6)) + "\n" + table(("file", "digest"), digests)

    def table_slopes(self) -> str:
        rows = []
        for name, row in self.rows.items():
            points = ", ".join(f"{figure(size)}: {figure(value)}" for size, value in row["points"])
            if spread := row.get("spread"):
                spans = ", ".join(f"{figure(low)} to {figure(high)}" for _, low, high in spread)
                points += f"; of the rounds {spans}"
            kind = {"worse": f"worse, to the power of {row['coefficients'][1]:.2f}"}.get(row["fit"], row["fit"])
            far = "measured" if row["extrapolation"] <= 1 else f"{figure(row['extrapolation'])} times"
            cost = row["cost"] + (" (an estimate)" if row["estimate"] else "")
            rows.append((f"`{name}`", cost, row["unit"], f"{row['by']}: {points}", kind, f"{row['residual']:.0%}",
                         figure(row["at_plan"]), far))  # fmt: skip
        heads = ("row", "cost", "unit", "by: measured", "grows", "residual", "at the plan's size", "extrapolated")
        return table(heads, rows, right=(5, 6))

    def table_assumed(self) -> str:
        least, mean, most = budget.services_per_gateway()
        sizes = sorted(service_sizes(PLAN.hosts, PLAN.services))
        told, all_told = (
            ScaledFleet({}, 1.0, has_subsets=True).held_hosts,
            budget.mean_subset_hosts(1.0, before_all=True),
        )
        load = ScaledFleet({}, 1.0)
        rows = [
            ("hosts of a service, largest", figure(sizes[-1])),
            ("hosts of a service, median", figure(sizes[len(sizes) // 2])),
            (f"services of a gateway (each gateway has room for {SERVICES_PER_GATEWAY}, "
             f"each service {MIN_GATEWAYS_PER_SERVICE} gateways or more)", f"{least} to {most}, mean {mean:.1f}"),
            ("hosts in a gateway's subset, mean", figure(budget.mean_subset_hosts(1.0))),
            ("the same for the gateway with the most services: what the tables take", figure(told)),
            ("the same if each gateway were before all services", figure(all_told)),
            ("changes of the list a second, ordinary day", figure(load.changes_per_s)),
            ("changes of configuration a second", figure(load.configurations_per_s)),
            ("requests a second at a gateway", figure(PLAN.requests_per_gateway)),
            ("hosts that come back with a zone", figure(PLAN.hosts / PLAN.zones)),
            ("gateways that start within 2 s", figure(budget.STARTED_SHARE * PLAN.gateways)),
        ]  # fmt: skip
        counted = table(("worked out of the plan", ""), rows, right=(1,))
        return counted + "\n" + "".join(f"- {said}\n" for said in ASSUMED)

    def table_other_way(self) -> str:
        """Had each gateway every service: what its subset would then cost."""
        told = budget.mean_subset_hosts(1.0, before_all=True)
        names = (
            "resident_mb", "whole_bytes", "whole_stop_ms", "change_1_stop_ms", "collector_ms", "quiet_p99_added_ms",
        )  # fmt: skip
        rows = [
            (self.rows[name]["cost"], self.rows[name]["unit"],
             figure(self.curves[name].value_at(ScaledFleet({}, 1.0, True).held_hosts)),
             figure(self.curves[name].value_at(told)), figure(self.curves[name].value_at(PLAN.hosts)))
            for name in names if name in self.rows
        ]  # fmt: skip
        heads = ("cost", "unit", "its services alone", "all services", "no subset")
        return table(heads, rows, right=(2, 3, 4))

    def far(self, found: Figure) -> str:
        """Whether its rows were measured at the plan's size."""
        if found.value is None:
            return "not known"
        if not found.rows:
            return "counted"
        most = max(self.rows[name]["extrapolation"] for name in found.rows)
        said = "measured" if most <= 1 else f"extrapolated {figure(most)} times"
        scatter = max(self.rows[name]["residual"] for name in found.rows)
        if scatter > SCATTER:
            said += f", scatters by {scatter:.0%}"
        return said + (", priced" if found.line.needs_new_state else "")

    def of_role(self, role: str) -> str:
        today = {id(found.line): found for found in self.before}
        rows = []
        for then in [found for found in self.after if found.line.role == role]:
            line, now = then.line, today.get(id(then.line))
            used = dict.fromkeys((now.rows if now is not None else ()) + then.rows)
            rows.append(
                (line.moment, f"{line.what}, {line.unit}",
                 figure(now.value) if now is not None else "", share(now.share) if now is not None else "",
                 figure(then.value), share(then.share), limit(line.limit),
                 line.carried_by or "missing",
                 line.carried_by_after or ("the same" if line.carried_by else "missing"),
                 self.far(now or then), ", ".join(f"`{name}`" for name in used) or "the plan")
            )  # fmt: skip
        heads = ("moment", "what", "today", "breaks at", "with the mechanism", "breaks at", "limit",
                 "carried today by", "and with it by", "known how", "rows")  # fmt: skip
        return table(heads, rows, right=(2, 3, 4, 5, 6))

    def table_requests(self) -> str:
        return self.of_role("gateway, requests") + self.relayed()

    def relayed(self) -> str:
        """p99 added behind a relay, by hosts: the median of the rounds, their spread, and beside the least size."""
        rows = []
        for name in ("relayed_p99_added_ms", "relayed_changes_p99_added_ms"):
            row = self.rows.get(name)
            if row is None:
                continue
            least = row["points"][0][1]
            for (size, value), (_, low, high) in zip(row["points"], row["spread"], strict=True):
                times = f"{value / least:.2f}" if least else ""
                rows.append((row["cost"], figure(size), figure(value), f"{figure(low)} to {figure(high)}", times))
        heads = ("row", "hosts", "median, ms", "of the rounds, ms", "times that of the fewest hosts")
        return "\n" + table(heads, rows, right=(1, 2, 4)) if rows else ""

    def table_hosts(self) -> str:
        return self.of_role("gateway, hosts")

    def table_others(self) -> str:
        return self.of_role("gateway, others")

    def table_settings(self) -> str:
        return self.of_role("gateway, settings")

    def table_discovery(self) -> str:
        return self.of_role("discovery")

    def table_relay(self) -> str:
        return self.of_role("relay")

    def ranked(self, figures: list[Figure]) -> str:
        rows = [
            (str(place), share(found.share), found.line.role, found.line.moment, f"{found.line.what}, "
             f"{found.line.unit}", figure(found.value), limit(found.line.limit),
             self.far(found), found.line.cause)
            for place, found in enumerate(rank_figures(figures), 1)
        ]  # fmt: skip
        heads = ("", "breaks at", "role", "moment", "what", "at the plan's size", "limit", "known how", "cause")
        return table(heads, rows, right=(0, 1, 5, 6))

    def table_ranking_before(self) -> str:
        return self.ranked(self.before)

    def table_ranking_after(self) -> str:
        return self.ranked(self.after)

    def table_broken(self) -> str:
        """With the mechanism: what is broken at the plan's size all the same."""
        rows = [
            (share(found.share), found.line.role, f"{found.line.what}, {found.line.unit}", figure(found.value),
             limit(found.line.limit), found.line.remedy or "not known")
            for found in rank_figures(self.after) if (found.share or 0.0) < 1
        ]  # fmt: skip
        heads = ("breaks at", "role", "what", "at the plan's size", "limit", "what would carry it")
        return table(heads, rows, right=(0, 3, 4))

    def table_causes(self) -> str:
        """By cause: limits that break below the plan's size, before and after."""
        rows = []
        for cause in dict.fromkeys(
            found.line.cause for found in rank_figures(self.before) + rank_figures(self.after)
        ):
            cells = []
            for figures in (self.before, self.after):
                of = [found for found in rank_figures(figures) if found.line.cause == cause]
                broken = [found for found in of if (found.share or 0.0) < 1]
                cells += [f"{len(broken)} of {len(of)}" if of else "", share(of[0].share) if of else ""]
            rows.append((cause, *cells))
        heads = ("cause", "limits broken today", "the first at", "with the mechanism", "the first at")
        return table(heads, rows, right=(1, 2, 3, 4))

    def table_run(self) -> str:
        """Each scale run that is committed: its steps at its sizes."""
        made = []
        for run in self.runs:
            faults, steps = run.get("faults", []), run.get("steps", [])
            relays = ", ".join(str(count) for count in sorted({step.get("relays", 0) for step in steps}))
            near = " near" if any(step.get("near") for step in steps) else ""
            head = f"{relays or 'no step, no'}{near} relays, {run.get('cores')} cores, {run.get('build')}"
            head += f", {len(faults)} faults" + "".join(f"; {text(fault)}" for fault in faults)
            keys = [key for key in RUN_COLUMNS if any(step.get(key) is not None for step in steps)]
            made.append(head + ":\n\n" + table(keys, [[text(step.get(key)) for key in keys] for step in steps]))
        return "\n".join(made) or "No scale run is committed: nothing of it is known.\n"


def text(value: Any) -> str:
    if isinstance(value, bool) or value is None:
        return {True: "yes", False: "no", None: ""}[value]
    return figure(float(value)) if isinstance(value, int | float) else str(value).replace("|", "/")


def page_of(folder: Path) -> Page:
    """By the files of one folder. OSError or ValueError where one cannot be used."""
    runs = sorted(folder.glob(RUNS))
    slopes = folder / SLOPES.name
    return Page(read_rows(slopes), [json.loads(file.read_text()) for file in runs], [slopes, *runs])


def current() -> Page:
    return page_of(SLOPES.parent)


def main(check: bool) -> int:
    """Exit code: 1 where the page differs and `check` is asked for."""
    try:
        was = PAGE.read_text()
        made = current().render(was)
    except (OSError, ValueError, KeyError) as error:
        print(f"capacity: the page cannot be made: {error!r}", file=sys.stderr)
        return 2
    if made == was:
        print("docs/CAPACITY.md is as the files give it")
        return 0
    if check:
        print("docs/CAPACITY.md is not what the files give: `python -m benchmarks.capacity page` writes it")
        return 1
    PAGE.write_text(made)
    print("docs/CAPACITY.md: tables written")
    return 0
