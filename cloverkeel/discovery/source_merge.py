"""Who is there: words of several sources in, one list out. Pure: no I/O, no clock, times come with the events.

What a source says of a box is a word: it is there (SERVING, DRAINING) or it is told gone. What no source has a word
on is not known, which is another thing:

- A source that is live tells: what its whole list no longer names is told gone, at once and for any number of boxes.
- A source that lost its connection tells nothing: its last words stand, with their age.
- For each box the first source, in the order of precedence, that has a word decides. A box that it told gone stays
  gone whatever a later source lists, until the first one lists it again, or a later one lists a new life of it, begun
  after the word was given.
- The list known from before has the last place, and only until some source has given a whole list.

Invariants: the list depends on the last words alone, not on the order in which sources gave them; no word of one
source changes another's; what is kept of boxes that are gone is bounded (GONE_KEPT).
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

MAX_REMOVALS_REMEMBERED = 4_096  # boxes that a source told gone, remembered; the oldest are forgotten first


class Source(Enum):
    EPHEMERAL = "ephemeral"
    REGISTRY = "registry"
    KNOWN = "known"


class ConnectionState(Enum):
    """A source's connection, by the names that its field uses."""

    CONNECTED = "connected"
    SUSPENDED = "suspended"  # the connection is lost, the session may live
    LOST = "lost"  # the session is over


class BackendStatus(Enum):
    SERVING = "SERVING"
    DRAINING = "DRAINING"


@dataclass(slots=True, frozen=True)
class Backend:
    """One box in one life, as a source has it."""

    name: str
    address: tuple[str, int]
    status: BackendStatus = BackendStatus.SERVING
    zone: str | int = ""  # a number where the source has numbered it
    kind: str | int = ""
    group: int | str = 0
    weight: float = 1.0
    since_ms: int = 0  # when its process started; 0: long ago
    czxid: int = 0  # of its node: which registration this is


@dataclass(slots=True)
class SourceState:
    """What one source has said last."""

    present: dict[str, Backend] = field(default_factory=dict)
    gone: OrderedDict[str, int] = field(default_factory=OrderedDict)  # name: when it was told, Unix ms
    link: ConnectionState = ConnectionState.LOST
    listed: bool = False  # it has given a whole list since the start
    confirmed_us: int = 0  # when it was last known to be as the source has it


@dataclass(slots=True, frozen=True)
class BackendChanges:
    """What an event came to: boxes that are new or other than before, and boxes that are told gone."""

    put: tuple[Backend, ...] = ()
    gone: tuple[Backend, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.put or self.gone)


@dataclass(slots=True)
class MergeCounters:
    changes: int = 0
    lists: int = 0
    suspended: int = 0
    lost: int = 0


class SourceMerge:
    """Feed it what the sources say; each call returns the change that follows for the gateway."""

    def __init__(self, precedence: Sequence[Source] = (Source.EPHEMERAL, Source.REGISTRY)) -> None:
        if Source.KNOWN in precedence or len(set(precedence)) != len(precedence) or not precedence:
            raise ValueError("precedence names sources other than the known list, each once")
        self.order = (*precedence, Source.KNOWN)
        self.words: dict[Source, SourceState] = {source: SourceState() for source in self.order}
        self.members: dict[str, Backend] = {}
        self.counts = MergeCounters()

    # What sources say

    def known(self, now_us: int, members: Iterable[Backend]) -> BackendChanges:
        """The list from before: it stands where nothing newer does."""
        words = self.words[Source.KNOWN]
        words.present = {member.name: member for member in members}
        words.confirmed_us = now_us
        return self.settle()

    def whole_list(self, now_us: int, source: Source, members: Iterable[Backend]) -> BackendChanges:
        """All that a source has now; what it had and no longer has is told gone."""
        words = self.words[source]
        found = {member.name: member for member in members}
        for name in words.present.keys() - found.keys():
            self.note_gone(words, name, now_us)
        words.present, words.listed, words.confirmed_us = found, True, now_us
        for name in found:
            words.gone.pop(name, None)
        self.counts.lists += 1
        return self.settle()

    def told(
        self, now_us: int, source: Source, present: Iterable[Backend] = (), gone: Iterable[str] = ()
    ) -> BackendChanges:
        """Single words of a live source."""
        words = self.words[source]
        for member in present:
            words.present[member.name] = member
            words.gone.pop(member.name, None)
        for name in gone:
            words.present.pop(name, None)
            self.note_gone(words, name, now_us)
        words.confirmed_us = now_us
        return self.settle()

    def link(self, now_us: int, source: Source, link: ConnectionState) -> BackendChanges:
        """A source's connection came up or went: no word on any box."""
        words = self.words[source]
        if link is not words.link:
            self.counts.suspended += link is ConnectionState.SUSPENDED
            self.counts.lost += link is ConnectionState.LOST
        words.link = link
        if link is ConnectionState.CONNECTED:
            words.confirmed_us = now_us if words.listed else words.confirmed_us
        return BackendChanges()

    def confirm(self, now_us: int, source: Source) -> None:
        """The source has been heard: its words are as new as this."""
        if self.words[source].link is ConnectionState.CONNECTED and self.words[source].listed:
            self.words[source].confirmed_us = now_us

    def note_gone(self, words: SourceState, name: str, now_us: int) -> None:
        words.gone.pop(name, None)
        words.gone[name] = now_us // 1000
        while len(words.gone) > MAX_REMOVALS_REMEMBERED:
            words.gone.popitem(last=False)

    # What follows

    @property
    def has_list(self) -> bool:
        return any(words.listed for words in self.words.values())

    def age_us(self, now_us: int) -> int:
        """How old the newest confirmation is of the list that stands; never less than 0."""
        times = [words.confirmed_us for words in self.words.values() if words.listed]
        return max(0, now_us - max(times)) if times else 0

    def decide(self, name: str) -> Backend | None:
        """The first word on a box; None: it is gone, or nobody knows it."""
        told_ms: int | None = None
        for source in self.order:
            words = self.words[source]
            if source is Source.KNOWN and self.has_list:
                return None
            member = words.present.get(name)
            if member is not None:
                # Told gone by a source before this one: only a life that began since is another box.
                if told_ms is None or (member.since_ms and member.since_ms > told_ms):
                    return member
                return None
            gone_ms = words.gone.get(name)
            if gone_ms is not None:
                told_ms = gone_ms if told_ms is None else max(told_ms, gone_ms)
        return None

    def settle(self) -> BackendChanges:
        """Bring the list to what the words imply."""
        names = {name for words in self.words.values() for name in words.present}
        wanted: dict[str, Backend] = {}
        for name in sorted(names):
            member = self.decide(name)
            if member is not None:
                wanted[name] = member
        put = tuple(member for name, member in wanted.items() if self.members.get(name) != member)
        gone = tuple(member for name, member in self.members.items() if name not in wanted)
        self.members = wanted
        change = BackendChanges(put, gone)
        self.counts.changes += bool(change)
        return change


def deduplicate_by_name(found: Mapping[str, Backend]) -> tuple[dict[str, Backend], list[str]]:
    """Nodes to boxes: where two agents register one box, the newest registration counts; the names of such boxes."""
    members: dict[str, Backend] = {}
    twice: list[str] = []
    for member in found.values():
        other = members.get(member.name)
        if other is not None:
            twice.append(member.name)
        if other is None or (member.since_ms, member.czxid) > (other.since_ms, other.czxid):
            members[member.name] = member
    return members, sorted(set(twice))
