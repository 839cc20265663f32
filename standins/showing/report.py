"""The report of a scenario run: one HTML file without external resources, with tables and SVG plots over time."""

from __future__ import annotations

import html
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import replace

from standins.checker import Violation
from standins.event_log import BackendLoad, EventLog, FaultInjected, OperationStarted
from standins.site import CLASSES
from standins.showing.summary import Summary, quantile, served_latencies, served_in_time

WIDTH, LEFT, RIGHT = 960, 70, 12  # of a plot and its margins, in pixels
CLASS_COLOURS = {"search": "#2b6cb0", "hold": "#b7791f", "transfer": "#9b2c2c"}
STATE_COLOURS = {
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
    """An SVG plot whose horizontal axis is time."""

    def __init__(self, height: int, seconds: float) -> None:
        self.height, self.seconds = height, max(seconds, 0.001)
        self.parts: list[str] = []

    def x(self, second: float) -> float:
        """Return the horizontal position of a time."""
        return LEFT + (WIDTH - LEFT - RIGHT) * min(max(second / self.seconds, 0.0), 1.0)

    def draw_line(self, points: Sequence[tuple[float, float]], colour: str, dash: str = "") -> None:
        """Draw a line through points."""
        path = " ".join(f"{x:.1f},{y:.1f}" for x, y in points)
        dash_attribute = f' stroke-dasharray="{dash}"' if dash else ""
        self.parts.append(
            f'<polyline points="{path}" fill="none" stroke="{colour}" stroke-width="1.6"{dash_attribute}/>'
        )

    def draw_rectangle(self, x: float, y: float, width: float, height: float, colour: str, title: str = "") -> None:
        """Draw a filled rectangle, with a tooltip if it has a title."""
        tooltip = f"<title>{html.escape(title)}</title>" if title else ""
        self.parts.append(
            f'<rect x="{x:.1f}" y="{y:.1f}" width="{max(width, 0.5):.1f}" height="{height:.1f}" fill="{colour}">'
            f"{tooltip}</rect>"
        )

    def draw_text(self, x: float, y: float, text: str, anchor: str = "start") -> None:
        """Draw a text."""
        self.parts.append(f'<text x="{x:.1f}" y="{y:.1f}" text-anchor="{anchor}">{html.escape(text)}</text>')

    def draw_grid_line(self, y: float, label: str) -> None:
        """Draw a horizontal grid line with a label on the left."""
        self.parts.append(f'<line x1="{LEFT}" x2="{WIDTH - RIGHT}" y1="{y:.1f}" y2="{y:.1f}" stroke="#e2e8f0"/>')
        self.draw_text(LEFT - 6, y + 4, label, "end")

    def draw_time_axis(self, faults: Sequence[tuple[float, str]]) -> None:
        """Draw the time axis, and a mark for each injected fault."""
        step = next((s for s in (1, 2, 5, 10, 20, 60) if self.seconds / s <= 12), 120)
        for mark in range(0, int(self.seconds) + 1, step):
            self.draw_text(self.x(mark), self.height - 3, f"{mark} s", "middle")
        for second, text in faults:
            x = self.x(second)
            self.parts.append(
                f'<line x1="{x:.1f}" x2="{x:.1f}" y1="0" y2="{self.height - 16}" stroke="#e53e3e" '
                f'stroke-dasharray="2 3"><title>{html.escape(text)}</title></line>'
            )

    def svg(self) -> str:
        """Return the SVG element."""
        return (
            f'<svg width="{WIDTH}" height="{self.height}" viewBox="0 0 {WIDTH} {self.height}">'
            + "".join(self.parts) + "</svg>"
        )  # fmt: skip


def service_plot(event_log: EventLog, start_us: int, seconds: float, faults: Sequence[tuple[float, str]]) -> str:
    """Return a plot of the share of operations served within their latency objective, by second of their start."""
    plot = Plot(200, seconds)
    bottom, top = 176.0, 12.0
    for share in (0.0, 0.5, 1.0):
        plot.draw_grid_line(bottom - (bottom - top) * share, f"{share:.0%}")
    plot.draw_time_axis(faults)
    served = served_in_time(event_log)
    for name in CLASSES:
        counts_by_second: dict[int, list[int]] = defaultdict(lambda: [0, 0])
        for operation in event_log.events_of(OperationStarted):
            if operation.request_class == name:
                counts = counts_by_second[int((operation.at_us - start_us) / 1e6)]
                counts[0] += 1
                counts[1] += operation.id in served
        points = [
            (plot.x(second + 0.5), bottom - (bottom - top) * served_count / started_count)
            for second, (started_count, served_count) in sorted(counts_by_second.items())
        ]
        plot.draw_line(points, CLASS_COLOURS[name])
    return plot.svg()


def latency_plot(event_log: EventLog, start_us: int, seconds: float, faults: Sequence[tuple[float, str]]) -> str:
    """Return a plot of the median (dashed) and 99th percentile latency of served requests, for each second."""
    plot = Plot(220, seconds)
    bottom, top = 196.0, 12.0
    latencies = served_latencies(event_log)
    max_ms = max([ms for values in latencies.values() for _, ms in values], default=100.0)
    max_ms = next((limit for limit in (100, 200, 500, 1000, 2000, 5000) if limit >= max_ms), max_ms)
    for share in (0.0, 0.5, 1.0):
        plot.draw_grid_line(bottom - (bottom - top) * share, f"{max_ms * share:g} ms")
    plot.draw_time_axis(faults)
    for name, values in latencies.items():
        latencies_by_second: dict[int, list[float]] = defaultdict(list)
        for at_us, ms in values:
            latencies_by_second[int((at_us - start_us) / 1e6)].append(ms)
        for share, dash in ((0.5, "4 3"), (0.99, "")):
            points = [
                (plot.x(second + 0.5), bottom - (bottom - top) * quantile(latencies_ms, share) / max_ms)
                for second, latencies_ms in sorted(latencies_by_second.items())
            ]
            plot.draw_line(points, CLASS_COLOURS[name], dash)
    return plot.svg()


def state_periods(loads: Sequence[BackendLoad], start_us: int) -> list[tuple[float, float, BackendLoad]]:
    """Return the periods, in seconds, in which a backend had one state; it was down if a second has no sample."""
    periods: list[tuple[float, float, BackendLoad]] = []
    for load in loads:
        second = (load.at_us - start_us) / 1e6
        if periods and second - periods[-1][1] > 1.0:
            periods.append((periods[-1][1], second, replace(load, state="down")))
        if periods and periods[-1][2].state == load.state:
            periods[-1] = (periods[-1][0], second, periods[-1][2])
        else:
            periods.append((periods[-1][1] if periods else second, second, load))
    return periods


def backends_plot(event_log: EventLog, start_us: int, seconds: float, faults: Sequence[tuple[float, str]]) -> str:
    """Return a plot with a row per backend: its state as colour, its running and waiting requests as a line."""
    loads_by_backend: dict[str, list[BackendLoad]] = defaultdict(list)
    for load in event_log.events_of(BackendLoad):
        loads_by_backend[load.backend].append(load)
    row_height = 34
    plot = Plot(row_height * len(loads_by_backend) + 20, seconds)
    max_requests = (
        max((load.running + load.waiting for loads in loads_by_backend.values() for load in loads), default=1) or 1
    )
    for number, (backend, loads) in enumerate(sorted(loads_by_backend.items())):
        top = number * row_height + 3
        plot.draw_text(LEFT - 6, top + 18, backend, "end")
        for since, until, load in state_periods(loads, start_us):
            title = (
                f"{backend} {load.state}" if load.state == "down" else f"{backend} {load.state}, {load.capacity:.0%}"
            )
            colour = STATE_COLOURS.get(load.state, "#fff")
            plot.draw_rectangle(plot.x(since), top, plot.x(until) - plot.x(since), row_height - 6, colour, title)
        points = [
            (
                plot.x((load.at_us - start_us) / 1e6),
                top + row_height - 6 - (row_height - 8) * (load.running + load.waiting) / max_requests,
            )
            for load in loads
        ]
        plot.draw_line(points, "#2d3748")
    plot.draw_time_axis(faults)
    return plot.svg()


def legend(colours: dict[str, str]) -> str:
    """Return a legend of colours by label."""
    spans = (f'<span><i style="background:{colour}"></i>{name}</span>' for name, colour in colours.items())
    return f'<p class="key">{"".join(spans)}</p>'


def class_table(summary: Summary) -> str:
    """Return the table of the figures by request class."""
    rows = []
    for name, figures in summary.classes.items():
        statuses = ", ".join(f"{status}: {count}" for status, count in figures.statuses.items())
        cells = (
            name, str(figures.wanted), f"{figures.service:.1%}", f"{figures.p50:.0f}", f"{figures.p90:.0f}",
            f"{figures.p99:.0f}", f"{figures.longest:.0f}", f"{figures.attempts:.2f}", statuses,
        )  # fmt: skip
        rows.append("<tr>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in cells) + "</tr>")
    headings = ("class", "wanted", "in time", "p50 ms", "p90", "p99", "longest", "attempts", "responses")
    return "<table><tr>" + "".join(f"<th>{cell}</th>" for cell in headings) + "</tr>" + "".join(rows) + "</table>"


def render(event_log: EventLog, summary: Summary, violations: Sequence[Violation], about: str) -> str:
    """Return the page."""
    operation_starts_us = [operation.at_us for operation in event_log.events_of(OperationStarted)]
    start_us = min(operation_starts_us, default=0)
    faults = [((fault.at_us - start_us) / 1e6, fault.text) for fault in event_log.events_of(FaultInjected)]
    seconds = max(summary.seconds, max(operation_starts_us, default=0) / 1e6 - start_us / 1e6)
    rule_rows = "".join(
        f'<tr><td>{rule}</td><td class="{"broken" if count else "kept"}">'
        f"{f'{count} violations' if count else 'kept'}</td></tr>"
        for rule, count in summary.breaches.items()
    )
    plot_arguments = (event_log, start_us, seconds, faults)
    parts = [
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{html.escape(summary.scenario)}</title>",
        f"<style>{STYLE}</style><h1>{html.escape(summary.scenario)}</h1><p>{html.escape(about)}. "
        f"Seed {summary.seed}, {summary.seconds:g} s, service by worth <b>{summary.service:.1%}</b>.</p>",
        "<h2>Rules</h2><table>", rule_rows, "</table><h2>Service and latency</h2>", class_table(summary),
        f"<p>At most {summary.connections:.0f} connections at a backend, {summary.memory_mib:.1f} MiB and "
        f"{summary.descriptors} descriptors in a gateway; {summary.cpu_us:.0f} µs of CPU per request; "
        f"{summary.restarts} restarts; {summary.rude} misbehaving clients, of which "
        f"{summary.rude_owed} got neither an error nor a close in time.</p>",
        "<h2>Operations served within the latency objective, by second</h2>", legend(CLASS_COLOURS),
        service_plot(*plot_arguments),
        "<h2>Latency of served requests: median (dashed) and 99th percentile</h2>", latency_plot(*plot_arguments),
        "<h2>Backends: state, and number of requests</h2>", legend(STATE_COLOURS),
        backends_plot(*plot_arguments), "<h2>Injected faults</h2><pre>",
        html.escape("\n".join(f"{second:7.2f} s  {text}" for second, text in faults) or "none"), "</pre>",
    ]  # fmt: skip
    if violations:
        parts += [
            "<h2>Violations</h2><pre>",
            html.escape("\n\n".join(str(violation) for violation in violations[:50])),
            "</pre>",
        ]
    return "".join(parts) + "</html>\n"
