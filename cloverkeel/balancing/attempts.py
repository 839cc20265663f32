"""State of requests in flight and of their attempts."""

from __future__ import annotations

from cloverkeel.balancing.endpoints import Endpoint


class Attempt:
    """Attempt of a request at one server."""

    __slots__ = (
        "class_probe_episode",
        "deadline_us",
        "has_ended",
        "is_overdue",
        "may_have_run",
        "probe_episode",
        "sent_us",
        "server",
    )

    def __init__(
        self, server: Endpoint, sent_us: int, deadline_us: int, probe_episode: int, class_probe_episode: int
    ) -> None:
        self.server = server
        self.sent_us = sent_us
        self.deadline_us = deadline_us  # the caller ends the attempt by this time
        self.probe_episode = probe_episode  # half-open episode of the server's breaker; 0 if the attempt is no probe
        self.class_probe_episode = class_probe_episode  # the same for the breaker of the class at the server
        self.has_ended = False
        self.may_have_run = True
        self.is_overdue = False


class Request:
    """Request, kept from its arrival until it is answered and none of its attempts is in flight."""

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
        "key_blocked_until_us",
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
        self.deadline_us = deadline_us  # when the client times out (absolute)
        self.objective_us = objective_us  # end of the latency objective (absolute)
        self.size = size  # expected work, as a multiple of its class's mean
        self.is_first_try = is_first_try
        self.overuse = overuse  # probability of shedding because the tenant exceeds its share; negative if within
        self.attempts: list[Attempt] = []
        self.in_flight = 0  # number of attempts that have not ended
        self.is_answered = False  # True also if the client has disconnected
        self.is_streaming = False
        # In-order classes: the next request of the key waits until then, as an attempt may still be running.
        self.key_blocked_until_us = 0

    def may_have_run(self) -> bool:
        """Return whether a server may have run any attempt."""
        return any(attempt.may_have_run for attempt in self.attempts)
