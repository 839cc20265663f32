"""Check leader leases by the acts that an external party received: one holder at a time, growing fencing tokens.

Acts must be passed in the order in which one socket received them, which is the order in which they were sent. So an
act with an older token than the act before it was sent by a gateway that was no longer the holder, and the fencing
check rejects it. Pure; imports no product code.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final

SLACK_US: Final = 250_000  # a busy machine may take this long between reading the clock and the write


@dataclass(slots=True, frozen=True)
class ObservedAct:
    """One act of a lease holder, as it was received."""

    at_us: int
    role: int
    fencing_token: int
    gateway: int
    process_nonce: int


@dataclass(slots=True, frozen=True)
class LeaseViolation:
    """One violation, with the earlier act that conflicts with it."""

    description: str
    act: ObservedAct
    earlier: ObservedAct


@dataclass(slots=True, frozen=True)
class LeadershipGap:
    """A change of holder."""

    last_us: int  # the old holder's last act
    gap_us: int  # from the old holder's last act to the new holder's first act
    gateway: int  # the new holder


@dataclass(slots=True, frozen=True)
class Term:
    """One holder's term: the acts of one process under one fencing token."""

    role: int
    fencing_token: int
    gateway: int
    process_nonce: int


def check_leases(
    acts: Sequence[ObservedAct],
    stop_counts: Mapping[int, int] | None = None,
    all_down_at_us: Sequence[int] = (),
    lease_us: int = 0,
    forced_expiries_us: Sequence[int] = (),
) -> list[LeaseViolation]:
    """Return where the fencing check accepts acts of two holders, or where a fencing token is lower than before.

    `stop_counts`: how often each gateway was stopped. Each stop allows one rejected act of that gateway, as it may
    have been stopped between its last reading of the clock and the write.

    `all_down_at_us`: times at which no gateway process ran. After such a time only the fencing check knows the
    earlier tokens. A new holder may therefore act under a lower token, for at most one lease duration: the fencing
    check rejects these acts and reports the newest token to the holder. Holders after such a time are checked against
    each other as usual.

    `forced_expiries_us`: times at which sessions were ended early, on purpose. A holder whose session was ended may
    act under its token until it is notified, for at most one lease duration. The fencing check rejects these acts.
    """
    checker = LeaseChecker(stop_counts or {}, all_down_at_us, lease_us, forced_expiries_us)
    for act in acts:
        checker.check_act(act)
    return checker.violations


class LeaseChecker:
    """Checks acts one by one, in the order in which they were received. `check_leases` explains the arguments."""

    def __init__(
        self,
        stop_counts: Mapping[int, int],
        all_down_at_us: Sequence[int],
        lease_us: int,
        forced_expiries_us: Sequence[int],
    ) -> None:
        self.violations: list[LeaseViolation] = []
        self._allowed_rejections = dict(stop_counts)
        self._all_down_at_us = all_down_at_us
        self._max_stale_us = lease_us + SLACK_US
        self._forced_expiries_us = forced_expiries_us
        # By role, and by how many of `all_down_at_us` have passed.
        self._newest_by_role_and_outage_count: dict[tuple[int, int], ObservedAct] = {}
        self._highest_by_role: dict[
            int, ObservedAct
        ] = {}  # by role: the act with the highest token that the fencing check has seen
        self._first_rejected: dict[Term, ObservedAct] = {}
        self._term_begins_us: dict[Term, int] = {}

    def check_act(self, act: ObservedAct) -> None:
        """Check an act against all earlier acts."""
        begin_us = self._term_begins_us.setdefault(term_of(act), act.at_us)
        if self._is_expired_holder(begin_us, act):
            return
        key = (act.role, bisect_right(self._all_down_at_us, act.at_us))
        newest = self._newest_by_role_and_outage_count.get(key)
        if newest is not None and act.fencing_token < newest.fencing_token:
            self._on_older_token(act, newest)
            return
        if newest is not None and is_token_conflict(act, newest):
            self._report("two holders with one fencing token", act, newest)
        self._newest_by_role_and_outage_count[key] = act
        self._check_against_highest(act)

    def _is_expired_holder(self, begin_us: int, act: ObservedAct) -> bool:
        """Tell whether the act is that of a holder whose session was ended, and the fencing check rejects it."""
        was_ended_recently = any(
            begin_us <= expired_us <= act.at_us <= expired_us + self._max_stale_us
            for expired_us in self._forced_expiries_us
        )
        highest = self._highest_by_role.get(act.role)
        if not was_ended_recently or highest is None:
            return False
        return act.fencing_token < highest.fencing_token

    def _on_older_token(self, act: ObservedAct, newest: ObservedAct) -> None:
        remaining = self._allowed_rejections.get(act.gateway, 0) - 1
        self._allowed_rejections[act.gateway] = remaining
        if remaining < 0:
            self._report("an act after that of a newer holder", act, newest)

    def _check_against_highest(self, act: ObservedAct) -> None:
        highest = self._highest_by_role.setdefault(act.role, act)
        if act.fencing_token >= highest.fencing_token:
            self._highest_by_role[act.role] = act
            return
        first = self._first_rejected.setdefault(term_of(act), act)
        if act.at_us - first.at_us > self._max_stale_us:
            self._report("acts continue under a rejected fencing token", act, highest)

    def _report(self, description: str, act: ObservedAct, earlier: ObservedAct) -> None:
        self.violations.append(LeaseViolation(description, act, earlier))


def term_of(act: ObservedAct) -> Term:
    """Return the term that the act belongs to."""
    return Term(act.role, act.fencing_token, act.gateway, act.process_nonce)


def is_token_conflict(act: ObservedAct, other: ObservedAct) -> bool:
    """Tell whether the acts are those of two processes under one fencing token."""
    if act.fencing_token != other.fencing_token:
        return False
    return (act.gateway, act.process_nonce) != (other.gateway, other.process_nonce)


def leadership_gaps(acts: Sequence[ObservedAct], role: int) -> list[LeadershipGap]:
    """Return the role's changes of holder, in order."""
    gaps: list[LeadershipGap] = []
    last: ObservedAct | None = None
    for act in acts:
        if act.role != role:
            continue
        if last is not None and (act.gateway, act.fencing_token) != (last.gateway, last.fencing_token):
            gaps.append(LeadershipGap(last.at_us, act.at_us - last.at_us, act.gateway))
        last = act
    return gaps
