"""What discovery is asked next, and how long that is waited for. Pure: no clock and no sockets; registry.py has them.

One call is out at a time, and what was given up is never heard: an answer is always to the version that is held.
So no list is late by another's doing, and none goes back; a service that begins anew is believed, at any version.

Invariants, for a change that discovery has and can be asked for; it counts as told TOLD_S later:
- a watch that falls silent is given up, and the next call answered, within TOLD_S (WATCH_SILENT_S);
- so is a connection that falls silent before its first answer (FIRST_SILENT_S), or never comes up (UNREACHED_S);
- the first call on a connection waits for no news: what may wait its turn is never one that also holds for news;
- after any failure the first answer is given longer (SLOW_ANSWER_S), up to an answer: a service with too many
  callers refuses some and has the others wait; to give up just before one's turn, again and again, is asking in vain.
- a long answer that has come is read by steps for READ_S at the most, and the rest in one piece: beside these times.
Where the module asks again (no list is pushed), its own wait is within RETRY_S too (LIST_RETRY_US in balance.py).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

TOLD_S: Final = 6.0
HOLD_S: Final = 1.0  # for news. A watch that goes on costs discovery next to nothing, and shows that it lives
LATE_S: Final = 1.0  # for the answer beyond that
CONNECT_S: Final = 0.5
ANSWER_S: Final = 2.5  # for the first answer on a connection: calls are worked through in turn
SLOW_ANSWER_S: Final = 3.2  # the same after a call that was refused, given up or broke off
READ_S: Final = 0.05  # of reading a long answer by steps: half of what the sums below leave of TOLD_S
RETRY_S: Final = 0.4  # between a failure and the next call, at the most
RENEWED_S: Final = 0.2  # after its last answer a watch has ended, and the next call begins another
WATCH_SILENT_S: Final = HOLD_S + LATE_S + RETRY_S + CONNECT_S + ANSWER_S
FIRST_SILENT_S: Final = ANSWER_S + RETRY_S + CONNECT_S + ANSWER_S
UNREACHED_S: Final = CONNECT_S + RETRY_S + CONNECT_S + ANSWER_S
REST_S: Final = 0.05  # before the next call where one that may wait was answered sooner, with nothing
FIRST_RETRY_S: Final = 0.05  # at the most, after the first failure where lists are pushed: an agent's calls are free

LIST: Final = b"/registry/instances"


@dataclass(slots=True, frozen=True)
class Query:
    """One call: what is asked for, and when it is given up."""

    target: bytes
    limit_s: float
    holds: bool = False  # for news, where there is none


class Watch:
    """Which version is held, and what is asked next. Times in seconds, of a clock that only moves forward."""

    def __init__(self) -> None:
        self.index: int | None = None  # of the list that is held; None: the whole list is asked for
        self.failures = 0  # since the last answer
        self.answered_s: float | None = None  # on the present connection

    def begin_anew(self) -> None:
        """Another service: its versions need not compare with those of the last."""
        self.index, self.failures, self.answered_s = None, 0, None

    def ask_whole(self) -> None:
        self.index = None

    def connected(self) -> None:
        self.answered_s = None

    def next_query(self, now_s: float) -> Query:
        first_s = SLOW_ANSWER_S if self.failures else ANSWER_S
        if self.index is None:
            return Query(LIST, first_s)
        if self.answered_s is None or now_s - self.answered_s > RENEWED_S:
            return Query(LIST + b"?from=%d&hold_ms=0" % self.index, first_s)
        return Query(LIST + b"?from=%d&hold_ms=%d" % (self.index, int(HOLD_S * 1000)), HOLD_S + LATE_S, True)

    def on_answer(self, now_s: float, index: int, whole: bool) -> bool:
        """Whether the list that came can be used.

        Changes up to a version below the one held are of another life of the service: it has to tell all.
        """
        self.failures, self.answered_s = 0, now_s
        usable = whole or self.index is None or index >= self.index
        self.index = index if usable else None
        return usable

    def on_failure(self) -> None:
        self.failures += 1

    def retry_s(self, chance: float) -> float:
        """Until the next call where lists are pushed. `chance` is 0 to 1: who failed together must not ask so."""
        most_s = min(FIRST_RETRY_S * float(2 ** min(self.failures - 1, 8)), RETRY_S)
        return most_s * (0.5 + 0.5 * chance)
