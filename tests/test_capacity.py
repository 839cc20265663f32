"""Capacity: curves and the budget are right for known figures; the page says what the committed files give."""

from __future__ import annotations

import asyncio
import json
import math
from pathlib import Path
from typing import Any

import pytest

from benchmarks.capacity import budget, slopes
from benchmarks.capacity.budget import LINES, Line, Load, share_at, subset_hosts, work_out
from benchmarks.capacity.fit import Curve, fit
from benchmarks.capacity.page import MARKED, PAGE, SLOPES, Page, current, page_of
from benchmarks.capacity.plan import PLAN
from benchmarks.capacity.rows import PARTS, SPECS, Part
from benchmarks.capacity.slopes import Measured, measure, read, rows_of, run_part
from benchmarks.capacity.world import Discovery, entries

from tests.sockets import on_loop, wait_until

SIZES = (200.0, 2_000.0, 10_000.0, 38_000.0)
NOISE = (1.04, 0.97, 1.03, 0.98)
SMALL = {"gateway": 24, "list": 12, "tenants": 3, "presence": 4, "duties": 6, "news": 4, "classes": 3, "relay": 40}


# Curves


@pytest.mark.parametrize(
    ("kind", "at"),
    [
        ("constant", lambda n: 7.0),
        ("log", lambda n: 3.0 + 2.0 * math.log(n)),
        ("line", lambda n: 26.0 + 0.0024 * n),
        ("worse", lambda n: 1e-6 * n**1.7),
    ],
)
@pytest.mark.parametrize("noise", [(1.0,) * 4, NOISE])
def test_the_kind_of_growth_is_found(kind: str, at: Any, noise: tuple[float, ...]) -> None:
    found = fit([(n, at(n) * factor) for n, factor in zip(SIZES, noise, strict=True)])
    assert found.kind == kind
    assert found.at(38_000) == pytest.approx(at(38_000), rel=0.1)


def test_noise_is_no_law() -> None:
    assert fit([(n, value) for n, value in zip(SIZES, (5.0, 9.0, 4.0, 8.0), strict=True)]).kind == "constant"


def test_a_curve_is_never_below_zero() -> None:
    assert Curve("log", 5.0, -3.0, 0.0).at(1e6) == 0


@pytest.mark.parametrize("points", [[(1.0, 1.0)] * 5, [(n, -1.0) for n in SIZES], [(n - 200.0, n) for n in SIZES]])
def test_what_no_curve_goes_through_is_refused(points: list[tuple[float, float]]) -> None:
    with pytest.raises(ValueError, match="points: expected"):
        fit(points)


# The budget


def line_of(name: str, limit: float | None) -> Line:
    return Line("r", "m", "w", "ms", limit, lambda at: at.at(name, at.told), (name,), budget.LIST)


@pytest.mark.parametrize(
    ("curve", "share"),
    [
        (Curve("line", 0.0, 8.0 / PLAN.hosts, 0.0), 0.25),  # 8 at the plan's size, the limit is 2
        (Curve("line", 1.0, 1.0 / PLAN.hosts, 0.0), 1.0),
        (Curve("worse", 2.0 / (PLAN.hosts * 4) ** 2, 2.0, 0.0), 4.0),
        (Curve("constant", 1.9, 0.0, 0.0), math.inf),
        (Curve("constant", 2.1, 0.0, 0.0), 0.0),
    ],
)
def test_the_share_at_which_a_limit_breaks(curve: Curve, share: float) -> None:
    assert share_at(line_of("x", 2.0), {"x": curve}, False) == pytest.approx(share, rel=0.002)


def test_what_has_no_limit_or_no_curve_has_no_share() -> None:
    assert share_at(line_of("x", None), {"x": Curve("constant", 1.0, 0.0, 0.0)}, False) is None
    (found,) = work_out({}, False, (line_of("x", 2.0),))
    assert (found.value, found.share) == (None, None)


def test_every_line_names_rows_that_are_measured() -> None:
    names = {spec.name for spec in SPECS}
    assert {name for line in LINES for name in (*line.rows, *line.after_rows)} <= names
    assert {spec.part for spec in SPECS} == {part.name for part in PARTS}


def test_every_line_is_worked_out_by_the_rows_that_it_names_alone() -> None:
    for line in LINES:
        for subset in (False, True):
            value, rows = line.by(dict.fromkeys((*line.rows, *line.after_rows), ONE), subset)
            if not (line.only_after and not subset):
                assert value(Load(dict.fromkeys(rows, ONE), 1.0, subset)) >= 0


ONE = Curve("line", 1.0, 0.001, 0.0)


def test_the_plans_day_in_figures() -> None:
    load = Load({}, 1.0)
    assert load.changes * budget.DAY_S == pytest.approx(9_800 * 2.5 + 60 * 2)
    assert load.configurations * budget.DAY_S == pytest.approx(3_200)
    assert Load({}, 0.5).changes == pytest.approx(load.changes / 2)


def test_a_subset_is_small_and_hardly_grows() -> None:
    assert 0 < subset_hosts(1.0) < PLAN.hosts / 20
    assert subset_hosts(2.0) < 1.5 * subset_hosts(1.0)
    assert subset_hosts(1.0, before_all=True) > 5 * subset_hosts(1.0)


def test_p99_with_the_mechanism_is_what_was_measured_behind_relays_not_the_direct_curve() -> None:
    direct, behind = Curve("constant", 9.0, 0.0, 0.0), Curve("line", 1.0, 1 / PLAN.hosts, 0.0)
    curves = {"quiet_p99_added_ms": direct, "relayed_p99_added_ms": behind,
              "changes_p99_added_ms": direct, "relayed_changes_p99_added_ms": behind}  # fmt: skip
    lines = tuple(line for line in LINES if line.what.startswith("p99 added"))
    assert [(f.value, f.rows) for f in work_out(curves, False, lines)] == [
        (9.0, ("quiet_p99_added_ms",)), (9.0, ("changes_p99_added_ms",)),
    ]  # fmt: skip
    with_it = work_out(curves, True, lines)
    assert [f.value for f in with_it] == pytest.approx([2.0, 2.0])
    assert [f.rows for f in with_it] == [("relayed_p99_added_ms",), ("relayed_changes_p99_added_ms",)]


def test_a_first_list_has_no_limit_and_one_that_comes_while_requests_are_served_has() -> None:
    """Nobody is served before the first."""
    limits = {line.rows: line.limit for line in LINES if line.rows in (("whole_stop_ms",), ("whole_first_stop_ms",))}
    assert limits == {("whole_stop_ms",): budget.STOP_MS, ("whole_first_stop_ms",): None}


# What is measured


@pytest.mark.parametrize("part", PARTS, ids=lambda part: part.name)
def test_a_part_prints_the_costs_that_its_rows_name(part: Part) -> None:
    found = run_part(part.name, SMALL.get(part.name, 20), 0.5, 60.0)
    assert not isinstance(found, str), found
    assert {spec.name for spec in SPECS if spec.part == part.name and not spec.least} <= found.keys()
    assert all(value >= 0 for value in found.values())


def test_what_is_not_reached_is_said() -> None:
    found = measure([PARTS[0]], quick=True, limit_s=0.0)
    assert not found.costs and len(found.lacking) == len(PARTS[0].quick)
    assert all("not reached" in line for line in found.lacking)
    assert "did not end" in str(run_part("routes", 20, 0.5, 0.01))


def test_rounds_are_played_in_turn_and_their_median_and_spread_are_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    played: list[int] = []

    def play(name: str, size: int, load_s: float, limit_s: float) -> dict[str, float] | str:
        played.append(size)
        if size == 4 and played.count(4) == 2:
            return "failed: once"
        return {"relayed_p99_added_ms": size * (1.0, 5.0, 2.0)[played.count(size) - 1]}

    monkeypatch.setattr(slopes, "run_part", play)
    part = Part("relayed", "hosts", (1, 2, 3, 4), (), 8, rounds=3)
    found = measure([part], quick=False, limit_s=60.0)
    assert played == [1, 2, 3, 4] * 3 and found.lacking == ["relayed at 4 hosts: failed: once"]
    (row,) = rows_of(found, {}, [spec for spec in SPECS if spec.name == "relayed_p99_added_ms"])
    assert row["points"] == [[1.0, 2.0], [2.0, 4.0], [3.0, 6.0], [4.0, 6.0]]  # of two, the middle
    assert row["spread"] == [[1.0, 1.0, 5.0], [2.0, 2.0, 10.0], [3.0, 3.0, 15.0], [4.0, 4.0, 8.0]]
    page = Page({row["name"]: row | {"commit": "c"}})
    assert "| 3 | 6 | 3 to 15 | 3.00 |" in page.table_requests()


@on_loop
async def test_hosts_of_the_measured_world_restart_one_after_another() -> None:
    discovery = Discovery(entries(20, []))
    discovery.restart(0.001)
    await wait_until(lambda: len(discovery.history) >= 6)
    discovery.restart(0.0)
    count = len(discovery.history)
    told = [json.loads(data.partition(b"\r\n\r\n")[2])["endpoints"][0] for _, data in discovery.history[:6]]
    assert [one["status"] for one in told] == ["DRAINING", "DELETED", "SERVING"] * 2
    assert len({one["name"] for one in told[:3]}) == 1 and told[2]["since_ms"] < told[5]["since_ms"]
    await asyncio.sleep(0.01)
    assert len(discovery.history) == count and discovery.changing is None


def test_too_few_sizes_make_no_row() -> None:
    found = Measured({("news", size): {"news_all_ms": 80.0, "news_bytes_per_s": 1.0} for size in (25, 50, 100)})
    assert rows_of(found, {}) == []
    assert any("too few" in line for line in found.lacking)


# The page


def test_the_page_is_what_the_files_give() -> None:
    assert current().render(PAGE.read_text()) == PAGE.read_text(), "run `python -m benchmarks.capacity page`"


def test_the_page_has_every_table_once() -> None:
    assert sorted(MARKED.findall(PAGE.read_text())) == sorted(current().tables())


@pytest.mark.parametrize(
    ("name", "budget"),
    [("whole_stop_ms", "hosts"), ("resident_mb", "hosts"), ("quiet_p99_added_ms", "requests"),
     ("tenants_reload_ms", "settings")],
)  # fmt: skip
def test_a_changed_figure_is_found(name: str, budget: str, tmp_path: Path) -> None:
    raw = json.loads(SLOPES.read_text())
    (row,) = [row for row in raw["rows"] if row["name"] == name]
    row["coefficients"] = [1.5 * each + 1 for each in row["coefficients"]]  # another figure also where it was 0
    row["points"][-1][1] = 1.5 * row["points"][-1][1] + 1
    (tmp_path / SLOPES.name).write_text(json.dumps(raw))
    changed, now = page_of(tmp_path).tables(), current().tables()
    assert changed["slopes"]() != now["slopes"]()
    assert changed[budget]() != now[budget]()


def test_one_changed_digit_of_a_file_is_found(tmp_path: Path) -> None:
    text = SLOPES.read_text()
    at = text.rindex("9")
    (tmp_path / SLOPES.name).write_text(text[:at] + "8" + text[at + 1 :])
    assert page_of(tmp_path).render(PAGE.read_text()) != PAGE.read_text()


def test_a_figure_changed_on_the_page_is_found() -> None:
    text = PAGE.read_text()
    table = next(found for found in MARKED.finditer(text) if found[1] == "ranking-before")
    digit = next(at for at in range(table.start(), table.end()) if text[at].isdigit())
    forged = text[:digit] + str((int(text[digit]) + 1) % 10) + text[digit + 1 :]
    assert current().render(forged) == text != forged


def test_every_row_says_where_it_was_measured() -> None:
    for row in read(SLOPES).values():
        assert row["command"].startswith("python -m benchmarks.capacity slopes") and "--quick" not in row["command"]
        assert row["commit"] and row["date"] and row["cores"] and row["build"] == "compiled"
        assert len(row["points"]) >= 4
        assert row["extrapolation"] == pytest.approx(row["plan"] / row["points"][-1][0], rel=0.001)
