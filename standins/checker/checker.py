"""Judges the four rules from a ledger: pure, no clock, no I/O.

Invariants of this file: it reads what boxes, clients, the registry and the network wrote and nothing of a gateway's
own; each breach carries the whole time line of what it is about; a limit that a party of the play saw late, since
the stand-ins stood still (Lag), is longer by that much and no more.

1. Nothing goes missing: one whole answer within the budget, and nothing sent after it. What a gateway held that was
   killed outright, or was stopped, is the client's to ask again.
2. Nothing takes effect twice: an unsafe request is sent on only once each earlier attempt was turned away or never
   whole; a keyed one only to the same group and within the window; neither is refused once it may have run.
3. Drains hold: no first byte later than the grace after word to that gateway.
4. Cold hosts are spared: never more than the multiple of what the box can do at that moment, in so long.

Beside the four: a gateway's process does not end unasked (crash), stays within its memory and descriptors (bounds),
and owes a client that breaks the protocol an error or a close in time (owed).
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from itertools import pairwise

from standins.event_log import (
    BackendAttempt,
    BackendStarted,
    BackendStopped,
    ClientDisconnected,
    DiscoveryPoll,
    EndpointChanged,
    EventLog,
    ManualEjection,
    MisbehavingClient,
    NotificationDelivered,
    ProcessEvent,
    RequestSent,
    ResourceUsage,
    ResponseMissing,
    ResponseReceived,
    RuleOverrides,
    SchedulingDelay,
    UnexpectedBytes,
)
from standins.site import CLASSES, Rules

RULES = ("missing", "twice", "drain", "cold", "crash", "bounds", "owed")
FOREVER_US = 2**62
REFUSALS = (429, 503)
KILLED_EARLY_US = 700_000  # after SIGTERM: what SIGKILL finds from then on should have been answered
RUDE_PREFIX = "rude-"  # ids of clients that break the protocol


@dataclass(slots=True, frozen=True)
class Violation:
    rule: str  # one of RULES
    at_us: int
    subject: str  # the request's id, the box, or the gateway
    what: str
    timeline: tuple[str, ...] = ()

    def __str__(self) -> str:
        return "\n".join((f"{self.rule}: {self.subject}: {self.what}", *(f"    {x}" for x in self.timeline)))


@dataclass(slots=True)
class ProcessLifetime:
    """One process of a gateway."""

    start_us: int
    end_us: int = FOREVER_US
    term_us: int = FOREVER_US
    kill_us: int = FOREVER_US
    stops: list[tuple[int, int]] = field(default_factory=list)  # SIGSTOP to SIGCONT


class Checker:
    """One reading of a ledger. `breaches()` gives all of them, by time."""

    def __init__(self, ledger: EventLog, rules: Rules | None = None) -> None:
        self.rules, self.classes = rules or Rules(), dict(CLASSES)
        self.event_log = ledger
        self.asked: dict[str, list[RequestSent]] = defaultdict(list)
        self.finals: dict[str, list[ResponseReceived | ResponseMissing]] = defaultdict(list)
        self.runs: dict[str, list[BackendAttempt]] = defaultdict(list)
        self.told: dict[tuple[str, str], list[NotificationDelivered]] = defaultdict(list)
        self.banned: dict[tuple[str, str], list[ManualEjection]] = defaultdict(list)
        self.lives: dict[str, list[ProcessLifetime]] = defaultdict(list)
        self.left: dict[str, int] = {}
        self.extras: list[UnexpectedBytes] = []
        self.rude: list[MisbehavingClient] = []
        self.ups: list[BackendStarted] = []
        self.fallen: list[BackendStopped] = []
        self.lags: list[SchedulingDelay] = []
        self.usage: dict[str, list[ResourceUsage]] = defaultdict(list)
        self.violations: list[Violation] = []
        self.slow_start_peaks: dict[
            tuple[str, int], float
        ] = {}  # most that a cold box was sent, as a share of its limit
        self.end_us = 0
        changed, calls = list[EndpointChanged](), list[DiscoveryPoll]()
        for entry in ledger.events:
            self.end_us = max(self.end_us, entry.at_us)
            match entry:
                case RequestSent():
                    self.asked[entry.id].append(entry)
                case ResponseReceived() | ResponseMissing():
                    self.finals[entry.id].append(entry)
                case BackendAttempt():
                    self.runs[entry.id].append(entry)
                case NotificationDelivered():
                    self.told[entry.gateway, entry.backend].append(entry)
                case ManualEjection():
                    self.banned[entry.gateway, entry.backend].append(entry)
                case ProcessEvent():
                    self.on_process(entry)
                case ClientDisconnected():
                    self.left[entry.id] = entry.at_us
                case UnexpectedBytes():
                    self.extras.append(entry)
                case MisbehavingClient():
                    self.rude.append(entry)
                case BackendStarted():
                    self.ups.append(entry)
                case BackendStopped(how="fell"):
                    self.fallen.append(entry)
                case SchedulingDelay():
                    self.lags.append(entry)
                case ResourceUsage():
                    self.usage[entry.gateway].append(entry)
                case RuleOverrides() if rules is None:
                    self.rules = replace(self.rules, **entry.rules)
                    self.classes |= {name: replace(CLASSES[name], **of) for name, of in entry.classes.items()}
                case EndpointChanged():
                    changed.append(entry)
                case DiscoveryPoll():
                    calls.append(entry)
                case _:
                    pass
        self.lag_ends = [lag.at_us for lag in self.lags]
        self.tell_the_silent(changed, calls)

    # What is known of gateways

    def on_process(self, entry: ProcessEvent) -> None:
        lives = self.lives[entry.gateway]
        if entry.what == "start":
            lives.append(ProcessLifetime(entry.at_us))
            return
        if not lives:
            return
        life = lives[-1]
        match entry.what:
            case "TERM":
                life.term_us = min(life.term_us, entry.at_us)
            case "KILL":
                life.kill_us = min(life.kill_us, entry.at_us)
            case "STOP":
                life.stops.append((entry.at_us, FOREVER_US))
            case "CONT" if life.stops:
                life.stops[-1] = (life.stops[-1][0], entry.at_us)
            case "exit":
                life.end_us = entry.at_us
                if not entry.was_requested or (entry.code != 0 and life.kill_us == FOREVER_US):
                    what = f"ended with code {entry.code}" + ("" if entry.was_requested else ", and nobody had asked")
                    self.report("crash", entry.at_us, entry.gateway, what)
            case _:
                pass

    def process_at(self, gateway: str, at_us: int) -> ProcessLifetime | None:
        """The process that ran then."""
        for life in reversed(self.lives.get(gateway, [])):
            if life.start_us <= at_us:
                return life
        return None

    def tell_the_silent(self, changed: list[EndpointChanged], calls: list[DiscoveryPoll]) -> None:
        """A gateway that neither watched nor asked for so long counts as told of what it could have heard."""
        by_gateway: dict[str, list[tuple[int, int]]] = defaultdict(list)
        for call in calls:
            for name in [call.gateway] if call.gateway else list(self.lives):
                by_gateway[name].append((call.at_us, (call.until_us or FOREVER_US) + self.rules.ask_us))
        for gateway, lives in self.lives.items():
            heard = sorted(by_gateway[gateway] + [(a.start_us, a.start_us + self.rules.ask_us) for a in lives])
            for change in changed:
                at_us = change.at_us
                for since_us, until_us in heard:
                    if since_us <= at_us < until_us:
                        at_us = until_us
                if at_us < self.end_us:
                    self.told[gateway, change.backend].append(
                        NotificationDelivered(at_us, gateway, change.backend, change.status)
                    )
        for told in self.told.values():
            told.sort(key=lambda entry: entry.at_us)

    def lag_us(self, from_us: int, to_us: int) -> int:
        """For how long the stand-ins stood still in this time."""
        total = 0
        for lag in self.lags[bisect_left(self.lag_ends, from_us) :]:
            start_us = lag.at_us - lag.delay_us  # they follow one another, so their beginnings do too
            if start_us >= to_us:
                break
            total += min(lag.at_us, to_us) - max(start_us, from_us)
        return total

    # Breaches

    def report(self, rule: str, at_us: int, subject: str, what: str, timeline: Iterable[str] = ()) -> None:
        self.violations.append(Violation(rule, at_us, subject, what, tuple(timeline)))

    def about(self, id_: str, rule: str, at_us: int, what: str) -> None:
        self.report(rule, at_us, id_, what, self.timeline(id_))

    def find_violations(self) -> list[Violation]:
        if self.event_log.dropped:
            self.report("missing", self.end_us, "ledger", f"{self.event_log.dropped} entries did not fit: no account")
        for id_, asked in self.asked.items():
            self.judge_answers(id_, asked)
            self.judge_repeats(id_, asked)
        for id_, runs in self.runs.items():
            if id_ not in self.asked and not id_.startswith(RUDE_PREFIX):
                self.about(id_, "missing", runs[0].at_us, "a box was sent a request that no client sent")
            for run in runs:
                self.judge_drain(run)
        for extra in self.extras:
            self.about(extra.id, "missing", extra.at_us, f"bytes where none were owed: {extra.data[:60]!r}")
        self.judge_rude()
        self.judge_bounds()
        self.judge_cold()
        self.violations.sort(key=lambda breach: breach.at_us)
        return self.violations

    # 1. Nothing goes missing

    def judge_answers(self, id_: str, asked: list[RequestSent]) -> None:
        last = asked[-1]
        limit_us = last.at_us + last.budget_us + self.rules.slack_us
        finals = self.finals.get(id_, [])
        left_us = self.left.get(id_, FOREVER_US)
        answers = [final for final in finals if isinstance(final, ResponseReceived)]
        if len(answers) > 1:
            self.about(id_, "missing", answers[1].at_us, "a second answer")
        if not finals:
            if left_us == FOREVER_US and self.end_us > limit_us and not self.is_excused(last, limit_us):
                self.about(id_, "missing", limit_us, "no answer at all")
            return
        final = finals[0]
        if isinstance(final, ResponseMissing):
            # Within its time, a close loses it; past it, so does silence.
            if left_us > final.at_us and not self.is_excused(last, final.at_us):
                what = {"none": "no answer in its time"}.get(final.how, f"its connection was ended ({final.how})")
                self.about(id_, "missing", final.at_us, what)
            return
        late_us = final.at_us - limit_us - self.lag_us(limit_us - self.rules.slack_us, final.at_us)
        if late_us > 0 and left_us > limit_us and not self.is_excused(last, final.at_us):
            self.about(id_, "missing", final.at_us, f"answered {late_us / 1e3:.1f} ms past its time and the slack")
        runs = self.runs.get(id_, [])
        if final.status == 200:
            made = [run for run in runs if run.how in ("ok", "duplicate") and run.ended_us <= final.at_us]
            if final.echoed_id != id_ or not made:
                of = f" (it names {final.echoed_id!r})" if final.echoed_id != id_ else ""
                self.about(id_, "missing", final.at_us, f"served with what no box made for it{of}")
        for run in runs:
            after_us = run.at_us - final.at_us - self.rules.slack_us
            if after_us > self.lag_us(final.at_us, run.at_us):
                self.about(id_, "missing", run.at_us, f"sent to {run.backend} after its final answer")

    def is_excused(self, asked: RequestSent, until_us: int) -> bool:
        """Whether its gateway was killed outright or stopped while it held the request."""
        life = self.process_at(asked.gateway, asked.at_us)
        if life is None:
            return not self.lives.get(asked.gateway)  # nobody wrote down its processes: then nothing is excused
        if asked.at_us >= life.end_us:
            return True  # its kernel had taken the bytes, and nobody was there any more
        in_time = life.kill_us - life.term_us <= KILLED_EARLY_US
        if life.kill_us <= until_us and in_time:
            return True
        return any(start <= until_us and end >= asked.at_us for start, end in life.stops)

    # 2. Nothing takes effect twice

    def judge_repeats(self, id_: str, asked: list[RequestSent]) -> None:
        klass = self.classes.get(asked[0].request_class)
        runs = sorted(self.runs.get(id_, []), key=lambda run: run.at_us)
        self.judge_copies(id_, [run for run in runs if run.received_us])
        if klass is None or klass.effect == "safe":
            return
        for index, run in enumerate(runs):
            if not run.received_us:
                continue  # it never came whole: no attempt
            earlier = [e for e in runs[:index] if e.received_us and not was_turned_away(e, run.at_us)]
            earlier = [e for e in earlier if not self.is_of_the_dead(e, run)]
            if not earlier:
                continue
            if klass.effect == "unsafe":
                self.about(
                    id_, "twice", run.at_us, f"sent to {run.backend} when it may have run at {earlier[0].backend}"
                )
                continue
            age_us = run.at_us - earlier[0].at_us
            if any(e.group != run.group for e in earlier):
                what = f"repeated at {run.backend}, not of the group of {earlier[0].backend}, where it may have run"
                self.about(id_, "twice", run.at_us, what)
            elif age_us >= klass.window_us:
                what = f"repeated {age_us / 1e6:.3f} s after it was first sent; repeats are dropped for"
                self.about(id_, "twice", run.at_us, f"{what} {klass.window_us / 1e6:g} s")
        for final in self.finals.get(id_, []):
            if isinstance(final, ResponseReceived) and final.status in REFUSALS:
                answerer = BackendAttempt(final.at_us, "", 0, 0, gateway=asked[-1].gateway)
                ran = [r for r in runs if r.received_us and not was_turned_away(r, final.at_us)]
                ran = [r for r in ran if r.at_us <= final.at_us and not self.is_of_the_dead(r, answerer)]
                if ran:
                    what = f"refused with {final.status}: harmless to repeat, but it may have run at {ran[0].backend}"
                    self.about(id_, "twice", final.at_us, what)

    def judge_copies(self, id_: str, runs: list[BackendAttempt]) -> None:
        """How often one process may send a request, and whether two of its attempts may be out together."""
        if len(runs) < 2:
            return
        by_life: dict[int, list[BackendAttempt]] = defaultdict(list)
        for run in runs:
            by_life[id(self.process_at(self.sender(run), run.at_us))].append(run)
        for sent in by_life.values():
            if len(sent) > self.rules.attempts:
                what = f"sent {len(sent)} times, {self.rules.attempts} at most"
                self.about(id_, "twice", sent[self.rules.attempts].at_us, what)
            for before, run in pairwise(sent):
                out_us = before.ended_us - self.rules.slack_us if before.ended_us else FOREVER_US
                if not self.rules.second_copies and run.at_us < out_us:
                    self.about(
                        id_, "twice", run.at_us, f"sent to {run.backend} while an attempt is out at {before.backend}"
                    )

    def is_of_the_dead(self, earlier: BackendAttempt, run: BackendAttempt) -> bool:
        """Whether it was sent by a process that was killed since: what that held is the client's to ask again."""
        life = self.process_at(self.sender(earlier), earlier.at_us)
        if life is None or life.kill_us > run.at_us:
            return False
        return life is not self.process_at(self.sender(run), run.at_us)

    def sender(self, run: BackendAttempt) -> str:
        """The gateway that sent it: the link told, or else it is the one that had been asked."""
        if run.gateway:
            return run.gateway
        before = [asked for asked in self.asked.get(run.id, []) if asked.at_us <= run.at_us]
        return before[-1].gateway if before else ""

    # 3. Drains hold

    def judge_drain(self, run: BackendAttempt) -> None:
        gateway = self.sender(run)
        life = self.process_at(gateway, run.at_us)
        since_us = life.start_us if life is not None else 0
        bad_us: int | None = None
        for told in self.told.get((gateway, run.backend), ()):
            if told.at_us > run.at_us:
                break
            if told.at_us < since_us:
                continue  # an earlier process heard it
            if told.status == "SERVING":
                bad_us = None
            elif bad_us is None:
                bad_us = told.at_us
        for ban in self.banned.get((gateway, run.backend), ()):  # it holds over restarts too
            if ban.at_us <= run.at_us < (ban.until_us or FOREVER_US):
                bad_us = min(ban.at_us, FOREVER_US if bad_us is None else bad_us)
        if bad_us is None:
            return
        limit_us = bad_us + self.rules.grace_us + self.rules.slack_us
        late_us = run.at_us - limit_us
        if late_us > 0 and late_us > self.lag_us(limit_us - self.rules.slack_us, run.at_us):
            what = f"{run.backend} was sent it {(run.at_us - bad_us) / 1e6:.3f} s after {gateway} was told"
            self.about(run.id, "drain", run.at_us, what)

    # 4. Cold hosts are spared

    def judge_cold(self) -> None:
        by_box: dict[tuple[str, int], list[BackendAttempt]] = defaultdict(list)
        for runs in self.runs.values():
            for run in runs:
                if run.received_us:
                    by_box[run.backend, run.incarnation].append(run)
        for up in self.ups:
            runs = sorted(by_box[up.backend, up.incarnation], key=lambda run: run.received_us)
            over = self.overdriven(up, runs) if up.initial_capacity < 1.0 else None
            fell = [d for d in self.fallen if (d.backend, d.incarnation) == (up.backend, up.incarnation)]
            if over is not None:
                at_us, what = over
                self.report("cold", at_us, up.backend, what, self.box_timeline(up, runs, at_us))
            elif fell:
                lines = self.box_timeline(up, runs, fell[0].at_us)
                self.report("cold", fell[0].at_us, up.backend, "it fell over", lines)

    def overdriven(self, up: BackendStarted, runs: list[BackendAttempt]) -> tuple[int, str] | None:
        """When it was first sent more than it stands while it warms up, and how much."""
        rules, first, total, found = self.rules, 0, 0, None
        for run in runs:
            age_us = run.received_us - up.at_us
            if age_us >= up.slow_start_us:
                break
            total += run.work_us
            while runs[first].received_us <= run.received_us - rules.fall_us:
                total -= runs[first].work_us
                first += 1
            share = up.initial_capacity + (1 - up.initial_capacity) * age_us / up.slow_start_us
            limit = rules.multiple * share * up.cores * rules.fall_us
            of, box = total / limit, (up.backend, up.incarnation)
            self.slow_start_peaks[box] = max(self.slow_start_peaks.get(box, 0.0), of)
            if total > limit and found is None:
                what = f"sent {total / 1e3:.1f} ms of work in {rules.fall_us / 1e6:g} s, {limit / 1e3:.1f} at most"
                found = run.received_us, f"{what}: it is {age_us / 1e6:.2f} s old"
        return found

    # Beside the four

    def judge_rude(self) -> None:
        for rude in self.rude:
            if rude.status == 200 and not rude.may_be_served:
                self.report("missing", rude.ended_us, rude.gateway, f"served a client that sent: {rude.what}")
            limit_us = rude.at_us + self.rules.rude_us
            owed_us = (rude.ended_us or FOREVER_US) - limit_us
            if owed_us <= self.rules.slack_us or limit_us > self.end_us:
                continue
            asked = RequestSent(rude.at_us, "", "", rude.gateway, 0)
            if not self.is_excused(asked, limit_us) and owed_us > self.lag_us(rude.at_us, limit_us + owed_us):
                what = f"neither an error nor a close in {self.rules.rude_us / 1e6:g} s for a client that sent: "
                self.report("owed", limit_us, rude.gateway, what + rude.what)

    def judge_bounds(self) -> None:
        """Once for each process: it would have been killed."""
        for gateway, usage in self.usage.items():
            seen: set[int] = set()
            for entry in usage:
                life = id(self.process_at(gateway, entry.at_us))
                said = [
                    f"{found} {unit}, {most} at most"
                    for found, unit, most in (
                        (max(entry.rss_kib, entry.peak_kib) // 1024, "MiB", self.rules.memory_mib),
                        (entry.descriptors, "descriptors", self.rules.sockets),
                    )
                    if found > most
                ]
                if said and life not in seen:
                    seen.add(life)
                    self.report("bounds", entry.at_us, gateway, "; ".join(said))

    # Time lines

    def timeline(self, id_: str) -> list[str]:
        """All that any party saw of a request, in milliseconds since it was asked."""
        lines: list[tuple[int, str]] = []
        for asked in self.asked.get(id_, []):
            text = f"client: {asked.request_class} to {asked.gateway}, {asked.budget_us // 1000} ms"
            text += f", key {asked.idempotency_key}" if asked.idempotency_key else ""
            text += f", a try of {asked.first_id}" if asked.first_id not in ("", id_) else ""
            lines.append((asked.at_us, text + (", once more on a new connection" if asked.is_resend else "")))
        for run in self.runs.get(id_, []):
            at = f"{run.backend}#{run.incarnation}"
            lines.append((run.at_us, f"gateway {run.gateway or '?'}: first byte to {at} (group {run.group})"))
            for moment_us, text in (
                (run.received_us, "came whole"),
                (run.started_us, "began"),
                (run.ended_us, run.how),
            ):
                if moment_us:
                    lines.append((moment_us, f"{at}: {text}"))
            for told in self.told.get((self.sender(run), run.backend), ()):
                if told.at_us <= run.at_us and told.at_us > run.at_us - 10_000_000:
                    lines.append((told.at_us, f"registry: told {told.gateway} that {told.backend} is {told.status}"))
        for final in self.finals.get(id_, []):
            said = f"answer {final.status}" if isinstance(final, ResponseReceived) else f"no answer ({final.how})"
            lines.append((final.at_us, f"client: {said}"))
        if id_ in self.left:
            lines.append((self.left[id_], "client: went away"))
        for gateway in {asked.gateway for asked in self.asked.get(id_, [])}:
            for life in self.lives.get(gateway, []):
                for moment_us, text in ((life.term_us, "SIGTERM"), (life.kill_us, "SIGKILL"), (life.end_us, "ended")):
                    if lines and min(lines)[0] - 5_000_000 < moment_us < max(lines)[0] + 5_000_000:
                        lines.append((moment_us, f"gateway {gateway}: {text}"))
        return in_order(lines, self.asked[id_][0].at_us if self.asked.get(id_) else None)

    def box_timeline(self, up: BackendStarted, runs: list[BackendAttempt], at_us: int) -> list[str]:
        """A box's life so far, and who sent what in the window before."""
        lines = [(up.at_us, f"{up.backend}#{up.incarnation}: up, {up.initial_capacity:.0%} of {up.cores} cores")]
        for run in runs:
            if at_us - self.rules.fall_us < run.received_us <= at_us:
                text = f"{run.gateway or '?'}: {run.request_class} {run.id}, "
                text += f"{run.work_us / 1e3:.1f} ms of work, {run.how}"
                lines.append((run.received_us, text))
        return in_order(lines, up.at_us)


def was_turned_away(run: BackendAttempt, by_us: int) -> bool:
    """Whether whoever sent it had been told by then that it never ran."""
    return run.how == "rejected" and 0 < run.ended_us <= by_us


def in_order(lines: list[tuple[int, str]], zero_us: int | None) -> list[str]:
    lines.sort()
    if lines and zero_us is None:
        zero_us = lines[0][0]
    return [f"{(at_us - (zero_us or 0)) / 1e3:+10.1f} ms  {text}" for at_us, text in lines]


def find_violations(ledger: EventLog, rules: Rules | None = None) -> list[Violation]:
    """All breaches, by time. The ledger says what it is judged by; `rules` has the last word."""
    return Checker(ledger, rules).find_violations()
