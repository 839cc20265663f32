"""Model check of quorum leases: runs orders of events of a small fleet on the pure modules and looks for two holders.

    .venv-dev/bin/python -m benchmarks.duties_model [--depth 12] [--states 400000] [--from START] [--coarse]
    .venv-dev/bin/python -m benchmarks.duties_model --walks 2000 [--steps 80] [--seed 1]
    .venv-dev/bin/python -m benchmarks.duties_model --from held --replay 'restart:1 tick:1 ...'

The fleet has three voters and two proposers. Possible events: the delivery of any message that was ever sent (so
messages are late, lost, duplicated and reordered), a tick of a proposer's clock (without ticks it is stalled), an
advance of time to the next moment at which something is due, a restart of a voter, a handover by the holder. The
search is breadth first and visits each state once, so the first trace with a violation is a shortest one. `--coarse`
reaches deeper: a proposer's request and its response are delivered together, and only messages that are harmful when
late are also delivered alone. `--walks` draws longer traces at random and shortens one with a violation.

Exit code: 0 no violation was found; 1 two holders may act at once, or a fencing token decreased; 2 an option is
invalid.
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

VOTER_COUNT, PROPOSER_COUNT, LEASE_ID = 3, 2, 7
CONFIG = LeaseConfig(VOTER_COUNT, 4_000)
MAX_RESTARTS = 2  # per trace
MAX_TIME_STEPS = 8  # advances of time per trace
Event = tuple[str, int]


@dataclass(slots=True, frozen=True)
class SentMessage:
    """A message that may be delivered any number of times.

    `receiver` and `sender` are numbers of voters, or of proposers if they are 100 or more.
    """

    receiver: int
    sender: int
    ballot_counter: int
    message: Message


def return_half() -> float:
    """Return a constant instead of a random number, so that a trace is reproducible."""
    return 0.5


class State:
    """The modelled fleet at one moment."""

    __slots__ = (
        "acceptors", "ballot_clocks", "highest_token", "now_us", "proposers", "restart_count", "sent_messages",
        "time_step_count", "violation",
    )  # fmt: skip

    def __init__(self) -> None:
        self.now_us = CONFIG.quarantine_us
        self.ballot_clocks = [BallotClock(number, 0) for number in range(VOTER_COUNT)]
        self.acceptors = [Acceptor(0, CONFIG, clock) for clock in self.ballot_clocks]
        self.proposers = [
            QuorumLease(LEASE_ID, CONFIG, BallotClock(100 + n, 0), 0.0, return_half) for n in range(PROPOSER_COUNT)
        ]
        self.sent_messages: tuple[SentMessage, ...] = ()
        self.restart_count = self.time_step_count = self.highest_token = 0
        self.violation = ""
        for proposer in self.proposers:
            proposer.set_wanted(self.now_us, True)

    def copy(self) -> State:
        """Return an independent copy."""
        copied = State.__new__(State)
        copied.now_us, copied.sent_messages, copied.violation = self.now_us, self.sent_messages, self.violation
        copied.restart_count, copied.time_step_count, copied.highest_token = (
            self.restart_count,
            self.time_step_count,
            self.highest_token,
        )
        copied.ballot_clocks = [copy_ballot_clock(clock) for clock in self.ballot_clocks]
        copied.acceptors = [
            copy_acceptor(acceptor, clock)
            for acceptor, clock in zip(self.acceptors, copied.ballot_clocks, strict=True)
        ]
        copied.proposers = [copy_lease(proposer) for proposer in self.proposers]
        return copied

    def key(self) -> tuple[object, ...]:
        """Return a hashable value that is equal for equal states."""
        acceptor_keys = tuple(
            (
                acceptor.votes_from_us,
                acceptor.min_promised_ballot,
                ballot_clock.highest,
                tuple(key_of_lease_state(lease_id, state) for lease_id, state in acceptor.state_by_lease.items()),
            )
            for acceptor, ballot_clock in zip(self.acceptors, self.ballot_clocks, strict=True)
        )
        proposer_keys = tuple(
            (
                proposer.phase, proposer.token, proposer.ballot, proposer.round, proposer.round_started_us,
                proposer.valid_until_us, proposer.is_round_open, proposer.is_proposing,
                frozenset(proposer.promised_by), frozenset(proposer.accepted_by),
                frozenset(proposer.refusal_by_voter), proposer.due_us, proposer.failed_attempts,
                proposer.consent_ballot, proposer.successor, proposer.handover_attempts,
                proposer.ballot_clock.highest, proposer.is_wanted,
            )
            for proposer in self.proposers
        )  # fmt: skip
        return self.now_us, acceptor_keys, proposer_keys, frozenset(self.sent_messages), self.restart_count

    # Events

    def possible_events(self) -> Iterator[Event]:
        """Yield each event that may happen next, as its kind and an index."""
        yield from (("deliver", number) for number in range(len(self.sent_messages)))
        for number, proposer in enumerate(self.proposers):
            if proposer.is_due(self.now_us):
                yield "tick", number
            if proposer.can_act(self.now_us):
                yield "hand", number
        if self.time_step_count < MAX_TIME_STEPS and self.next_due_us() < NEVER_US:
            yield "time", 0
        if self.restart_count < MAX_RESTARTS:
            yield from (("restart", number) for number in range(VOTER_COUNT))

    def possible_coarse_events(self) -> Iterator[Event]:
        """Yield the same events, but a request and its response as one event (`ask`: proposer and voter)."""
        for event in self.possible_events():
            if event[0] != "deliver" or self.is_harmful_when_late(self.sent_messages[event[1]]):
                yield event
        for number, proposer in enumerate(self.proposers):
            if proposer.is_round_open:
                yield from (("ask", number * VOTER_COUNT + voter) for voter in range(VOTER_COUNT))

    def is_harmful_when_late(self, sent: SentMessage) -> bool:
        """Return whether a late delivery may matter: an Accepted, a proposal of an older round, a handover."""
        if sent.receiver >= 100:
            return isinstance(sent.message, Accepted | Handover)
        return isinstance(sent.message, Propose) and sent.message.round != self.proposers[sent.sender - 100].round

    def exchange_messages(self, proposer_index: int, voter: int) -> None:
        """Deliver a proposer's request of its current round to a voter, and the response."""
        proposer = self.proposers[proposer_index]
        if not proposer.is_round_open:
            return
        for sent in self.sent_messages:
            is_match = (sent.sender, sent.receiver) == (100 + proposer_index, voter) and isinstance(
                sent.message, Prepare | Propose
            )
            if is_match and sent.message.round == proposer.round:  # type: ignore[union-attr]
                self.deliver_message(sent)
                break
        for sent in self.sent_messages:
            is_match = (sent.receiver, sent.sender) == (100 + proposer_index, voter) and not isinstance(
                sent.message, Handover | HandoverAck
            )
            if is_match and sent.message.round == proposer.round:  # type: ignore[union-attr]
                self.deliver_message(sent)
                return

    def next_due_us(self) -> int:
        """Return the next time at which a timer is due or a period ends."""
        due_times_us = [proposer.next_timer_us() for proposer in self.proposers]
        due_times_us += [proposer.valid_until_us for proposer in self.proposers]
        due_times_us += [acceptor.votes_from_us for acceptor in self.acceptors]
        due_times_us += [
            lease_state.accepted.expires_us
            for acceptor in self.acceptors
            for lease_state in acceptor.state_by_lease.values()
            if lease_state.accepted is not None
        ]
        return min((due_us for due_us in due_times_us if self.now_us < due_us < NEVER_US), default=NEVER_US)

    def apply_event(self, event: Event) -> None:
        """Apply an event; one that is impossible in this state has no effect."""
        kind, index = event
        if kind == "deliver":
            if index < len(self.sent_messages):
                self.deliver_message(self.sent_messages[index])
        elif kind == "ask":
            self.exchange_messages(index // VOTER_COUNT, index % VOTER_COUNT)
        elif kind == "tick":
            self.perform_actions(index, self.proposers[index].tick(self.now_us))
        elif kind == "hand":
            successor = 100 + (1 - index)
            self.perform_actions(index, self.proposers[index].hand_over(self.now_us, successor, b""))
        elif kind == "time":
            self.time_step_count += 1
            due_us = self.next_due_us()
            self.now_us = due_us if due_us < NEVER_US else self.now_us
        else:
            self.restart_count += 1
            ballot_clock = self.ballot_clocks[index] = BallotClock(index, 0)
            self.acceptors[index] = Acceptor(self.now_us, CONFIG, ballot_clock)
        self.check_invariants()

    def deliver_message(self, sent: SentMessage) -> None:
        """Deliver a message to its receiver and send the responses."""
        if sent.receiver >= 100:
            proposer = self.proposers[sent.receiver - 100]
            proposer.ballot_clock.observe(self.now_us, sent.ballot_counter)
            if isinstance(sent.message, Handover):
                self.perform_actions(sent.receiver - 100, proposer.on_handover(self.now_us, sent.message))
            else:
                self.perform_actions(sent.receiver - 100, proposer.receive(self.now_us, sent.message, sent.sender))
            return
        acceptor, ballot_clock = self.acceptors[sent.receiver], self.ballot_clocks[sent.receiver]
        ballot_clock.observe(self.now_us, sent.ballot_counter)
        response: Message | None = None
        if isinstance(sent.message, Prepare):
            response = acceptor.on_prepare(self.now_us, sent.message, sent.sender, sent.sender)
        elif isinstance(sent.message, Propose):
            response = acceptor.on_propose(self.now_us, sent.message, sent.sender, sent.sender)
        elif isinstance(sent.message, Release):
            acceptor.on_release(sent.message)
        if response is not None:
            self.send_message(SentMessage(sent.sender, sent.receiver, ballot_clock.highest, response))

    def send_message(self, sent: SentMessage) -> None:
        """Add a message to those that may be delivered."""
        if sent not in self.sent_messages:
            self.sent_messages = (*self.sent_messages, sent)

    def perform_actions(self, proposer_index: int, actions: Iterable[Action]) -> None:
        """Perform the actions that a proposer returned; check the fencing token of an acquired lease."""
        ballot_clock = self.proposers[proposer_index].ballot_clock
        for action in actions:
            if isinstance(action, SendMessage):
                self.send_message(SentMessage(action.to, 100 + proposer_index, ballot_clock.highest, action.message))
            elif isinstance(action, LeaseAcquired):
                if action.token <= self.highest_token and self.restart_count < CONFIG.quorum:
                    self.violation = f"fencing token {action.token} after {self.highest_token}"
                self.highest_token = max(self.highest_token, action.token)

    def check_invariants(self) -> None:
        """Record a violation if two proposers may act as lease holder."""
        if sum(proposer.can_act(self.now_us) for proposer in self.proposers) > 1:
            self.violation = "two lease holders may act"


def key_of_lease_state(lease_id: int, lease_state: AcceptorState) -> tuple[object, ...]:
    """Return a hashable value of a voter's state for one lease."""
    accepted_lease = lease_state.accepted
    return (
        lease_id,
        lease_state.promised_ballot,
        accepted_lease
        and (accepted_lease.gateway, accepted_lease.nonce, accepted_lease.ballot, accepted_lease.expires_us),
    )


def copy_ballot_clock(ballot_clock: BallotClock) -> BallotClock:
    """Return an independent copy of a ballot clock."""
    copied = BallotClock(ballot_clock.gateway, ballot_clock.random_bits)
    copied.highest = ballot_clock.highest
    return copied


def copy_acceptor(acceptor: Acceptor, ballot_clock: BallotClock) -> Acceptor:
    """Return an independent copy of a voter that uses this ballot clock."""
    copied = Acceptor(0, acceptor.config, ballot_clock, acceptor.max_leases)
    copied.votes_from_us, copied.min_promised_ballot = acceptor.votes_from_us, acceptor.min_promised_ballot
    for lease_id, lease_state in acceptor.state_by_lease.items():
        copied_lease_state = copied.state_by_lease[lease_id] = AcceptorState(
            lease_state.promised_ballot, lease_state.last_used_us
        )
        if lease_state.accepted is not None:
            copied_lease_state.accepted = AcceptedLease(
                lease_state.accepted.gateway,
                lease_state.accepted.nonce,
                lease_state.accepted.ballot,
                lease_state.accepted.expires_us,
            )
    return copied


def copy_lease(lease: QuorumLease) -> QuorumLease:
    """Return an independent copy of a proposer."""
    copied = QuorumLease(
        lease.lease_id, lease.config, copy_ballot_clock(lease.ballot_clock), lease.rendezvous_rank, lease.draw_random
    )
    for name in (
        "phase", "is_wanted", "token", "ballot", "round", "round_started_us", "valid_until_us", "is_round_open",
        "is_proposing", "due_us", "failed_attempts", "consent_ballot", "handover_state", "successor",
        "handover_attempts",
    ):  # fmt: skip
        setattr(copied, name, getattr(lease, name))
    copied.promised_by = set(lease.promised_by)
    copied.accepted_by = set(lease.accepted_by)
    copied.refusal_by_voter = dict(lease.refusal_by_voter)
    return copied


# Start states of a search


def create_fresh_state() -> State:
    """Return the state in which no message has been sent."""
    return State()


def exchange_all_messages(state: State, proposer_index: int, voters: Sequence[int]) -> None:
    """Deliver the messages between a proposer and these voters, until it holds the lease."""
    for _ in range(6):
        for sent in state.sent_messages:
            if (sent.sender == 100 + proposer_index and sent.receiver in voters) or (
                sent.receiver == 100 + proposer_index and sent.sender in voters
            ):
                state.deliver_message(sent)


def create_held_state() -> State:
    """Return a state in which the first proposer holds the lease, granted by the voters 0 and 1."""
    state = create_fresh_state()
    state.apply_event(("tick", 0))
    exchange_all_messages(state, 0, (0, 1))
    assert state.proposers[0].can_act(state.now_us)
    return state


def create_accepted_state() -> State:
    """Return a state in which the voters 0 and 1 have accepted a proposal and their responses are in flight."""
    state = create_fresh_state()
    state.apply_event(("tick", 0))
    for event in (("ask", 0), ("ask", 1)):
        state.apply_event(event)
    for sent in state.sent_messages:
        if isinstance(sent.message, Propose) and sent.receiver < 2:
            state.deliver_message(sent)
    assert not state.proposers[0].can_act(state.now_us)
    return state


def create_handover_state() -> State:
    """Return a state in which the first proposer hands the lease over to the second."""
    state = create_held_state()
    state.apply_event(("hand", 0))
    return state


STARTS: dict[str, Callable[[], State]] = {
    "fresh": create_fresh_state, "accepted": create_accepted_state, "held": create_held_state,
    "handing": create_handover_state,
}  # fmt: skip


@dataclass(slots=True)
class SearchResult:
    """The result of a search; `violation` and `trace` are empty if no violation was found."""

    state_count: int = 0
    depth: int = 0
    violation: str = ""
    trace: tuple[Event, ...] = ()


def search(start: Callable[[], State], depth: int, max_states: int, coarse: bool = False) -> SearchResult:
    """Visit each state within `depth` events once, breadth first, up to `max_states` states or a violation."""
    first_state = start()
    predecessors: dict[tuple[object, ...], tuple[tuple[object, ...] | None, Event]] = {
        first_state.key(): (None, ("", 0))
    }
    queue: deque[tuple[State, tuple[object, ...], int]] = deque([(first_state, first_state.key(), 0)])
    result = SearchResult(1)
    while queue:
        state, key, event_count = queue.popleft()
        if event_count >= depth:
            continue
        for event in state.possible_coarse_events() if coarse else state.possible_events():
            next_state = state.copy()
            next_state.apply_event(event)
            next_key = next_state.key()
            if next_key in predecessors:
                continue
            predecessors[next_key] = (key, event)
            result.state_count, result.depth = result.state_count + 1, event_count + 1
            if next_state.violation:
                result.violation, result.trace = next_state.violation, trace_to(predecessors, next_key)
                return result
            if result.state_count >= max_states:
                return result
            queue.append((next_state, next_key, event_count + 1))
    return result


def trace_to(
    predecessors: dict[tuple[object, ...], tuple[tuple[object, ...] | None, Event]], last_key: tuple[object, ...]
) -> tuple[Event, ...]:
    """Return the events that lead from the start to a state; `predecessors` maps a state to the one before it."""
    events: list[Event] = []
    current_key: tuple[object, ...] | None = last_key
    while current_key is not None:
        current_key, event = predecessors[current_key]
        events.append(event)
    return tuple(reversed(events[:-1]))


def replay(start: Callable[[], State], trace: Iterable[Event]) -> State:
    """Return the state after these events, or after the first that violates an invariant."""
    state = start()
    for event in trace:
        state.apply_event(event)
        if state.violation:
            break
    return state


def shorten_trace(start: Callable[[], State], trace: Sequence[Event]) -> tuple[Event, ...]:
    """Remove the events that the violation does not need."""
    shortest = list(trace)
    is_changed = True
    while is_changed:
        is_changed = False
        for index in range(len(shortest) - 1, -1, -1):
            shorter = shortest[:index] + shortest[index + 1 :]
            if replay(start, shorter).violation:
                shortest, is_changed = shorter, True
    return tuple(shortest)


EVENT_WEIGHTS = {"ask": 12.0, "deliver": 3.0, "tick": 8.0, "time": 3.0, "hand": 0.2, "restart": 0.3}


def draw_event(rng: random.Random, state: State) -> Event:
    """Draw the next event, mostly of the kinds that acquire a lease, as a violation needs two acquired leases."""
    events = [*state.possible_coarse_events(), *(event for event in state.possible_events() if event[0] == "deliver")]
    kinds = sorted({event[0] for event in events})
    (kind,) = rng.choices(kinds, [EVENT_WEIGHTS[kind] for kind in kinds])
    return rng.choice([event for event in events if event[0] == kind])


def run_walks(start: Callable[[], State], walks: int, steps: int, seed: int) -> SearchResult:
    """Run random traces of `steps` events until one violates an invariant, and shorten that one."""
    result = SearchResult()
    for walk_index in range(walks):
        rng, state, trace = random.Random(f"{seed}/{walk_index}"), start(), list[Event]()
        state.time_step_count = (
            state.restart_count
        ) = -steps  # so low that only `steps` limits restarts and time steps
        for _ in range(steps):
            event = draw_event(rng, state)
            trace.append(event)
            state.apply_event(event)
            result.state_count += 1
            if state.violation:
                result.trace = shorten_trace(start, trace)
                result.violation = replay(start, result.trace).violation
                return result
    return result


def parse_trace(text: str) -> tuple[Event, ...]:
    """Parse a trace such as "tick:0 deliver:3"."""
    events = []
    for word in text.split():
        kind, _, index = word.partition(":")
        if kind not in EVENT_WEIGHTS or not (index or "0").isdigit():
            raise ValueError(f"--replay: expected words such as tick:0 or deliver:3, found {word!r}")
        events.append((kind, int(index or 0)))
    return tuple(events)


def print_trace(start: Callable[[], State], trace: Sequence[Event]) -> None:
    """Print a trace with the state after each event, and the option that replays it."""
    state = start()
    for event in trace:
        description = event[0]
        if description == "deliver" and event[1] < len(state.sent_messages):
            sent = state.sent_messages[event[1]]
            description = f"{sent.sender} to {sent.receiver}: {sent.message}"
        state.apply_event(event)
        phases = " ".join(
            f"{proposer.phase.value}{'*' if proposer.can_act(state.now_us) else ''}" for proposer in state.proposers
        )
        print(f"{event[0]}:{event[1]:<3} at {state.now_us:>6}  [{phases}]  {description}")
    print("replay with: --replay '" + " ".join(f"{kind}:{index}" for kind, index in trace) + "'")


def main() -> int:
    """Search, walk or replay and return the exit code."""
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
    start, started_s = STARTS[options.start], time.monotonic()
    try:
        given_trace = parse_trace(options.replay)
    except ValueError as error:
        print(f"duties_model: {error}", file=sys.stderr)
        return 2
    if given_trace:
        print_trace(start, given_trace)
        violation = replay(start, given_trace).violation
        print(violation or "no violation")
        return 1 if violation else 0
    result = (
        run_walks(start, options.walks, options.steps, options.seed)
        if options.walks
        else search(start, options.depth, options.states, options.coarse)
    )
    duration_s = time.monotonic() - started_s
    print(
        f"{result.state_count} states, depth {result.depth}, {duration_s:.1f} s: {result.violation or 'no violation'}"
    )
    if result.violation:
        print_trace(start, result.trace)
    return 1 if result.violation else 0


if __name__ == "__main__":
    raise SystemExit(main())
