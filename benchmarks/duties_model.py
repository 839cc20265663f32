"""Every order of events of a small fleet, played on the pure parts of leases: two holders are never found.

    .venv-dev/bin/python -m benchmarks.duties_model [--depth 12] [--states 400000] [--from START] [--coarse]
    .venv-dev/bin/python -m benchmarks.duties_model --walks 2000 [--steps 80] [--seed 1]
    .venv-dev/bin/python -m benchmarks.duties_model --from held --replay 'restart:1 tick:1 ...'

Three voters and two askers. What may happen next: any message that was ever sent comes (so messages are late, lost,
doubled and in any order), an asker looks at its clock (until then it is stalled), time goes on to the next moment at
which anything is due, a voter begins anew, a holder hands on. Breadth first, each state once, so that the first
trace that is found is a shortest one. `--coarse` goes deeper: an asker's question and its answer come together, and
besides these only what is late comes alone. `--walks` draws longer traces, and cuts down what it finds.

Exit code: 0 nothing was found; 1 two may act at once, or an epoch went back; 2 an option cannot be used.
"""

from __future__ import annotations

import argparse
import random
import sys
import time
from collections import deque
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass

from cloverkeel.leases.acceptor import AcceptedLease, Acceptor, AcceptorState
from cloverkeel.leases.ballots import BallotClock
from cloverkeel.leases.lease import NEVER_US, Action, LeaseAcquired, SendMessage
from cloverkeel.leases.lease_config import LeaseConfig
from cloverkeel.leases.messages import Accepted, Handover, HandoverAck, Message, Prepare, Propose, Release
from cloverkeel.leases.quorum_lease import QuorumLease

VOTERS, ASKERS, DUTY = 3, 2, 7
TERMS = LeaseConfig(VOTERS, 4_000)
RESTARTS = 2  # in one trace
TIMES = 8  # that time goes on in one trace
Event = tuple[str, int]


@dataclass(slots=True, frozen=True)
class Sent:
    """A message on its way for ever; `to` and `by` are askers from 100 on, voters below."""

    to: int
    by: int
    counter: int
    message: Message


def half() -> float:
    return 0.5


class State:
    """The small fleet at one moment."""

    __slots__ = ("acceptors", "askers", "counters", "epoch", "net", "now_us", "restarts", "times", "wrong")

    def __init__(self) -> None:
        self.now_us = TERMS.quarantine_us
        self.counters = [BallotClock(number, 0) for number in range(VOTERS)]
        self.acceptors = [Acceptor(0, TERMS, counter) for counter in self.counters]
        self.askers = [QuorumLease(DUTY, TERMS, BallotClock(100 + n, 0), 0.0, half) for n in range(ASKERS)]
        self.net: tuple[Sent, ...] = ()
        self.restarts = self.times = self.epoch = 0
        self.wrong = ""
        for asker in self.askers:
            asker.set_wanted(self.now_us, True)

    def copy(self) -> State:
        made = State.__new__(State)
        made.now_us, made.net, made.wrong = self.now_us, self.net, self.wrong
        made.restarts, made.times, made.epoch = self.restarts, self.times, self.epoch
        made.counters = [copy_counter(counter) for counter in self.counters]
        made.acceptors = [copy_acceptor(a, c) for a, c in zip(self.acceptors, made.counters, strict=True)]
        made.askers = [copy_lease(asker) for asker in self.askers]
        return made

    def key(self) -> tuple[object, ...]:
        acceptors = tuple(
            (
                a.votes_from_us,
                a.min_promised_ballot,
                c.highest,
                tuple(key_of_slot(d, s) for d, s in a.state_by_lease.items()),
            )
            for a, c in zip(self.acceptors, self.counters, strict=True)
        )
        askers = tuple(
            (
                k.phase, k.token, k.ballot, k.round, k.round_started_us, k.valid_until_us, k.is_round_open,
                k.is_proposing, frozenset(k.promised_by), frozenset(k.accepted_by), frozenset(k.refusal_by_voter),
                k.due_us, k.failed_attempts, k.consent_ballot, k.successor, k.handover_attempts,
                k.ballot_clock.highest, k.is_wanted,
            )
            for k in self.askers
        )  # fmt: skip
        return self.now_us, acceptors, askers, frozenset(self.net), self.restarts

    # What may happen

    def events(self) -> Iterator[Event]:
        yield from (("deliver", number) for number in range(len(self.net)))
        for number, asker in enumerate(self.askers):
            if asker.is_due(self.now_us):
                yield "tick", number
            if asker.can_act(self.now_us):
                yield "hand", number
        if self.times < TIMES and self.next_us() < NEVER_US:
            yield "time", 0
        if self.restarts < RESTARTS:
            yield from (("restart", number) for number in range(VOTERS))

    def coarse_events(self) -> Iterator[Event]:
        """The same, but a question that is out and its answer come together (`ask`: asker and voter)."""
        for event in self.events():
            if event[0] != "deliver" or self.is_late(self.net[event[1]]):
                yield event
        for number, asker in enumerate(self.askers):
            if asker.is_round_open:
                yield from (("ask", number * VOTERS + voter) for voter in range(VOTERS))

    def is_late(self, sent: Sent) -> bool:
        """Whether it may still do harm alone: an accepted answer, an older proposal, a hand-over."""
        if sent.to >= 100:
            return isinstance(sent.message, Accepted | Handover)
        return isinstance(sent.message, Propose) and sent.message.round != self.askers[sent.by - 100].round

    def ask(self, number: int, voter: int) -> None:
        asker = self.askers[number]
        if not asker.is_round_open:
            return
        for sent in self.net:
            is_its = (sent.by, sent.to) == (100 + number, voter) and isinstance(sent.message, Prepare | Propose)
            if is_its and sent.message.round == asker.round:  # type: ignore[union-attr]
                self.deliver(sent)
                break
        for sent in self.net:
            is_its = (sent.to, sent.by) == (100 + number, voter) and not isinstance(
                sent.message, Handover | HandoverAck
            )
            if is_its and sent.message.round == asker.round:  # type: ignore[union-attr]
                self.deliver(sent)
                return

    def next_us(self) -> int:
        """The next moment at which anything is due or over."""
        dues = [asker.next_timer_us() for asker in self.askers]
        dues += [asker.valid_until_us for asker in self.askers]
        dues += [acceptor.votes_from_us for acceptor in self.acceptors]
        dues += [
            slot.accepted.expires_us
            for a in self.acceptors
            for slot in a.state_by_lease.values()
            if slot.accepted is not None
        ]
        return min((due for due in dues if self.now_us < due < NEVER_US), default=NEVER_US)

    def apply(self, event: Event) -> None:
        """Let it happen; what cannot happen now does nothing."""
        what, number = event
        if what == "deliver":
            if number < len(self.net):
                self.deliver(self.net[number])
        elif what == "ask":
            self.ask(number // VOTERS, number % VOTERS)
        elif what == "tick":
            self.carry_out(number, self.askers[number].tick(self.now_us))
        elif what == "hand":
            other = 100 + (1 - number)
            self.carry_out(number, self.askers[number].hand_over(self.now_us, other, b""))
        elif what == "time":
            self.times += 1
            due_us = self.next_us()
            self.now_us = due_us if due_us < NEVER_US else self.now_us
        else:
            self.restarts += 1
            counter = self.counters[number] = BallotClock(number, 0)
            self.acceptors[number] = Acceptor(self.now_us, TERMS, counter)
        self.judge()

    def deliver(self, sent: Sent) -> None:
        if sent.to >= 100:
            asker = self.askers[sent.to - 100]
            asker.ballot_clock.observe(self.now_us, sent.counter)
            if isinstance(sent.message, Handover):
                self.carry_out(sent.to - 100, asker.on_handover(self.now_us, sent.message))
            else:
                self.carry_out(sent.to - 100, asker.receive(self.now_us, sent.message, sent.by))
            return
        acceptor, counter = self.acceptors[sent.to], self.counters[sent.to]
        counter.observe(self.now_us, sent.counter)
        said: Message | None = None
        if isinstance(sent.message, Prepare):
            said = acceptor.on_prepare(self.now_us, sent.message, sent.by, sent.by)
        elif isinstance(sent.message, Propose):
            said = acceptor.on_propose(self.now_us, sent.message, sent.by, sent.by)
        elif isinstance(sent.message, Release):
            acceptor.on_release(sent.message)
        if said is not None:
            self.send(Sent(sent.by, sent.to, counter.highest, said))

    def send(self, sent: Sent) -> None:
        if sent not in self.net:
            self.net = (*self.net, sent)

    def carry_out(self, number: int, actions: Iterable[Action]) -> None:
        counter = self.askers[number].ballot_clock
        for action in actions:
            if isinstance(action, SendMessage):
                self.send(Sent(action.to, 100 + number, counter.highest, action.message))
            elif isinstance(action, LeaseAcquired):
                if action.token <= self.epoch and self.restarts < TERMS.quorum:
                    self.wrong = f"epoch {action.token} after {self.epoch}"
                self.epoch = max(self.epoch, action.token)

    def judge(self) -> None:
        if sum(asker.can_act(self.now_us) for asker in self.askers) > 1:
            self.wrong = "two may act"


def key_of_slot(duty: int, slot: AcceptorState) -> tuple[object, ...]:
    held = slot.accepted
    return duty, slot.promised_ballot, held and (held.gateway, held.nonce, held.ballot, held.expires_us)


def copy_counter(counter: BallotClock) -> BallotClock:
    made = BallotClock(counter.gateway, counter.random_bits)
    made.highest = counter.highest
    return made


def copy_acceptor(acceptor: Acceptor, counter: BallotClock) -> Acceptor:
    made = Acceptor(0, acceptor.config, counter, acceptor.max_leases)
    made.votes_from_us, made.min_promised_ballot = acceptor.votes_from_us, acceptor.min_promised_ballot
    for duty, slot in acceptor.state_by_lease.items():
        copied = made.state_by_lease[duty] = AcceptorState(slot.promised_ballot, slot.last_used_us)
        if slot.accepted is not None:
            copied.accepted = AcceptedLease(
                slot.accepted.gateway, slot.accepted.nonce, slot.accepted.ballot, slot.accepted.expires_us
            )
    return made


def copy_lease(lease: QuorumLease) -> QuorumLease:
    made = QuorumLease(
        lease.lease_id, lease.config, copy_counter(lease.ballot_clock), lease.rendezvous_rank, lease.draw_random
    )
    for name in (
        "phase", "is_wanted", "token", "ballot", "round", "round_started_us", "valid_until_us", "is_round_open",
        "is_proposing", "due_us", "failed_attempts", "consent_ballot", "handover_state", "successor",
        "handover_attempts",
    ):  # fmt: skip
        setattr(made, name, getattr(lease, name))
    made.promised_by = set(lease.promised_by)
    made.accepted_by = set(lease.accepted_by)
    made.refusal_by_voter = dict(lease.refusal_by_voter)
    return made


# Where a search begins


def fresh() -> State:
    return State()


def all_of(state: State, by: int, to: Sequence[int]) -> None:
    """Let what was sent between an asker and these voters come, once, till it holds."""
    for _ in range(6):
        for sent in state.net:
            if (sent.by == 100 + by and sent.to in to) or (sent.to == 100 + by and sent.by in to):
                state.deliver(sent)


def held() -> State:
    """The first asker holds the duty, by the voters 0 and 1."""
    state = fresh()
    state.apply(("tick", 0))
    all_of(state, 0, (0, 1))
    assert state.askers[0].can_act(state.now_us)
    return state


def accepted() -> State:
    """Its proposal was accepted by the voters 0 and 1, and their answers are on their way."""
    state = fresh()
    state.apply(("tick", 0))
    for event in (("ask", 0), ("ask", 1)):
        state.apply(event)
    for sent in state.net:
        if isinstance(sent.message, Propose) and sent.to < 2:
            state.deliver(sent)
    assert not state.askers[0].can_act(state.now_us)
    return state


def handing() -> State:
    """It hands on to the second."""
    state = held()
    state.apply(("hand", 0))
    return state


STARTS: dict[str, Callable[[], State]] = {
    "fresh": fresh, "accepted": accepted, "held": held, "handing": handing,
}  # fmt: skip


@dataclass(slots=True)
class Found:
    """What a search came to. `trace` is empty where nothing was found."""

    states: int = 0
    depth: int = 0
    wrong: str = ""
    trace: tuple[Event, ...] = ()


def search(start: Callable[[], State], depth: int, most: int, coarse: bool = False) -> Found:
    """All states within so many events, each once, up to so many of them."""
    first = start()
    seen: dict[tuple[object, ...], tuple[tuple[object, ...] | None, Event]] = {first.key(): (None, ("", 0))}
    waiting: deque[tuple[State, tuple[object, ...], int]] = deque([(first, first.key(), 0)])
    found = Found(1)
    while waiting:
        state, key, at = waiting.popleft()
        if at >= depth:
            continue
        for event in state.coarse_events() if coarse else state.events():
            made = state.copy()
            made.apply(event)
            its = made.key()
            if its in seen:
                continue
            seen[its] = (key, event)
            found.states, found.depth = found.states + 1, at + 1
            if made.wrong:
                found.wrong, found.trace = made.wrong, trace_to(seen, its)
                return found
            if found.states >= most:
                return found
            waiting.append((made, its, at + 1))
    return found


def trace_to(
    seen: dict[tuple[object, ...], tuple[tuple[object, ...] | None, Event]], key: tuple[object, ...]
) -> tuple[Event, ...]:
    events: list[Event] = []
    at: tuple[object, ...] | None = key
    while at is not None:
        at, event = seen[at]
        events.append(event)
    return tuple(reversed(events[:-1]))


def replay(start: Callable[[], State], trace: Iterable[Event]) -> State:
    """The state after these events, or after the first that breaks an invariant."""
    state = start()
    for event in trace:
        state.apply(event)
        if state.wrong:
            break
    return state


def shorten(start: Callable[[], State], trace: Sequence[Event]) -> tuple[Event, ...]:
    """Leave out what is not needed for it to go wrong."""
    kept = list(trace)
    changed = True
    while changed:
        changed = False
        for number in range(len(kept) - 1, -1, -1):
            fewer = kept[:number] + kept[number + 1 :]
            if replay(start, fewer).wrong:
                kept, changed = fewer, True
    return tuple(kept)


WEIGHTS = {"ask": 12.0, "deliver": 3.0, "tick": 8.0, "time": 3.0, "hand": 0.2, "restart": 0.3}


def draw(dice: random.Random, state: State) -> Event:
    """What happens next, mostly what goes well: a walk has to come to where two might hold."""
    events = [*state.coarse_events(), *(event for event in state.events() if event[0] == "deliver")]
    kinds = sorted({event[0] for event in events})
    (kind,) = dice.choices(kinds, [WEIGHTS[kind] for kind in kinds])
    return dice.choice([event for event in events if event[0] == kind])


def walk(start: Callable[[], State], walks: int, steps: int, seed: int) -> Found:
    """Long traces drawn at random; what goes wrong is cut down."""
    found = Found()
    for number in range(walks):
        dice, state, trace = random.Random(f"{seed}/{number}"), start(), list[Event]()
        state.times = state.restarts = -steps  # no bound but the walk's own
        for _ in range(steps):
            event = draw(dice, state)
            trace.append(event)
            state.apply(event)
            found.states += 1
            if state.wrong:
                found.trace = shorten(start, trace)
                found.wrong = replay(start, found.trace).wrong
                return found
    return found


def parse(text: str) -> tuple[Event, ...]:
    events = []
    for word in text.split():
        what, _, number = word.partition(":")
        if what not in WEIGHTS or not (number or "0").isdigit():
            raise ValueError(f"--replay: expected words such as tick:0 or deliver:3, found {word!r}")
        events.append((what, int(number or 0)))
    return tuple(events)


def show(start: Callable[[], State], trace: Sequence[Event]) -> None:
    """Print a trace, a line an event."""
    state = start()
    for event in trace:
        what = event[0]
        if what == "deliver" and event[1] < len(state.net):
            sent = state.net[event[1]]
            what = f"{sent.by} to {sent.to}: {sent.message}"
        state.apply(event)
        phases = " ".join(f"{a.phase.value}{'*' if a.can_act(state.now_us) else ''}" for a in state.askers)
        print(f"{event[0]}:{event[1]:<3} at {state.now_us:>6}  [{phases}]  {what}")
    print("replay with: --replay '" + " ".join(f"{what}:{number}" for what, number in trace) + "'")


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--depth", type=int, default=12)
    parser.add_argument("--states", type=int, default=400_000)
    parser.add_argument("--from", dest="start", choices=sorted(STARTS), default="held")
    parser.add_argument("--coarse", action="store_true")
    parser.add_argument("--walks", type=int, default=0)
    parser.add_argument("--steps", type=int, default=80)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--replay", default="", metavar="EVENTS")
    options = parser.parse_args()
    start, began_s = STARTS[options.start], time.monotonic()
    try:
        given = parse(options.replay)
    except ValueError as error:
        print(f"duties_model: {error}", file=sys.stderr)
        return 2
    if given:
        show(start, given)
        wrong = replay(start, given).wrong
        print(wrong or "nothing is wrong")
        return 1 if wrong else 0
    found = (
        walk(start, options.walks, options.steps, options.seed)
        if options.walks
        else search(start, options.depth, options.states, options.coarse)
    )
    took_s = time.monotonic() - began_s
    print(f"{found.states} states, depth {found.depth}, {took_s:.1f} s: {found.wrong or 'nothing'}")
    if found.wrong:
        show(start, found.trace)
    return 1 if found.wrong else 0


if __name__ == "__main__":
    raise SystemExit(main())
