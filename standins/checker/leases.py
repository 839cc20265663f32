"""Judges duties from the acts that a party outside saw: never two, tokens only grow. Pure; knows no product code.

Invariant: acts are given in the order in which one socket took them, which is that in which they were sent.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Mapping, Sequence
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ObservedAct:
    """One act, as it came."""

    at_us: int
    role: int
    fencing_token: int
    gateway: int
    process_nonce: int  # of its process


@dataclass(slots=True, frozen=True)
class LeaseViolation:
    """One thing that must not be."""

    what: str
    act: ObservedAct
    earlier: ObservedAct


SLACK_US = 250_000  # beyond a lease: what a busy machine may take between a look at the time and the write


def check_leases(
    acts: Sequence[ObservedAct],
    stops: Mapping[int, int] | None = None,
    blanks: Sequence[int] = (),
    lease_us: int = 0,
    expiries: Sequence[int] = (),
) -> list[LeaseViolation]:
    """Never two that a fence accepts, and tokens only grow; from the acts as they came. Pure.

    One socket takes them in the order in which they were sent, so an act with an older epoch than the one before was
    sent by a gateway that was not the holder any more: the fence refuses it. That may happen once for each time that
    the gateway was stopped (`stops`, by gateway): between its last look at the time and the write. Two processes with
    one epoch are two holders.

    `blanks`: moments (us) at which no gateway's process lived. Nobody but the fence remembers older epochs then, and
    it answers that it has seen a newer one: a holder of after may act under an older epoch for a lease at the most,
    and whatever is under what the fence has seen is refused. Among themselves the holders of after keep to the rules.

    `expiries`: moments at which sessions were ended before their time, by order: who held by one believes so until it
    hears of it, for a lease at the most, under the epoch that it had. The fence refuses it.
    """
    found: list[LeaseViolation] = []
    left = dict(stops or {})
    newest: dict[tuple[int, int], ObservedAct] = {}  # by duty and how many blanks were before
    highest: dict[int, ObservedAct] = {}  # by duty: what the fence has seen
    refused: dict[tuple[int, int, int, int], ObservedAct] = {}  # first acts under it: duty, epoch, gateway, process
    begun: dict[tuple[int, int, int, int], int] = {}  # when each holder's epoch was first seen
    for act in acts:
        began_us = begun.setdefault((act.role, act.fencing_token, act.gateway, act.process_nonce), act.at_us)
        if any(began_us <= at_us <= act.at_us <= at_us + lease_us + SLACK_US for at_us in expiries):
            top = highest.get(act.role)
            if top is not None and act.fencing_token < top.fencing_token:
                continue
        era = (act.role, bisect_right(blanks, act.at_us))
        before = newest.get(era)
        if before is not None:
            if act.fencing_token < before.fencing_token:
                left[act.gateway] = left.get(act.gateway, 0) - 1
                if left[act.gateway] >= 0:
                    continue
                found.append(LeaseViolation("an act after a newer holder's", act, before))
                continue
            if act.fencing_token == before.fencing_token and (act.gateway, act.process_nonce) != (
                before.gateway,
                before.process_nonce,
            ):
                found.append(LeaseViolation("two holders with one epoch", act, before))
        newest[era] = act
        top = highest.setdefault(act.role, act)
        if act.fencing_token >= top.fencing_token:
            highest[act.role] = act
            continue
        first = refused.setdefault((act.role, act.fencing_token, act.gateway, act.process_nonce), act)
        if act.at_us - first.at_us > lease_us + SLACK_US:
            found.append(LeaseViolation("it goes on under an epoch that was refused", act, top))
    return found


def leadership_gaps(acts: Sequence[ObservedAct], duty: int) -> list[tuple[int, int, int]]:
    """Changes of holder: when the old one acted last, the time until the new one did, and the new one's number."""
    found = []
    last: ObservedAct | None = None
    for act in acts:
        if act.role != duty:
            continue
        if last is not None and (act.gateway, act.fencing_token) != (last.gateway, last.fencing_token):
            found.append((last.at_us, act.at_us - last.at_us, act.gateway))
        last = act
    return found
