"""Capacity: curves and the budget for known figures, the measured parts, and the page of the committed files."""

from __future__ import annotations

import asyncio
import json
import math
from pathlib import Path
from typing import Any

import pytest

from benchmarks.capacity import budget, slopes
from benchmarks.capacity.budget import (
    LINES,
    BudgetLine,
    ScaledFleet,
    evaluate_lines,
    find_share_at_limit,
    mean_subset_hosts,
)
from benchmarks.capacity.fit import Curve, fit_curve
from benchmarks.capacity.page import TABLE_PATTERN, PAGE, SLOPES, Page, load_committed_page, load_page
from benchmarks.capacity.plan import PLAN
from benchmarks.capacity.rows import PARTS, SPECS, Part
from benchmarks.capacity.slopes import Measurements, make_rows, measure_parts, read_rows, run_part
from benchmarks.capacity.stub_environment import StubDiscovery, host_entries
from tests.sockets import on_loop, wait_until

SIZES = (200.0, 2_000.0, 10_000.0, 38_000.0)
NOISE_FACTORS = (1.04, 0.97, 1.03, 0.98)
SMALL_SIZES = {
    "gateway": 24,
    "list": 12,
    "tenants": 3,
    "presence": 4,
    "duties": 6,
    "news": 4,
    "classes": 3,
    "relay": 40,
}


# Curves


@pytest.mark.parametrize(
    ("kind", "curve"),
    [
        ("constant", lambda n: 7.0),
        ("log", lambda n: 3.0 + 2.0 * math.log(n)),
        ("line", lambda n: 26.0 + 0.0024 * n),
        ("worse", lambda n: 1e-6 * n**1.7),
    ],
)
@pytest.mark.parametrize("noise", [(1.0,) * 4, NOISE_FACTORS])
def test_fit_finds_kind_of_growth(kind: str, curve: Any, noise: tuple[float, ...]) -> None:
    fitted = fit_curve([(n, curve(n) * factor) for n, factor in zip(SIZES, noise, strict=True)])
    assert fitted.kind == kind
    assert fitted.value_at(38_000) == pytest.approx(curve(38_000), rel=0.1)


def test_fit_of_noise_is_constant() -> None:
    assert fit_curve([(n, value) for n, value in zip(SIZES, (5.0, 9.0, 4.0, 8.0), strict=True)]).kind == "constant"


def test_curve_is_never_below_zero() -> None:
    assert Curve("log", 5.0, -3.0, 0.0).value_at(1e6) == 0


@pytest.mark.parametrize("points", [[(1.0, 1.0)] * 5, [(n, -1.0) for n in SIZES], [(n - 200.0, n) for n in SIZES]])
def test_fit_rejects_too_few_sizes_and_negative_points(points: list[tuple[float, float]]) -> None:
    with pytest.raises(ValueError, match="points: expected"):
        fit_curve(points)


# The budget


def make_line(name: str, limit: float | None) -> BudgetLine:
    """Return a line whose value is the named cost at the held hosts."""
    return BudgetLine(
        "r", "m", "w", "ms", limit, lambda fleet: fleet.cost(name, fleet.held_hosts), (name,), budget.HOST_LIST
    )


@pytest.mark.parametrize(
    ("curve", "share"),
    [
        (Curve("line", 0.0, 8.0 / PLAN.hosts, 0.0), 0.25),  # 8 at the plan's size, with a limit of 2
        (Curve("line", 1.0, 1.0 / PLAN.hosts, 0.0), 1.0),
        (Curve("worse", 2.0 / (PLAN.hosts * 4) ** 2, 2.0, 0.0), 4.0),
        (Curve("constant", 1.9, 0.0, 0.0), math.inf),
        (Curve("constant", 2.1, 0.0, 0.0), 0.0),
    ],
)
def test_share_at_limit_of_known_curves(curve: Curve, share: float) -> None:
    assert find_share_at_limit(make_line("x", 2.0), {"x": curve}, False) == pytest.approx(share, rel=0.002)


def test_line_without_limit_or_curve_has_no_share() -> None:
    assert find_share_at_limit(make_line("x", None), {"x": Curve("constant", 1.0, 0.0, 0.0)}, False) is None
    (figure,) = evaluate_lines({}, False, (make_line("x", 2.0),))
    assert (figure.value, figure.share) == (None, None)


def test_every_line_names_measured_costs() -> None:
    names = {spec.name for spec in SPECS}
    assert {name for line in LINES for name in (*line.rows, *line.rows_after)} <= names
    assert {spec.part for spec in SPECS} == {part.name for part in PARTS}


def test_every_line_uses_only_the_costs_that_it_names() -> None:
    for line in LINES:
        for has_subsets in (False, True):
            value, rows = line.choose_value_and_rows(
                dict.fromkeys((*line.rows, *line.rows_after), LINEAR_CURVE), has_subsets
            )
            if not (line.only_after and not has_subsets):
                assert value(ScaledFleet(dict.fromkeys(rows, LINEAR_CURVE), 1.0, has_subsets)) >= 0


LINEAR_CURVE = Curve("line", 1.0, 0.001, 0.0)


def test_rates_of_the_plans_ordinary_day() -> None:
    fleet = ScaledFleet({}, 1.0)
    assert fleet.changes_per_s * budget.DAY_S == pytest.approx(9_800 * 2.5 + 60 * 2)
    assert fleet.configurations_per_s * budget.DAY_S == pytest.approx(3_200)
    assert ScaledFleet({}, 0.5).changes_per_s == pytest.approx(fleet.changes_per_s / 2)


def test_subset_is_small_and_grows_slowly() -> None:
    assert 0 < mean_subset_hosts(1.0) < PLAN.hosts / 20
    assert mean_subset_hosts(2.0) < 1.5 * mean_subset_hosts(1.0)
    assert mean_subset_hosts(1.0, serves_all=True) > 5 * mean_subset_hosts(1.0)


def test_p99_with_subsets_uses_the_curve_measured_behind_relays() -> None:
    direct, relayed = Curve("constant", 9.0, 0.0, 0.0), Curve("line", 1.0, 1 / PLAN.hosts, 0.0)
    curves = {"quiet_p99_added_ms": direct, "relayed_p99_added_ms": relayed,
              "changes_p99_added_ms": direct, "relayed_changes_p99_added_ms": relayed}  # fmt: skip
    lines = tuple(line for line in LINES if line.quantity.startswith("p99 added"))
    assert [(figure.value, figure.rows) for figure in evaluate_lines(curves, False, lines)] == [
        (9.0, ("quiet_p99_added_ms",)), (9.0, ("changes_p99_added_ms",)),
    ]  # fmt: skip
    figures = evaluate_lines(curves, True, lines)
    assert [figure.value for figure in figures] == pytest.approx([2.0, 2.0])
    assert [figure.rows for figure in figures] == [("relayed_p99_added_ms",), ("relayed_changes_p99_added_ms",)]


def test_only_a_list_during_requests_has_a_stall_limit() -> None:
    """The first list has no limit, as the gateway serves no request before it."""
    limits = {line.rows: line.limit for line in LINES if line.rows in (("whole_stop_ms",), ("whole_first_stop_ms",))}
    assert limits == {("whole_stop_ms",): budget.MAX_STALL_MS, ("whole_first_stop_ms",): None}


# What is measured


@pytest.mark.parametrize("part", PARTS, ids=lambda part: part.name)
def test_part_prints_the_costs_of_its_specs(part: Part) -> None:
    costs = run_part(part.name, SMALL_SIZES.get(part.name, 20), 0.5, 60.0)
    assert not isinstance(costs, str), costs
    assert {spec.name for spec in SPECS if spec.part == part.name and not spec.min_size} <= costs.keys()
    assert all(value >= 0 for value in costs.values())


def test_unreached_and_timed_out_parts_are_reported() -> None:
    measurements = measure_parts([PARTS[0]], quick=True, limit_s=0.0)
    assert not measurements.costs and len(measurements.missing) == len(PARTS[0].quick_sizes)
    assert all("not reached" in line for line in measurements.missing)
    assert "did not end" in str(run_part("routes", 20, 0.5, 0.01))


def test_rounds_give_median_and_range_of_each_size(monkeypatch: pytest.MonkeyPatch) -> None:
    run_sizes: list[int] = []

    def run_part_stub(name: str, size: int, load_s: float, limit_s: float) -> dict[str, float] | str:
        run_sizes.append(size)
        if size == 4 and run_sizes.count(4) == 2:
            return "failed: once"
        return {"relayed_p99_added_ms": size * (1.0, 5.0, 2.0)[run_sizes.count(size) - 1]}

    monkeypatch.setattr(slopes, "run_part", run_part_stub)
    part = Part("relayed", "hosts", (1, 2, 3, 4), (), 8, rounds=3)
    measurements = measure_parts([part], quick=False, limit_s=60.0)
    assert run_sizes == [1, 2, 3, 4] * 3 and measurements.missing == ["relayed at 4 hosts: failed: once"]
    (row,) = make_rows(measurements, {}, [spec for spec in SPECS if spec.name == "relayed_p99_added_ms"])
    assert row["points"] == [[1.0, 2.0], [2.0, 4.0], [3.0, 6.0], [4.0, 6.0]]  # the last from two rounds only
    assert row["spread"] == [[1.0, 1.0, 5.0], [2.0, 2.0, 10.0], [3.0, 3.0, 15.0], [4.0, 4.0, 8.0]]
    page = Page({row["name"]: row | {"commit": "c"}})
    assert "| 3 | 6 | 3 to 15 | 3.00 |" in page.table_requests()


@on_loop
async def test_stub_discovery_restarts_one_host_after_another() -> None:
    discovery = StubDiscovery(host_entries(20, []))
    discovery.restart_next_host(0.001)
    await wait_until(lambda: len(discovery.history) >= 6)
    discovery.restart_next_host(0.0)
    count = len(discovery.history)
    changed_hosts = [json.loads(data.partition(b"\r\n\r\n")[2])["endpoints"][0] for _, data in discovery.history[:6]]
    assert [host["status"] for host in changed_hosts] == ["DRAINING", "DELETED", "SERVING"] * 2
    assert (
        len({host["name"] for host in changed_hosts[:3]}) == 1
        and changed_hosts[2]["since_ms"] < changed_hosts[5]["since_ms"]
    )
    await asyncio.sleep(0.01)
    assert len(discovery.history) == count and discovery.change_timer is None


def test_too_few_sizes_make_no_row() -> None:
    measurements = Measurements(
        {("news", size): {"news_all_ms": 80.0, "news_bytes_per_s": 1.0} for size in (25, 50, 100)}
    )
    assert make_rows(measurements, {}) == []
    assert any("too few" in line for line in measurements.missing)


# The page


def test_committed_page_matches_committed_files() -> None:
    assert (
        load_committed_page().render(PAGE.read_text()) == PAGE.read_text()
    ), "run `python -m benchmarks.capacity page`"


def test_page_has_every_table_once() -> None:
    assert sorted(TABLE_PATTERN.findall(PAGE.read_text())) == sorted(load_committed_page().tables())


@pytest.mark.parametrize(
    ("name", "table"),
    [("whole_stop_ms", "hosts"), ("resident_mb", "hosts"), ("quiet_p99_added_ms", "requests"),
     ("tenants_reload_ms", "settings")],
)  # fmt: skip
def test_changed_figure_in_a_file_changes_the_tables(name: str, table: str, tmp_path: Path) -> None:
    content = json.loads(SLOPES.read_text())
    (row,) = [row for row in content["rows"] if row["name"] == name]
    # Changes each coefficient, also one of 0.
    row["coefficients"] = [1.5 * coefficient + 1 for coefficient in row["coefficients"]]
    row["points"][-1][1] = 1.5 * row["points"][-1][1] + 1
    (tmp_path / SLOPES.name).write_text(json.dumps(content))
    changed, current = load_page(tmp_path).tables(), load_committed_page().tables()
    assert changed["slopes"]() != current["slopes"]()
    assert changed[table]() != current[table]()


def test_changed_digit_in_a_file_changes_the_page(tmp_path: Path) -> None:
    text = SLOPES.read_text()
    index = text.rindex("9")
    (tmp_path / SLOPES.name).write_text(text[:index] + "8" + text[index + 1 :])
    assert load_page(tmp_path).render(PAGE.read_text()) != PAGE.read_text()


def test_changed_digit_on_the_page_is_restored() -> None:
    text = PAGE.read_text()
    table = next(match for match in TABLE_PATTERN.finditer(text) if match[1] == "ranking-before")
    digit_index = next(index for index in range(table.start(), table.end()) if text[index].isdigit())
    altered = text[:digit_index] + str((int(text[digit_index]) + 1) % 10) + text[digit_index + 1 :]
    assert load_committed_page().render(altered) == text != altered


def test_every_row_says_how_and_where_it_was_measured() -> None:
    for row in read_rows(SLOPES).values():
        assert row["command"].startswith("python -m benchmarks.capacity slopes") and "--quick" not in row["command"]
        assert row["commit"] and row["date"] and row["cores"] and row["build"] == "compiled"
        assert len(row["points"]) >= 4
        assert row["extrapolation"] == pytest.approx(row["plan"] / row["points"][-1][0], rel=0.001)
