"""Boxes from ephemeral nodes, through kazoo. Imported only where it is switched on.

kazoo's threads hold the session and call the watches; one thread of ours reads. What is found out goes to the loop,
in order. A read sets its watch before it gets its data, so no change is missed between a watch that fired and its
renewal; a read that fails is made again as a whole; a list is told only when all of it was read.
"""

from __future__ import annotations

import asyncio
import logging
import random
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from kazoo.client import KazooClient
from kazoo.exceptions import KazooException, NoAuthError, NoNodeError
from kazoo.handlers.threading import KazooTimeoutError
from kazoo.protocol.states import Callback
from kazoo.retry import KazooRetry

from cloverkeel.core.log import log
from cloverkeel.discovery.source_merge import Link, Member, one_for_each
from cloverkeel.discovery.node_codec import NodeError, parse

BOXES_LIMIT = 4_096  # nodes read; more are left out, and that is said
GONE_S = 0.2  # from a node's deletion until it is told without a list: far under the drain rule's second
FLUSH_S = 1.0  # for kazoo's threads to call back
CONFIRM_S = 1.0  # between looks whether the list is still the service's
REFUSED_S = 5.0  # before what an ACL refuses is asked for again
FIRST_RETRY_S, LAST_RETRY_S = 0.1, 2.0  # between reads that fail
# Between connects that fail: doubled each time, spread over its whole length, so that a fleet does not come together.
CONNECT = {"max_tries": -1, "delay": 0.5, "backoff": 2, "max_jitter": 0.5, "max_delay": 5.0}
LINKS = {"CONNECTED": Link.CONNECTED, "SUSPENDED": Link.SUSPENDED, "LOST": Link.LOST}

OnLink = Callable[[Link], None]
OnEndpointList = Callable[[list[Member]], None]


@dataclass(slots=True)
class Seen:
    """One node as it was read."""

    czxid: int
    mzxid: int
    member: Member | None  # None: its data cannot be used


@dataclass(slots=True)
class Counts:
    reads: int = 0  # of single nodes
    lists: int = 0
    failures: int = 0
    connects: int = 0
    bad_data: int = 0


class EphemeralNodes:
    """Tells `on_list` the whole list each time that it changed, `on_link` the session's state; on the loop."""

    def __init__(
        self, hosts: str, path: str, session_ms: int, spread_s: float, on_list: OnEndpointList, on_link: OnLink,
        on_confirmed: Callable[[], None] = lambda: None, on_gone: Callable[[str], None] = lambda name: None,
    ) -> None:  # fmt: skip
        self.loop = asyncio.get_running_loop()
        self.path, self.spread_s = path, spread_s
        self.on_list, self.on_link, self.on_confirmed, self.on_gone = on_list, on_link, on_confirmed, on_gone
        self.counts = Counts()
        self.wake = threading.Event()
        self.lock = threading.Lock()
        self.whole = True  # everything is to be read
        self.dirty: set[str] = set()  # nodes that are
        self.children_dirty = False
        self.deleted: dict[str, int] = {}  # nodes that went and were not read anew since: which deletion it was
        self.deletions = 0
        self.telling_gone = False  # a timer is set that tells of them
        self.awaited: list[Callable[[], None]] = []  # who waits for what was said while the process stood still
        self.was_connected = False
        self.closed = False
        self.seen: dict[str, Seen] = {}
        self.found: dict[str, Member] = {}  # by node, what was told last
        self.told: dict[str, Member] | None = None  # the same by box
        self.retell = False  # the next list is told, changed or not
        self.said: set[tuple[str, int]] = set()  # bad data that was logged: node and mzxid
        logging.getLogger("kazoo").setLevel(logging.CRITICAL)  # what matters is logged here, in one line
        self.client = KazooClient(
            hosts, timeout=session_ms / 1000, connection_retry=KazooRetry(**CONNECT),
            command_retry=KazooRetry(max_tries=0),
        )  # fmt: skip
        self.client.add_listener(self.on_state)
        self.reader = threading.Thread(target=self.run, name="membership", daemon=True)

    def start(self) -> None:
        self.client.start_async()
        self.reader.start()

    def close(self) -> None:
        """End the session; what it held is nobody's but ours, so nothing waits for it."""
        self.closed = True
        self.wake.set()
        threading.Thread(target=self.end, name="membership-end", daemon=True).start()

    def end(self) -> None:
        try:
            self.client.stop()
            self.client.close()
        except Exception as error:
            log(f"membership: the session's end: {error!r}")

    # From kazoo's threads

    def on_state(self, state: str) -> None:
        self.post(self.on_link, LINKS[state])
        if state != "CONNECTED":
            return
        self.counts.connects += 1
        with self.lock:
            self.whole = True  # kazoo's watches ended with the connection
        self.wake.set()

    def on_children(self, event: Any) -> None:
        with self.lock:
            self.children_dirty = True
        self.wake.set()

    def on_node(self, event: Any) -> None:
        name = event.path.rpartition("/")[2] if event.path else ""
        if not name:
            return
        with self.lock:
            self.dirty.add(name)
            if event.type == "DELETED":
                self.deletions += 1
                self.deleted[name] = self.deletions
                if not self.telling_gone:
                    self.telling_gone = True
                    self.post(self.tell_gone_soon)
        self.wake.set()

    def tell_gone_soon(self) -> None:
        self.loop.call_later(GONE_S, self.tell_gone)

    def tell_gone(self) -> None:
        """Tell what was deleted and could not be read anew since: what allows less needs no list.

        Guards against a connection that is lost, or falls silent, between the word and the reading.
        """
        with self.lock:
            self.telling_gone = False
            for name in self.deleted:
                gone = self.found.get(name)
                if gone is not None and self.told is not None and self.told.get(gone.name) == gone:
                    self.retell = True  # the next list is told in any case
                    self.post(self.on_gone, gone.name)

    def catch_up(self, done: Callable[[], None]) -> None:
        """Call `done`, on the loop, once all has been told that this process was told before."""
        with self.lock:
            self.awaited.append(done)
        self.wake.set()

    def post(self, what: Callable[..., None], *values: Any) -> None:
        if not self.closed:
            try:
                self.loop.call_soon_threadsafe(what, *values)
            except RuntimeError:
                self.closed = True  # the loop has ended

    # The reader's thread

    def run(self) -> None:
        wait_s = FIRST_RETRY_S
        while not self.closed:
            self.wake.wait(CONFIRM_S)
            self.wake.clear()
            if self.closed:
                return
            if not self.client.connected:
                continue
            try:
                awaited = self.flush()
                if self.is_due():
                    self.read()
                else:
                    self.confirm()
                self.release(awaited)
                wait_s = FIRST_RETRY_S
            except NoAuthError:
                log(f"membership: {self.path} may not be read; asking again in {REFUSED_S:g} s")
                self.fail(REFUSED_S)
            except (KazooException, KazooTimeoutError, OSError) as error:
                self.counts.failures += 1
                self.fail(wait_s * random.uniform(0.5, 1.0))
                wait_s = min(2 * wait_s, LAST_RETRY_S)
                if not isinstance(error, KazooException):
                    log(f"membership: {error!r}")
            except Exception as error:
                # Whatever it is: a reader that ends would leave the list as it is for ever.
                log(f"membership: DEFECT: {error!r}")
                self.fail(LAST_RETRY_S)

    def is_due(self) -> bool:
        """Whether anything is to be read: asked of what is noted, not of the wake.

        Guards against a word that comes between the end of a wait and the clearing of its flag, or before the
        session counts as up: its wake is lost, and without this the list would stand as it is for ever.
        """
        with self.lock:
            return bool(self.whole or self.children_dirty or self.dirty or self.deleted or self.awaited)

    def fail(self, wait_s: float) -> None:
        with self.lock:
            self.whole = True
        threading.Event().wait(wait_s)
        self.wake.set()

    def flush(self) -> int:
        """Let kazoo's threads hand over what had come before now; returns how many wait for that.

        A notification precedes the answer to what is asked after it, and the threads call back in their order.
        """
        awaited = len(self.awaited)
        if awaited:
            self.client.exists(self.path)
            called = threading.Event()
            self.client.handler.dispatch_callback(Callback("flush", called.set, ()))
            called.wait(FLUSH_S)
        return awaited

    def release(self, awaited: int) -> None:
        """All that they wait for has been told."""
        with self.lock:
            released, self.awaited = self.awaited[:awaited], self.awaited[awaited:]
        for done in released:
            self.post(done)

    def confirm(self) -> None:
        """Ask for anything: that it is answered shows that the watches hold."""
        if self.told is not None:
            self.client.exists(self.path)
            self.post(self.on_confirmed)

    def read(self) -> None:
        with self.lock:
            whole, children, dirty = self.whole, self.children_dirty, self.dirty
            self.whole, self.children_dirty, self.dirty = False, False, set()
            deleted = dict(self.deleted)
            for name in deleted:
                dirty.add(name)  # what stands under that name is another node
        if whole:
            if self.was_connected and self.spread_s:
                # Guards against hundreds of gateways that all read all of it at once after a reconnect.
                threading.Event().wait(random.uniform(0, self.spread_s))
            self.seen = {}
        try:
            if whole or children:
                self.read_names(dirty)
            for name in dirty & self.seen.keys():
                self.read_node(name)
        except NoNodeError:
            # There is no such folder: nobody has registered there, ever. That tells nothing of any box.
            self.client.exists(self.path, watch=self.on_children)
            log(f"membership: there is no {self.path} yet")
            return
        except BaseException:
            with self.lock:
                self.whole = True
            raise
        self.was_connected = True
        self.counts.lists += 1
        self.tell(deleted)

    def read_names(self, dirty: set[str]) -> None:
        names = sorted(self.client.get_children(self.path, watch=self.on_children))
        if len(names) > BOXES_LIMIT:
            log(f"membership: {len(names)} nodes; {BOXES_LIMIT} at most are read")
            names = names[:BOXES_LIMIT]
        for name in self.seen.keys() - set(names):
            del self.seen[name]
        for name in names:
            if name not in self.seen or name in dirty:
                self.read_node(name)
                dirty.discard(name)

    def read_node(self, name: str) -> None:
        try:
            data, stat = self.client.get(f"{self.path}/{name}", watch=self.on_node)
        except NoNodeError:
            self.seen.pop(name, None)  # it has gone since: the list of children tells so too
            return
        except NoAuthError:
            self.leave_out(name, 0, "it may not be read")
            self.seen[name] = Seen(0, 0, None)
            return
        self.counts.reads += 1
        member = None
        try:
            member = parse(data, stat.czxid)
        except NodeError as error:
            self.leave_out(name, stat.mzxid, str(error))
        self.seen[name] = Seen(stat.czxid, stat.mzxid, member)

    def leave_out(self, name: str, mzxid: int, why: str) -> None:
        if (name, mzxid) not in self.said:
            if len(self.said) > BOXES_LIMIT:
                self.said.clear()
            self.said.add((name, mzxid))
            self.counts.bad_data += 1
            log(f"membership: {self.path}/{name} is left out: {why}")

    def tell(self, deleted: dict[str, int]) -> None:
        """Tell what was read; nodes that went before it began are over with that, later ones are not."""
        with self.lock:
            self.deleted = {name: which for name, which in self.deleted.items() if deleted.get(name) != which}
            self.found = {n: s.member for n, s in self.seen.items() if s.member and n not in self.deleted}
            members, twice = one_for_each(self.found)
            is_news, self.told, self.retell = members != self.told or self.retell, members, False
            if is_news:
                self.post(self.on_list, list(members.values()))
            else:
                self.post(self.on_confirmed)
        for name in twice:
            self.leave_out(name, -len(self.seen), "two nodes name this box; the newer counts")
