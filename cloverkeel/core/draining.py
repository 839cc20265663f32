"""How a gateway is emptied of clients: by staff (PAUSE), at its end (SIGTERM), or with a successor at its address.

Pure: one timetable for all three, in seconds since it began. The front carries it out: which connections are closed,
what is still taken, what is turned away.

Invariants:
- no connection is closed on which something is owed, or goes on coming, before `reading_s`;
- from `refuse_s` on nothing new is begun, and at `end_s`, before any kill, what is held is answered.
"""

from __future__ import annotations

from dataclasses import dataclass

FOREVER_S = 1e9
KILL_MARGIN_S = 0.7  # SIGKILL comes no sooner than the longest deadline, 3 s at the most, and this
ANSWERED_S = 0.2  # for the last answers to reach their clients
PAUSE_S = 0.4  # between two pieces of a request: who is slow sends some all the time
LAST_S = 3.4  # after SIGTERM, whatever is left: the longest a client waits, and the time that new ones come


@dataclass(slots=True, frozen=True)
class Timetable:
    """In seconds since the emptying began."""

    ready: bool  # what is said to the front that asks
    accept_s: float  # new connections are taken until then
    keep_s: float  # answers keep their connections until then
    idle_s: float  # connections that had an answer and ask nothing are closed from then on
    first_s: float  # a new connection's first request is waited for, since it was accepted
    refuse_s: float  # what comes from then on is turned away at once
    hurry_s: float  # a request of which nothing has come for PAUSE_S is given up from then on
    reading_s: float  # any that has not wholly come by then
    end_s: float  # what is held then is answered, however long its client would wait

    def may_give_up(self, now_s: float, quiet_s: float) -> bool:
        """Whether a request that has begun to come, and of which nothing came for so long, may be given up."""
        return now_s >= self.reading_s or (now_s >= self.hurry_s and quiet_s >= PAUSE_S)

    def may_close(self, now_s: float, served: bool, age_s: float) -> bool:
        """Whether a connection that asks nothing may be closed, so long since it was accepted."""
        if now_s >= self.reading_s:
            return True
        return now_s >= self.idle_s if served else age_s >= self.first_s


def on_the_way_out(longest_s: float) -> Timetable:
    """SIGTERM, and nobody to take over: new connections go on coming for 0.4 s, and open ones are used.

    These are served for a while yet: another gateway may be out at the same time, and who is sent away finds none.
    Half a request that does not go on keeps nobody from the end: the sooner it ends, the sooner it is back.
    """
    return Timetable(False, 1.5, 1.2, 1.2, 0.5, FOREVER_S, 1.0, FOREVER_S, last(longest_s))


def last(longest_s: float) -> float:
    return min(LAST_S, longest_s + KILL_MARGIN_S - 0.2) - ANSWERED_S


def paused() -> Timetable:
    """PAUSE: after 0.2 s no new connections come; after 4 s none is idle or has a request of the last 2 s.

    Until 1.5 s clients are left to find out by the answer to their next request: a close would cross some of them.
    """
    return Timetable(False, FOREVER_S, 0.0, 1.5, 1.5, 1.9, 2.2, 3.4, FOREVER_S)


def succeeded(longest_s: float) -> Timetable:
    """SIGTERM, and another process serves at this address: nothing new is taken, open connections have their time.

    `longest_s`: the longest time that a client waits. What comes is served while it can be answered in time.
    """
    end_s = last(longest_s)
    return Timetable(
        True, 0.0, 0.0, min(2.0, end_s / 2), min(2.2, end_s / 2), end_s - 0.3, end_s - 0.8, end_s - 0.2, end_s
    )
