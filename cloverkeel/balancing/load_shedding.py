"""Load shedding: which requests are refused before they cost a server anything.

Two ratios of the work that is asked for are shed, one of the classes of low priority and one of all others. Both
follow the answers: more after one that waited too long, less after a prompt one. Classes of low priority yield to
waiting; the others only to waits that leave too little of the latency objective.

Guards against queues that grow past every objective: what gains the goal least for its work goes first.
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

TOLERATED_WAIT: Final = 0.25  # share of the slack under the tightest objective that an answer may have waited
LOW_PRIORITY: Final = 0.5  # of the mean priority weight for work: classes below it are of low priority
LATE_WAIT: Final = 0.4  # of that slack: waits that leave too little for a long request
# Times the unloaded latency: answers of crowded servers, whatever the objective; sooner where sizes are stated, as
# less of an answer's time is left to chance then.
CROWDED_FACTOR: Final = 2.25
CROWDED_FACTOR_SIZED: Final = 1.6
SHED_STEP: Final = 0.1  # of the work asked for, shed more or less after one answer at the usual pace
MIN_SHED_STEP: Final = 0.01  # where many answers come
SHED_STEP_PER_S: Final = 2.0  # the same for each second since the last answer
MIN_SHED_STEP_PER_S: Final = 0.4  # the same for each second since the last answer, where that makes it more
MAX_ANSWER_GAP_US: Final = 500_000  # one answer speaks for no longer: one long one on a quiet day is chance
MAX_SHED_RATIO: Final = 0.95  # what still comes through tells when to shed less
HOPELESS_RATIO: Final = 0.5  # of the unloaded latency: a try that is given less is not sent
PRIORITY_INTERVAL: Final = 16  # first tries after which it is found anew what is of low priority
MAX_COUNTED_FIRST_TRIES: Final = 500  # first tries after which the counts of requests and of served ones are halved


class LoadShedder:
    """Hold the shed ratios, and the counts by class from which priorities follow."""

    def __init__(
        self, settings: Settings, rng: random.Random, latency: LatencyModel, client_timeouts: ClientTimeouts
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.latency = latency
        self.client_timeouts = client_timeouts
        count = len(settings.classes)
        self.requested = [0.0] * count  # first tries of late
        self.served = [0.0] * count  # those of them that were answered within their objective
        self.is_low_priority = [False] * count
        self.since_classified = 0
        self.low_priority_ratio = 0.0
        self.high_priority_ratio = 0.0
        self.adjusted_at_us = 0

    def record_first_try(self, class_index: int) -> None:
        """Count a request that is no retry."""
        self.requested[class_index] += 1
        self.since_classified += 1
        if self.since_classified >= PRIORITY_INTERVAL:
            self.since_classified = 0
            self.is_low_priority = self.classify()
        if sum(self.requested) > MAX_COUNTED_FIRST_TRIES:
            self.requested = [count / 2 for count in self.requested]
            self.served = [count / 2 for count in self.served]

    def record_served(self, class_index: int) -> None:
        """Count a first try that was answered within its objective."""
        self.served[class_index] += 1

    def should_shed(self, now_us: int, request: Request) -> bool:
        """Tell whether to refuse a request now."""
        if self.settings.classes[request.class_index].late_weight <= 0.0 and now_us >= request.objective_us:
            return True  # a retry whose objective is over earns nothing
        if not self.client_timeouts.is_regular(request.class_index):
            unloaded_us = self.latency.expected_unloaded_us(request.class_index, request.size)
            if request.deadline_us - now_us < HOPELESS_RATIO * unloaded_us:
                return True
        if self.low_priority_ratio <= 0.0 and self.high_priority_ratio <= 0.0:
            return False
        if self.rng.random() < request.overuse:
            return True
        return self._is_drawn(request.class_index)

    def _is_drawn(self, class_index: int) -> bool:
        """Draw a request's place among all work by its priority; tell whether that place is shed."""
        weights = self.priority_weights()
        own_weight = weights[class_index]
        work = self._requested_work()
        total = sum(work) or 1.0
        below = sum(share for share, weight in zip(work, weights, strict=True) if weight < own_weight) / total
        place = below + work[class_index] / total * self.rng.random()
        mean = sum(share * weight for share, weight in zip(work, weights, strict=True)) / total
        if self.rng.random() > MAX_SHED_RATIO:
            return False  # some of each class: shed completely, none would be left to probe servers that come back
        return place < (self.low_priority_ratio if own_weight < LOW_PRIORITY * mean else self.high_priority_ratio)

    def classify(self) -> list[bool]:
        """Return which classes are of low priority: worth far less for their work than the mean of all requests."""
        weights = self.priority_weights()
        work = self._requested_work()
        total = sum(work) or 1.0
        mean = sum(share * weight for share, weight in zip(work, weights, strict=True)) / total
        return [weight < LOW_PRIORITY * mean for weight in weights]

    def _requested_work(self) -> list[float]:
        """Return the server time that the requests of each class ask for."""
        return [count * us for count, us in zip(self.requested, self.latency.unloaded_us, strict=True)]

    def priority_weights(self) -> list[float]:
        """Return what the goal gains from each unit of server time, by class."""
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
        """Adjust both ratios by an answer, or by a sign that a server is crowded."""
        if event.outcome not in (Outcome.OK, Outcome.TIMEOUT, Outcome.FULL):
            return
        class_ = self.settings.classes[request.class_index]
        class_unloaded_us = self.latency.unloaded_us[request.class_index]
        unloaded_us = self.latency.expected_unloaded_us(request.class_index, request.size)
        waited_us = event.latency_us - unloaded_us
        is_failure = event.outcome is not Outcome.OK
        step = self._step(now_us)
        is_long = is_failure or waited_us > TOLERATED_WAIT * (class_.objective_us - class_unloaded_us)
        self.low_priority_ratio = _moved(self.low_priority_ratio, step if is_long else -step)
        slack_us = max(0.0, class_.objective_us - class_unloaded_us)
        has_sizes = self.latency.by_size[request.class_index].has_sizes()
        factor = CROWDED_FACTOR_SIZED if has_sizes else CROWDED_FACTOR
        is_late = is_failure or waited_us > min((factor - 1.0) * unloaded_us, LATE_WAIT * slack_us)
        change = step if is_late else -step
        if event.outcome is Outcome.TIMEOUT and self._is_lost(class_, request, attempt, event):
            change = step / 4
        self.high_priority_ratio = _moved(self.high_priority_ratio, change)

    def _step(self, now_us: int) -> float:
        """Return how far one answer moves the ratios, by the time since the last one.

        With few answers a jam must be noticed as soon as with many. With many, a handful that waits for new
        connections must not shed nearly everything.
        """
        gap_s = min(now_us - self.adjusted_at_us, MAX_ANSWER_GAP_US) / 1e6
        self.adjusted_at_us = now_us
        return max(MIN_SHED_STEP, min(SHED_STEP, SHED_STEP_PER_S * gap_s), MIN_SHED_STEP_PER_S * gap_s)

    def _is_lost(self, class_: RequestClass, request: Request, attempt: Attempt, event: AttemptEnded) -> bool:
        """Tell whether a time-out is as likely a lost connection as a crowd: cut short, and its server silent."""
        overdue_us = OVERDUE_FACTOR * self.latency.expected_us(request.class_index, request.size)
        is_cut_short = class_.late_weight <= 0.0 and event.latency_us < overdue_us
        return is_cut_short and attempt.server.answered_at_us < attempt.sent_us


def _moved(ratio: float, change: float) -> float:
    """Return a shed ratio that is moved within its bounds."""
    return min(MAX_SHED_RATIO, max(0.0, ratio + change))
