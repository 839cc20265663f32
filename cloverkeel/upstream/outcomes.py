"""Interpretation of a host's response: the outcome of the attempt and the load report. No I/O."""

from __future__ import annotations

from typing import Final

from cloverkeel.balancing.events import LoadReport, Outcome
from cloverkeel.simulator.codec import parse_load

from cloverkeel.core.messages import Reply, find_header

STATUS_OK: Final = 200
REJECTION_STATUSES: Final = (503, 504)  # with X-Rejected: 1, the host has not run the request
REJECTED_HEADER: Final = b"x-rejected"
LOAD_REPORT_HEADER: Final = b"x-load-report"
LOAD_REPORT_FORMAT: Final = "TEXT"


def classify_reply(reply: Reply) -> Outcome:
    """Return the outcome of an attempt that got a response."""
    if reply.status == STATUS_OK:
        return Outcome.OK
    if reply.status in REJECTION_STATUSES and find_header(reply.headers, REJECTED_HEADER) == b"1":
        return Outcome.FULL
    return Outcome.ERROR


def parse_load_report(reply: Reply | None) -> LoadReport | None:
    """Return the load report in a response's headers; None if it is missing or malformed."""
    text = find_header(reply.headers, LOAD_REPORT_HEADER) if reply is not None else None
    if text is None:
        return None
    report_format, _, values = text.decode("latin-1").partition(" ")
    if report_format != LOAD_REPORT_FORMAT:
        return None
    try:
        return parse_load(values.replace(" ", "").replace("=", ":"))
    except ValueError:
        return None
