"""Load shedding: which requests are refused before they use any server time.

A shed ratio is the part of the requested work that is refused. There are two, one for classes of low priority and
one for all others. Both rise after an answer that waited too long and fall after a prompt one. Classes of low
priority are shed at shorter waits, the others only at waits that leave too little of the latency objective.

Guards against queues that grow until no request meets its objective. The classes with the least gain for the
operator's goal per unit of work are shed first.

Invariant: without an answer that shows an overload, both ratios are 0 within RELEASE_DELAY_US and 1 / RELEASE_PER_S.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

from cloverkeel.balancing.client_timeouts import ClientTimeouts
from cloverkeel.balancing.events import AttemptEnded, Outcome
from cloverkeel.balancing.latency_model import OVERDUE_FACTOR, LatencyModel
from cloverkeel.balancing.settings import RequestClass, Settings

if TYPE_CHECKING:
    from cloverkeel.balancing.attempts import Attempt, Request

TOLERATED_WAIT_RATIO: Final = 0.25  # of the slack before the objective: longer waits shed low priority
LOW_PRIORITY_WEIGHT_RATIO: Final = 0.5  # of the mean priority weight per work; classes below it are of low priority
OVERLOAD_WAIT_RATIO: Final = 0.4  # of the slack: longer waits leave too little for a long request
# An answer slower than this factor times the unloaded latency means overload, whatever the objective. The factor is
# lower if clients state sizes, as latency varies less by chance then.
OVERLOAD_FACTOR: Final = 2.25
OVERLOAD_FACTOR_SIZED: Final = 1.6
SHED_STEP: Final = 0.1  # change of a shed ratio after one answer at the usual rate of answers
MIN_SHED_STEP: Final = 0.01  # per answer, at a high rate of answers
SHED_STEP_PER_S: Final = 2.0  # per second since the last answer, up to SHED_STEP
MIN_SHED_STEP_PER_S: Final = 0.4  # per second since the last answer, also beyond SHED_STEP
MAX_ANSWER_GAP_US: Final = 500_000  # longer gaps count as this: a single slow answer under low load may be chance
MAX_SHED_RATIO: Final = 0.95  # answers to the requests still admitted show when to shed less
RELEASE_DELAY_US: Final = 500_000  # after the last answer; from then on the ratios fall without any
RELEASE_PER_S: Final = 0.4
MIN_TIMEOUT_RATIO: Final = 0.5  # of the unloaded latency: a try with less time left is refused
CLASSIFY_INTERVAL: Final = 16  # first tries after which classes are classified by priority again
MAX_COUNTED_FIRST_TRIES: Final = 500  # above it the counts of requested and served first tries are halved


class LoadShedder:
    """The shed ratios, and the counts by class that determine the priorities."""

    def __init__(
        self, settings: Settings, rng: random.Random, latency: LatencyModel, client_timeouts: ClientTimeouts
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.latency = latency
        self.client_timeouts = client_timeouts
        count = len(settings.classes)
        self.requested = [0.0] * count  # recent first tries, by class
        self.served = [0.0] * count  # recent first tries answered within their objective, by class
        self.is_low_priority = [False] * count
        self.first_tries_since_classified = 0
        self.low_priority_ratio = 0.0
        self.high_priority_ratio = 0.0
        self.adjusted_at_us = 0
        self.released_at_us = 0  # up to when the ratios have been lowered for lack of answers

    def record_first_try(self, class_index: int) -> None:
        """Count a request that is not a retry."""
        self.requested[class_index] += 1
        self.first_tries_since_classified += 1
        if self.first_tries_since_classified >= CLASSIFY_INTERVAL:
            self.first_tries_since_classified = 0
            self.is_low_priority = self.classify()
        if sum(self.requested) > MAX_COUNTED_FIRST_TRIES:
            self.requested = [count / 2 for count in self.requested]
            self.served = [count / 2 for count in self.served]

    def record_served(self, class_index: int) -> None:
        """Count a first try that was answered within its objective."""
        self.served[class_index] += 1

    def release(self, now_us: int) -> None:
        """Lower the ratios by the time without any answer.

        Guards against ratios that stay high after an overload: while most requests are shed, few answers come that
        could lower them, and none at all if no requests come.
        """
        if self.low_priority_ratio <= 0.0 and self.high_priority_ratio <= 0.0:
            return
        since_us = max(self.released_at_us, self.adjusted_at_us + RELEASE_DELAY_US)
        if now_us <= since_us:
            return
        self.released_at_us = now_us
        change = -RELEASE_PER_S * (now_us - since_us) / 1e6
        self.low_priority_ratio = _adjusted(self.low_priority_ratio, change)
        self.high_priority_ratio = _adjusted(self.high_priority_ratio, change)

    def should_shed(self, now_us: int, request: Request) -> bool:
        """Return whether to refuse a request now."""
        self.release(now_us)
        if self.settings.classes[request.class_index].late_weight <= 0.0 and now_us >= request.objective_us:
            return True  # a retry past its objective has no value
        if not self.client_timeouts.is_regular(request.class_index):
            unloaded_us = self.latency.expected_unloaded_us(request.class_index, request.size)
            if request.deadline_us - now_us < MIN_TIMEOUT_RATIO * unloaded_us:
                return True
        if self.low_priority_ratio <= 0.0 and self.high_priority_ratio <= 0.0:
            return False
        if self.rng.random() < request.overuse:
            return True
        return self._draw_shed(request.class_index)

    def _draw_shed(self, class_index: int) -> bool:
        """Draw whether to shed a request of a class.

        All requested work is ordered by priority, lowest first, on a scale from 0 to 1. The request gets a random
        position in the range of its class, and is shed if that position is below the shed ratio.
        """
        weights = self.priority_weights()
        own_weight = weights[class_index]
        work = self._requested_work()
        total = sum(work) or 1.0
        below = sum(share for share, weight in zip(work, weights, strict=True) if weight < own_weight) / total
        position = below + work[class_index] / total * self.rng.random()
        mean = sum(share * weight for share, weight in zip(work, weights, strict=True)) / total
        if self.rng.random() > MAX_SHED_RATIO:
            # Some requests of each class are admitted: otherwise a class could no longer probe recovering servers.
            return False
        return position < (
            self.low_priority_ratio if own_weight < LOW_PRIORITY_WEIGHT_RATIO * mean else self.high_priority_ratio
        )

    def classify(self) -> list[bool]:
        """Return by class whether it is of low priority: its weight per work is far below the overall mean."""
        weights = self.priority_weights()
        work = self._requested_work()
        total = sum(work) or 1.0
        mean = sum(share * weight for share, weight in zip(work, weights, strict=True)) / total
        return [weight < LOW_PRIORITY_WEIGHT_RATIO * mean for weight in weights]

    def _requested_work(self) -> list[float]:
        """Return the server time that recent first tries requested, by class."""
        return [count * us for count, us in zip(self.requested, self.latency.unloaded_us, strict=True)]

    def priority_weights(self) -> list[float]:
        """Return the gain for the operator's goal per unit of server time, by class."""
        goal, classes = self.settings.goal, self.settings.classes
        total = sum(self.requested) or 1.0
        mean = sum(c.priority_weight * count for c, count in zip(classes, self.requested, strict=True)) / total or 1.0
        fractions = [s / count if count else 1.0 for s, count in zip(self.served, self.requested, strict=True)]
        worst = min(fractions)
        weights = []
        for index, class_ in enumerate(classes):
            gain = (goal.overall + goal.worst_window) * class_.priority_weight / mean
            if fractions[index] == worst and self.requested[index]:
                gain += goal.worst_class * total / self.requested[index]
            weights.append(gain / (1.0 if self.settings.weight_by_work else self.latency.unloaded_us[index]))
        return weights

    def record_outcome(self, now_us: int, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
        """Adjust both ratios by an answer, a timeout or a rejection by an overloaded server."""
        if event.outcome not in (Outcome.OK, Outcome.TIMEOUT, Outcome.FULL):
            return
        class_ = self.settings.classes[request.class_index]
        class_unloaded_us = self.latency.unloaded_us[request.class_index]
        unloaded_us = self.latency.expected_unloaded_us(request.class_index, request.size)
        waited_us = event.latency_us - unloaded_us
        is_failure = event.outcome is not Outcome.OK
        step = self._step(now_us)
        is_delayed = is_failure or waited_us > TOLERATED_WAIT_RATIO * (class_.objective_us - class_unloaded_us)
        self.low_priority_ratio = _adjusted(self.low_priority_ratio, step if is_delayed else -step)
        slack_us = max(0.0, class_.objective_us - class_unloaded_us)
        sizes_vary = self.latency.by_size[request.class_index].sizes_vary()
        factor = OVERLOAD_FACTOR_SIZED if sizes_vary else OVERLOAD_FACTOR
        is_overloaded = is_failure or waited_us > min((factor - 1.0) * unloaded_us, OVERLOAD_WAIT_RATIO * slack_us)
        change = step if is_overloaded else -step
        if event.outcome is Outcome.TIMEOUT and self._may_be_connection_loss(class_, request, attempt, event):
            change = step / 4
        self.high_priority_ratio = _adjusted(self.high_priority_ratio, change)

    def _step(self, now_us: int) -> float:
        """Return the change of the ratios for one answer, from the time since the last one.

        At a low rate of answers overload must be noticed as soon as at a high one. At a high rate, a few answers that
        waited for new connections must not shed nearly everything.
        """
        gap_s = min(now_us - self.adjusted_at_us, MAX_ANSWER_GAP_US) / 1e6
        self.adjusted_at_us = now_us
        return max(MIN_SHED_STEP, min(SHED_STEP, SHED_STEP_PER_S * gap_s), MIN_SHED_STEP_PER_S * gap_s)

    def _may_be_connection_loss(
        self, class_: RequestClass, request: Request, attempt: Attempt, event: AttemptEnded
    ) -> bool:
        """Return whether a timeout is as likely due to a lost connection as to overload.

        True if the attempt timed out at its objective before it was overdue, and its server has not answered
        anything since the attempt was sent.
        """
        overdue_us = OVERDUE_FACTOR * self.latency.expected_us(request.class_index, request.size)
        is_cut_short = class_.late_weight <= 0.0 and event.latency_us < overdue_us
        return is_cut_short and attempt.server.answered_at_us < attempt.sent_us


def _adjusted(ratio: float, change: float) -> float:
    """Return a shed ratio plus a change, clamped to its bounds."""
    return min(MAX_SHED_RATIO, max(0.0, ratio + change))
