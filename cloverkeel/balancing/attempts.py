"""Requests in flight and their attempts: state that the balancer keeps of each."""

from __future__ import annotations

from cloverkeel.balancing.endpoints import Endpoint


class Attempt:
    """One attempt of a request at one server."""

    __slots__ = (
        "class_probe_episode",
        "end_us",
        "has_ended",
        "is_overdue",
        "may_have_run",
        "probe_episode",
        "sent_us",
        "server",
    )

    def __init__(
        self, server: Endpoint, sent_us: int, end_us: int, probe_episode: int, class_probe_episode: int
    ) -> None:
        self.server = server
        self.sent_us = sent_us
        self.end_us = end_us  # when whoever carries it out stops waiting, at the latest
        self.probe_episode = probe_episode  # of the server's breaker: 0 for an ordinary attempt
        self.class_probe_episode = class_probe_episode  # the same of its class's breaker
        self.has_ended = False
        self.may_have_run = True
        self.is_overdue = False


class Request:
    """One request from its arrival until no attempt of it is out."""

    __slots__ = (
        "attempts",
        "class_index",
        "deadline_us",
        "id_",
        "in_flight",
        "is_answered",
        "is_first_try",
        "is_streaming",
        "key",
        "key_rests_until_us",
        "objective_us",
        "overuse",
        "size",
    )

    def __init__(
        self,
        id_: str,
        class_index: int,
        key: int | None,
        deadline_us: int,
        objective_us: int,
        size: float,
        is_first_try: bool,
        overuse: float,
    ) -> None:
        self.id_ = id_
        self.class_index = class_index
        self.key = key
        self.deadline_us = deadline_us  # the client leaves
        self.objective_us = objective_us  # the latency objective, as an absolute time
        self.size = size  # expected work over the class's mean
        self.is_first_try = is_first_try
        self.overuse = overuse  # part of its tenant's requests that is beyond the tenant's share
        self.attempts: list[Attempt] = []
        self.in_flight = 0  # attempts that have not ended
        self.is_answered = False  # or needs no answer any more
        self.is_streaming = False
        self.key_rests_until_us = 0  # in order: the next of its key waits, as an attempt may still be running

    def may_have_run(self) -> bool:
        """Tell whether any attempt may have run."""
        return any(attempt.may_have_run for attempt in self.attempts)
