"""One HTML file of a play, which opens offline: tables, and plots over time drawn as SVG."""

from __future__ import annotations

import html
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import replace

from standins.checker import Violation
from standins.event_log import BackendLoad, EventLog, FaultInjected, OperationStarted
from standins.site import CLASSES
from standins.showing.summary import Summary, latencies, quantile, served_in_time

WIDTH, LEFT, RIGHT = 960, 70, 12
COLOURS = {"search": "#2b6cb0", "hold": "#b7791f", "transfer": "#9b2c2c"}
STATES = {
    "up": "#9ae6b4", "cold": "#90cdf4", "drain": "#d6bcfa", "bad": "#fbd38d", "hang": "#f6ad55",
    "silent": "#718096", "down": "#e2e8f0", "fell": "#e53e3e",
}  # fmt: skip
STYLE = """
body { font: 14px/1.45 system-ui, sans-serif; margin: 2em auto; max-width: 1000px; color: #1a202c }
h1 { font-size: 1.5em; margin-bottom: .1em } h2 { font-size: 1.1em; margin-top: 1.8em }
table { border-collapse: collapse } th, td { padding: .25em .8em; text-align: right;
 border-bottom: 1px solid #e2e8f0 }
th:first-child, td:first-child { text-align: left } th { font-weight: 600; background: #f7fafc }
.kept { color: #276749 } .broken { color: #9b2c2c; font-weight: 600 }
pre { background: #f7fafc; padding: .8em; overflow-x: auto; font-size: 12px }
svg { display: block; margin: .4em 0 } text { font: 11px system-ui, sans-serif; fill: #4a5568 }
.key span { display: inline-block; margin-right: 1.2em } .key i { display: inline-block; width: 1em; height: .7em;
 margin-right: .35em }
"""


class Plot:
    """One SVG with time along the bottom."""

    def __init__(self, height: int, seconds: float) -> None:
        self.height, self.seconds = height, max(seconds, 0.001)
        self.parts: list[str] = []

    def x(self, second: float) -> float:
        return LEFT + (WIDTH - LEFT - RIGHT) * min(max(second / self.seconds, 0.0), 1.0)

    def line(self, points: Sequence[tuple[float, float]], colour: str, dash: str = "") -> None:
        path = " ".join(f"{x:.1f},{y:.1f}" for x, y in points)
        dashed = f' stroke-dasharray="{dash}"' if dash else ""
        self.parts.append(f'<polyline points="{path}" fill="none" stroke="{colour}" stroke-width="1.6"{dashed}/>')

    def rect(self, x: float, y: float, width: float, height: float, colour: str, title: str = "") -> None:
        about = f"<title>{html.escape(title)}</title>" if title else ""
        self.parts.append(
            f'<rect x="{x:.1f}" y="{y:.1f}" width="{max(width, 0.5):.1f}" height="{height:.1f}" fill="{colour}">'
            f"{about}</rect>"
        )

    def text(self, x: float, y: float, text: str, anchor: str = "start") -> None:
        self.parts.append(f'<text x="{x:.1f}" y="{y:.1f}" text-anchor="{anchor}">{html.escape(text)}</text>')

    def rule(self, y: float, text: str) -> None:
        self.parts.append(f'<line x1="{LEFT}" x2="{WIDTH - RIGHT}" y1="{y:.1f}" y2="{y:.1f}" stroke="#e2e8f0"/>')
        self.text(LEFT - 6, y + 4, text, "end")

    def times(self, troubles: Sequence[tuple[float, str]]) -> None:
        """The time along the bottom, and a mark for each trouble."""
        step = next((s for s in (1, 2, 5, 10, 20, 60) if self.seconds / s <= 12), 120)
        for mark in range(0, int(self.seconds) + 1, step):
            self.text(self.x(mark), self.height - 3, f"{mark} s", "middle")
        for second, text in troubles:
            x = self.x(second)
            self.parts.append(
                f'<line x1="{x:.1f}" x2="{x:.1f}" y1="0" y2="{self.height - 16}" stroke="#e53e3e" '
                f'stroke-dasharray="2 3"><title>{html.escape(text)}</title></line>'
            )

    def svg(self) -> str:
        return (
            f'<svg width="{WIDTH}" height="{self.height}" viewBox="0 0 {WIDTH} {self.height}">'
            + "".join(self.parts) + "</svg>"
        )  # fmt: skip


def service_plot(ledger: EventLog, start_us: int, seconds: float, troubles: Sequence[tuple[float, str]]) -> str:
    """Share answered within the aim, for each second in which it was wanted."""
    plot = Plot(200, seconds)
    bottom, top = 176.0, 12.0
    for share in (0.0, 0.5, 1.0):
        plot.rule(bottom - (bottom - top) * share, f"{share:.0%}")
    plot.times(troubles)
    served = served_in_time(ledger)
    for name in CLASSES:
        bins: dict[int, list[int]] = defaultdict(lambda: [0, 0])
        for want in ledger.events_of(OperationStarted):
            if want.request_class == name:
                one = bins[int((want.at_us - start_us) / 1e6)]
                one[0] += 1
                one[1] += want.id in served
        points = [
            (plot.x(second + 0.5), bottom - (bottom - top) * good / asked)
            for second, (asked, good) in sorted(bins.items())
        ]
        plot.line(points, COLOURS[name])
    return plot.svg()


def latency_plot(ledger: EventLog, start_us: int, seconds: float, troubles: Sequence[tuple[float, str]]) -> str:
    """Median (dashed) and 99th percentile of served tries, for each second."""
    plot = Plot(220, seconds)
    bottom, top = 196.0, 12.0
    times = latencies(ledger)
    most = max([ms for values in times.values() for _, ms in values], default=100.0)
    most = next((limit for limit in (100, 200, 500, 1000, 2000, 5000) if limit >= most), most)
    for share in (0.0, 0.5, 1.0):
        plot.rule(bottom - (bottom - top) * share, f"{most * share:g} ms")
    plot.times(troubles)
    for name, values in times.items():
        bins: dict[int, list[float]] = defaultdict(list)
        for at_us, ms in values:
            bins[int((at_us - start_us) / 1e6)].append(ms)
        for share, dash in ((0.5, "4 3"), (0.99, "")):
            points = [
                (plot.x(second + 0.5), bottom - (bottom - top) * quantile(found, share) / most)
                for second, found in sorted(bins.items())
            ]
            plot.line(points, COLOURS[name], dash)
    return plot.svg()


def spells(loads: Sequence[BackendLoad], start_us: int) -> list[tuple[float, float, BackendLoad]]:
    """Stretches of one state, in seconds; where a box was not looked at for a second, it was down."""
    found: list[tuple[float, float, BackendLoad]] = []
    for load in loads:
        second = (load.at_us - start_us) / 1e6
        if found and second - found[-1][1] > 1.0:
            found.append((found[-1][1], second, replace(load, state="down")))
        if found and found[-1][2].state == load.state:
            found[-1] = (found[-1][0], second, found[-1][2])
        else:
            found.append((found[-1][1] if found else second, second, load))
    return found


def boxes_plot(ledger: EventLog, start_us: int, seconds: float, troubles: Sequence[tuple[float, str]]) -> str:
    """Each box's state as colour, and what it holds (running and waiting) as a line."""
    by_box: dict[str, list[BackendLoad]] = defaultdict(list)
    for load in ledger.events_of(BackendLoad):
        by_box[load.backend].append(load)
    row = 34
    plot = Plot(row * len(by_box) + 20, seconds)
    most = max((load.running + load.waiting for loads in by_box.values() for load in loads), default=1) or 1
    for number, (box, loads) in enumerate(sorted(by_box.items())):
        top = number * row + 3
        plot.text(LEFT - 6, top + 18, box, "end")
        for since, until, load in spells(loads, start_us):
            title = f"{box} {load.state}" if load.state == "down" else f"{box} {load.state}, {load.capacity:.0%}"
            colour = STATES.get(load.state, "#fff")
            plot.rect(plot.x(since), top, plot.x(until) - plot.x(since), row - 6, colour, title)
        points = [
            (plot.x((load.at_us - start_us) / 1e6), top + row - 6 - (row - 8) * (load.running + load.waiting) / most)
            for load in loads
        ]
        plot.line(points, "#2d3748")
    plot.times(troubles)
    return plot.svg()


def key(colours: dict[str, str]) -> str:
    spans = (f'<span><i style="background:{colour}"></i>{name}</span>' for name, colour in colours.items())
    return f'<p class="key">{"".join(spans)}</p>'


def table(summary: Summary) -> str:
    rows = []
    for name, one in summary.classes.items():
        said = ", ".join(f"{status}: {count}" for status, count in one.statuses.items())
        cells = (
            name, str(one.wanted), f"{one.service:.1%}", f"{one.p50:.0f}", f"{one.p90:.0f}", f"{one.p99:.0f}",
            f"{one.longest:.0f}", f"{one.attempts:.2f}", said,
        )  # fmt: skip
        rows.append("<tr>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in cells) + "</tr>")
    head = ("class", "wanted", "in time", "p50 ms", "p90", "p99", "longest", "attempts", "answers")
    return "<table><tr>" + "".join(f"<th>{cell}</th>" for cell in head) + "</tr>" + "".join(rows) + "</table>"


def render(ledger: EventLog, summary: Summary, breaches: Sequence[Violation], about: str) -> str:
    """The whole page."""
    starts = [want.at_us for want in ledger.events_of(OperationStarted)]
    start_us = min(starts, default=0)
    troubles = [((trouble.at_us - start_us) / 1e6, trouble.text) for trouble in ledger.events_of(FaultInjected)]
    seconds = max(summary.seconds, max(starts, default=0) / 1e6 - start_us / 1e6)
    verdicts = "".join(
        f'<tr><td>{rule}</td><td class="{"broken" if count else "kept"}">'
        f"{f'{count} breaches' if count else 'kept'}</td></tr>"
        for rule, count in summary.breaches.items()
    )
    plots = (ledger, start_us, seconds, troubles)
    parts = [
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{html.escape(summary.scenario)}</title>",
        f"<style>{STYLE}</style><h1>{html.escape(summary.scenario)}</h1><p>{html.escape(about)}. "
        f"Seed {summary.seed}, {summary.seconds:g} s, service by worth <b>{summary.service:.1%}</b>.</p>",
        "<h2>Rules</h2><table>", verdicts, "</table><h2>Service and latency</h2>", table(summary),
        f"<p>At the most {summary.connections:.0f} connections at a box, {summary.memory_mib:.1f} MiB and "
        f"{summary.descriptors} descriptors in a gateway; {summary.cpu_us:.0f} µs of CPU a try; "
        f"{summary.restarts} restarts; {summary.rude} clients that broke the protocol, of which "
        f"{summary.rude_owed} got neither an error nor a close in time.</p>",
        "<h2>Answered within the aim, by second</h2>", key(COLOURS), service_plot(*plots),
        "<h2>Latency of what was served: median (dashed) and 99th percentile</h2>", latency_plot(*plots),
        "<h2>Boxes: state, and what each holds</h2>", key(STATES), boxes_plot(*plots), "<h2>Troubles</h2><pre>",
        html.escape("\n".join(f"{second:7.2f} s  {text}" for second, text in troubles) or "none"), "</pre>",
    ]  # fmt: skip
    if breaches:
        parts += ["<h2>Breaches</h2><pre>", html.escape("\n\n".join(str(b) for b in breaches[:50])), "</pre>"]
    return "".join(parts) + "</html>\n"
