"""The real program with guards taken out: `python -m benchmarks.guards.maimed NAME[+NAME...] [words of the program]`.

Each entry replaces one function, or one line of it, and then the program starts as it always does; nothing in the
product knows of this file. A line that is to be replaced must be there just once: when the sources change, the
entry fails loudly instead of taking out nothing.
"""

from __future__ import annotations

import inspect
import os
import sys
import textwrap
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

Patch = Callable[[], None]
GUARDS: dict[str, Patch] = {}


def entry(name: str) -> Callable[[Patch], Patch]:
    def register(patch: Patch) -> Patch:
        assert name not in GUARDS
        GUARDS[name] = patch
        return patch

    return register


def swap(owner: Any, name: str, made: Any) -> Any:
    """Put something in the place of an attribute that is there; returns what it was."""
    old = inspect.getattr_static(owner, name)
    setattr(owner, name, made)
    return old


def cut(owner: Any, name: str, *pieces: tuple[str, str]) -> None:
    """Compile a function anew with pieces of its source replaced."""
    function = inspect.getattr_static(owner, name)
    source = textwrap.dedent(inspect.getsource(function))
    for old, new in pieces:
        if source.count(old) != 1:
            raise SystemExit(f"maimed: {owner.__name__}.{name}: expected {old!r} once, found {source.count(old)}")
        source = source.replace(old, new)
    module = sys.modules[function.__module__]
    made: dict[str, Any] = {}
    exec(compile(source, f"<maimed {name}>", "exec"), module.__dict__, made)
    setattr(owner, name, made[name])


# Nothing goes missing


@entry("answers-failed")
def _() -> None:
    """A request whose attempts have all failed is given no answer."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "answer_unserved", ("self.actions.append(Fail(request.id))", "pass"))


@entry("answers-refused")
def _() -> None:
    """A request that is turned away is given no answer."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "answer_unserved", ("self.actions.append(Refuse(request.id, self.retry_after_us(), why))", "pass"))


@entry("answers-module-error")
def _() -> None:
    """An event that the module fails at ends the turn; nobody is answered."""
    from cloverkeel.core.gateway import Gateway

    cut(Gateway, "handle", ("except Exception:\n        # Guards against one bad", "except MemoryError:\n        #"))


@entry("answers-action-error")
def _() -> None:
    """An action that can't be carried out ends the turn, and the actions after it are lost."""
    from cloverkeel.core.gateway import Gateway

    cut(
        Gateway, "handle",
        ("except Exception:\n            # Guards the client", "except MemoryError:\n            #"),
    )  # fmt: skip


@entry("answer-owed")
def _() -> None:
    """A final answer is carried out for a request that is over."""
    from cloverkeel.core.gateway import Gateway

    cut(Gateway, "owed", ("held is None or held.closed", "held is None"))


@entry("answer-own")
def _() -> None:
    """A client's connection writes an answer whatever request it is for."""
    from cloverkeel.frontends.http1.server import ClientConnection

    for name in ("on_served", "on_refused", "on_failed"):
        cut(ClientConnection, name, ("if self.call is call:", "if True:"))


@entry("deadline-module")
def _() -> None:
    """The module waits for an attempt as long as it likes."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "try_send", ("max(1, self.end_us(request) - self.now_us)", "10_000_000"))


@entry("deadline-gateway")
def _() -> None:
    """The gateway waits for as long as the module says, past the client's deadline too."""
    from cloverkeel.core.gateway import Gateway

    cut(Gateway, "send", ("min(action.timeout_us, left_us)", "action.timeout_us"))


@entry("ids-in-use")
def _() -> None:
    """A request with the id of one that is open is taken."""
    from cloverkeel.core.gateway import Gateway

    cut(Gateway, "arrive", ("if call.id in self.by_id:", "if False:"))


@entry("tickets")
def _() -> None:
    """The module knows a request by its client's id."""
    from cloverkeel.core.gateway import Gateway

    cut(Gateway, "arrive", ("str(next(self.tickets))", "call.id"))


@entry("free-by-identity")
def _() -> None:
    """The module forgets whatever has the id of a request that is over."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "free", ("if self.requests.get(request.id) is request:", "if request.id in self.requests:"))


@entry("sweep")
def _() -> None:
    """Attempts that nobody ended count as out for ever."""
    from cloverkeel.balancing.balancer import Balancer

    swap(Balancer, "sweep", lambda self: self.set_sweep())


def other_way_out(**changes: Any) -> None:
    from cloverkeel.core import draining as emptying
    from cloverkeel.frontends.http1 import server

    old = emptying.on_the_way_out
    for owner in (emptying, server):
        swap(owner, "on_the_way_out", lambda longest_s: replace(old(longest_s), **changes))


@entry("way-out-accepts")
def _() -> None:
    """On SIGTERM no connection is taken any more."""
    from cloverkeel.frontends.http1 import server

    other_way_out(accept_s=0.0)
    cut(server.Server, "stop_listening", ("self.accept(BACKLOG)", "pass"))


@entry("way-out-answers")
def _() -> None:
    """On SIGTERM the program ends with what it holds."""
    from cloverkeel.frontends.http1.server import Server

    async def drain(self: Any) -> None:
        self.stop_listening()

    swap(Server, "drain", drain)


@entry("way-out-ends")
def _() -> None:
    """On SIGTERM the program goes on as long as any client is connected."""
    from cloverkeel.core.draining import Timetable

    swap(Timetable, "may_close", lambda *args: False)


@entry("way-out-bound")
def _() -> None:
    """Nothing bounds the way out."""
    from cloverkeel.core import draining as emptying

    swap(emptying, "LAST_S", 3600.0)


@entry("idle-unread")
def _() -> None:
    """A connection counts as idle though a request waits in the kernel."""
    from cloverkeel.frontends.http1.server import ClientConnection

    cut(ClientConnection, "is_idle", ("return not self.poll.poll(0)", "return True"))


@entry("idle-first")
def _() -> None:
    """On the way out a connection is closed before its first request had time to come."""
    other_way_out(first_s=0.0)


@entry("way-out-keeps")
def _() -> None:
    """On the way out each answer ends its connection at once."""
    other_way_out(keep_s=0.0)


@entry("way-out-hurry")
def _() -> None:
    """On the way out half a request is waited for to the end."""
    other_way_out(hurry_s=3600.0)


@entry("replies-behind")
def _() -> None:
    """A connection on which more came than an answer is used again."""
    from cloverkeel.protocols.http1 import ReplyReader

    cut(
        ReplyReader, "feed",
        ("self._replies[0].keep_alive = False", "pass"),
        ("if len(self._replies) > 1 or self.has_begun:", "if False:"),
    )  # fmt: skip


@entry("cancel-closes")
def _() -> None:
    """The connection of an attempt that was given up is kept."""
    from cloverkeel.upstream.connection_pool import Pools

    cut(
        Pools, "cancel",
        ("connection.attempt = None\n        connection.close()",
         "connection.attempt = None\n        self.keep(connection) if connection.transport else connection.close()"),
    )  # fmt: skip


@entry("unasked-closes")
def _() -> None:
    """What a host says unasked is let pass."""
    from cloverkeel.upstream.connection_pool import HostConnection, Pools

    cut(Pools, "on_reply", ("if attempt is None:\n        connection.close()", "if attempt is None:\n        pass"))
    cut(HostConnection, "data_received", ("elif self.attempt is None:", "elif False:"))


# What clients send


@entry("head-deadline")
def _() -> None:
    """A request that has begun to come has all the time in the world."""
    from cloverkeel.frontends.http1.server import Server

    cut(Server, "sweep", ("connection.give_up_reading()", "pass"))


@entry("silent-deadline")
def _() -> None:
    """A client's connection that has said nothing stays."""
    from cloverkeel.frontends.http1.server import Server

    cut(Server, "sweep", ('(self.silent, SILENT_S, "silent"), ', ""))


@entry("head-limit")
def _() -> None:
    """A head may be of any length."""
    from cloverkeel.frontends.http1 import requests

    swap(requests, "HEAD_LIMIT", 1 << 40)


@entry("body-limit")
def _() -> None:
    """A body may be of any length."""
    from cloverkeel.frontends.http1 import requests

    swap(requests, "LARGE_LIMIT", 1 << 40)


@entry("read-ahead")
def _() -> None:
    """All that comes on one connection is read at once."""
    from cloverkeel.frontends.http1 import server

    swap(server, "PIPELINED", 1 << 30)


@entry("both-framings")
def _() -> None:
    """A request with a length and a transfer coding is read by the coding."""
    from cloverkeel.frontends.http1.requests import RequestReader

    old = RequestReader.__init__

    def init(self: Any, *args: Any) -> None:
        old(self, *args)
        self._parser.set_dangerous_leniencies(lenient_chunked_length=True)

    swap(RequestReader, "__init__", init)


@entry("repeated-headers")
def _() -> None:
    """Of headers that come twice, the first counts."""
    from cloverkeel.frontends.http1 import requests

    swap(requests, "ONCE", frozenset())


@entry("budget-cut")
def _() -> None:
    """A client's budget may be of any length."""
    from cloverkeel.frontends.http1 import requests

    cut(
        requests, "read_call",
        ("settings.give_up_us if budget_ms is None else min(budget_ms * 1000, settings.give_up_us)",
         "settings.give_up_us if budget_ms is None else budget_ms * 1000"),
    )  # fmt: skip


@entry("client-share")
def _() -> None:
    """Clients may take every descriptor."""
    from cloverkeel.frontends.http1.server import Server

    swap(Server, "has_room", lambda self: True)


@entry("accept-error")
def _() -> None:
    """An accept that fails for want of descriptors ends the turn."""
    from cloverkeel.frontends.http1.server import Server

    cut(Server, "accept", ("except OSError as error:", "except MemoryError as error:"))


@entry("host-room")
def _() -> None:
    """No descriptor is freed for a connection to a host."""
    from cloverkeel.frontends.http1.server import Server

    swap(Server, "make_room", lambda self: True)


@entry("budget-as-written")
def _() -> None:
    """A host is told the time that was left when its connection was asked for."""
    from cloverkeel.core.gateway import Gateway

    cut(Gateway, "send", ("(end_us - at_us)", "wait_us"))


@entry("accept-pauses")
def _() -> None:
    """An accept without a descriptor is tried again at once."""
    from cloverkeel.frontends.http1.server import Server

    swap(Server, "pause_accepting", lambda self: None)


@entry("slow-yield")
def _() -> None:
    """Who has sent half a request keeps its descriptor for its time."""
    from cloverkeel.frontends.http1.server import Server

    swap(Server, "give_up_slow", lambda self: False)


@entry("reserve-kept")
def _() -> None:
    """Where nobody can yield, connections to hosts take what is left."""
    from cloverkeel.frontends.http1.server import Server

    cut(Server, "make_room", ("or self.hosts.give_up_idle()", "or self.hosts.give_up_idle() or True"))


# What hosts answer


@entry("reply-body-limit")
def _() -> None:
    """A host's answer may be of any length."""
    from cloverkeel.protocols import http1

    swap(http1, "LARGE_LIMIT", 1 << 40)
    cut(http1.ReplyReader, "__init__", ("self._limit = limit", "self._limit = 1 << 40"))


@entry("reply-head-limit")
def _() -> None:
    """The head of a host's answer may be of any length."""
    from cloverkeel.protocols import http1

    swap(http1, "HEAD_LIMIT", 1 << 40)


# Nothing takes effect twice


@entry("unsafe-again")
def _() -> None:
    """After a failure, what runs at most once is tried again though it may have run."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "try_again", ("klass.effect is not Effect.UNSAFE and not shed", "not shed"))


@entry("unsafe-servers")
def _() -> None:
    """There are servers for what runs at most once though it may have run."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "allowed_servers", ("if ran and klass.effect is Effect.UNSAFE:", "if False:"))


@entry("keyed-group")
def _() -> None:
    """What carries a key is repeated anywhere."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "allowed_servers", ("elif klass.scope is Scope.GROUP:", "elif False:"))


@entry("keyed-window")
def _() -> None:
    """What carries a key is repeated at any time."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "allowed_servers", ("if self.now_us - ran[0].sent_us >= klass.window_us:", "if False:"))


@entry("refuses-what-ran")
def _() -> None:
    """What may have run is refused, as if it could be repeated."""
    from cloverkeel.balancing.balancer import Balancer

    cut(
        Balancer, "answer_unserved",
        ("if not ran or klass.effect is Effect.SAFE or dropped_anywhere:", "if True:"),
    )  # fmt: skip


@entry("attempts-module")
def _() -> None:
    """The module counts no attempts."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "try_again", ("len(request.attempts) < self.settings.max_attempts", "True"))
    cut(Balancer, "on_overdue", ("len(request.attempts) < self.settings.max_attempts", "True"))


@entry("attempts-gateway")
def _() -> None:
    """The gateway counts no attempts."""
    from cloverkeel.core.gateway import Gateway

    cut(Gateway, "send", ("or number >= self.settings.max_attempts", ""))


@entry("second-copies")
def _() -> None:
    """A second copy is sent where none may be."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "on_overdue", ("or not self.settings.second_copies", ""))


@entry("reset-may-have-run")
def _() -> None:
    """A connection that breaks was never written to."""
    from cloverkeel.upstream.connection_pool import Pools

    cut(Pools, "on_lost", ("Outcome.RESET if written else Outcome.CONNECT_FAILED", "Outcome.CONNECT_FAILED"))


@entry("timeout-may-have-run")
def _() -> None:
    """What was not answered in time was never written."""
    from cloverkeel.upstream.connection_pool import Pools

    swap(Pools, "is_written", lambda self, attempt: False)


@entry("error-may-have-run")
def _() -> None:
    """Any answer but 200 says that it never ran."""
    import cloverkeel.upstream.connection_pool as pools

    cut(pools, "outcome_of", ("return Outcome.ERROR", "return Outcome.FULL"))


@entry("garbage-may-have-run")
def _() -> None:
    """What can't be read says that it never ran."""
    from cloverkeel.upstream.connection_pool import Pools

    cut(Pools, "on_garbage", ("Outcome.ERROR", "Outcome.CONNECT_FAILED"))


# Drains hold


@entry("drain-module")
def _() -> None:
    """The module picks servers that drain."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "is_eligible", ("if server.entry.status is not ServerStatus.READY:", "if False:"))


@entry("drain-pools")
def _() -> None:
    """Whoever carries attempts sends to hosts that drain."""
    from cloverkeel.upstream.connection_pool import Pools

    cut(Pools, "refused", ("> self.settings.stop_sending_within_us", "> 10**15"))


@entry("gone-module")
def _() -> None:
    """The module keeps servers that left the list."""
    from cloverkeel.balancing.balancer import Balancer

    swap(Balancer, "take_leave", lambda self, number: None)


@entry("gone-pools")
def _() -> None:
    """Whoever carries attempts keeps hosts that left the list."""
    from cloverkeel.upstream.connection_pool import Pools

    swap(Pools, "remove", lambda self, id_: None)


@entry("watch-silent")
def _() -> None:
    """A watch that says nothing is waited for as if it had something to say."""
    from cloverkeel.discovery import poll_schedule as watch

    swap(watch, "LATE_S", 6.0)


@entry("first-silent")
def _() -> None:
    """So is a connection that has never answered."""
    from cloverkeel.discovery import poll_schedule as watch

    swap(watch, "ANSWER_S", 6.0)


@entry("failed-longer")
def _() -> None:
    """A call after a failure is given up as soon as any."""
    from cloverkeel.discovery.poll_schedule import Watch

    cut(Watch, "next_query", ("SLOW_ANSWER_S if self.failures else ANSWER_S", "ANSWER_S"))


@entry("leaving-odd")
def _() -> None:
    """An entry that cannot be used is skipped, whatever it says."""
    from cloverkeel.discovery import http_client as registry

    swap(registry, "leaving_of", lambda raw: None)


@entry("one-call")
def _() -> None:
    """A call that was replaced goes on beside the new one."""
    from cloverkeel.discovery.http_client import Discovery

    cut(Discovery, "begin", ("self.stop()", "pass"))


@entry("version-back")
def _() -> None:
    """Changes of another life of the service are taken for news."""
    from cloverkeel.discovery.poll_schedule import Watch

    cut(Watch, "on_answer", ("or index >= self.index", "or True"))


@entry("list-rests")
def _() -> None:
    """A service that answers at once with nothing is asked again at once."""
    from cloverkeel.discovery import http_client as registry

    swap(registry, "REST_S", 0.0)


@entry("list-retry-soon")
def _() -> None:
    """A call that failed is made again after a long while."""
    from cloverkeel.balancing import balancer as balance

    swap(balance, "LIST_RETRY_US", 5_000_000)


@entry("repeat-by")
def _() -> None:
    """A repeat may wait for its connection beyond the window."""
    from cloverkeel.balancing.balancer import Balancer

    swap(Balancer, "repeat_by_us", lambda self, request: 0)


@entry("begin-by-check")
def _() -> None:
    """What was to begin by a time is written when its connection comes up."""
    from cloverkeel.upstream.connection_pool import Pools

    cut(Pools, "refused", ("at_us > attempt.begin_by_us", "False"))


@entry("begin-by-timer")
def _() -> None:
    """What is not wholly written by that time goes on."""
    from cloverkeel.upstream.connection_pool import Pools

    swap(Pools, "on_begun_late", lambda self, attempt: None)


@entry("host-rests")
def _() -> None:
    """A connection is used again in the moment of its answer."""
    from cloverkeel.upstream import connection_pool as pools

    swap(pools, "REST_US", 0)


@entry("wanted")
def _() -> None:
    """An attempt whose connection comes up goes out, whoever waits for it."""
    from cloverkeel.core.gateway import Gateway

    cut(Gateway, "send", ("return not held.closed and held.sink is None and not held.call.client.has_gone()",
                          "return True"))  # fmt: skip


@entry("gone-unread")
def _() -> None:
    """A client has gone when the loop has read so."""
    from cloverkeel.frontends.http1.server import ClientConnection

    swap(ClientConnection, "has_gone", lambda self: self.transport is None)


@entry("answer-all")
def _() -> None:
    """The process ends at its time with whatever it holds."""
    from cloverkeel.frontends.http1.server import Server

    cut(Server, "empty_on", ("self.gateway.answer_all()", "pass"))


@entry("list-again")
def _() -> None:
    """A call to discovery that failed is not made again."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "on_list", ("self.actions.append(SetTimer(self.now_us + int(wait_us), LIST_TOKEN))\n        return",
                              "return"))  # fmt: skip


@entry("list-moves")
def _() -> None:
    """Discovery is asked where it was at the start."""
    from cloverkeel.discovery.http_client import Discovery

    swap(Discovery, "move", lambda self, address: None)


@entry("list-before-all")
def _() -> None:
    """A list waits behind what came before it was read."""
    from cloverkeel.core.gateway import Gateway

    cut(
        Gateway, "on_list",
        ("self.lists.append((kind, entries))", "self.events.append((lambda: self.take_list(kind, entries), None))"),
    )  # fmt: skip


@entry("still")
def _() -> None:
    """A process that stood still goes on with what comes first."""
    from cloverkeel.core.gateway import Gateway

    swap(Gateway, "look", lambda self, at_us: True)


@entry("lost-tells-nothing")
def _() -> None:
    """A session that is lost empties the list."""
    from cloverkeel.discovery.source_merge import Link
    from cloverkeel.discovery.merged_source import MergedMembership

    old = MergedMembership.on_link

    def on_link(self: Any, link: Link) -> None:
        old(self, link)
        if link is Link.LOST:
            self.on_nodes([])

    swap(MergedMembership, "on_link", on_link)


@entry("state-kept")
def _() -> None:
    """A start without the service begins with the list that the configuration names."""
    from cloverkeel.discovery import snapshot_file as state

    swap(state, "load", lambda path: None)


@entry("agent-checks")
def _() -> None:
    """An agent keeps the node of a box that does not answer."""
    from cloverkeel.discovery.registration import Keeper

    cut(Keeper, "on_check", ("self.answered = False", "pass"))


# Cold hosts are spared


@entry("cold-budget")
def _() -> None:
    """A cold server is sent whatever comes."""
    from cloverkeel.balancing.balancer import Balancer

    swap(Balancer, "cold_room", lambda self, server, request: True)


@entry("cold-share")
def _() -> None:
    """A cold server is held for warm."""
    from cloverkeel.balancing.balancer import Balancer

    swap(Balancer, "cold_share", lambda self, server: 1.0)


@entry("cold-firsts")
def _() -> None:
    """Each gateway may send its first request to a cold server at once."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "list_server", ("self.random.random() * most_us", "0.0"))


@entry("cold-late")
def _() -> None:
    """A server counts as warm from the moment at which it should be."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "list_server", ("warm_at_us, warm_at_us + warm_us)", "warm_at_us, warm_at_us)"))


@entry("cold-work")
def _() -> None:
    """What a request costs a cold server is told by how long others wait."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "cold_cost_us", ("if mean_us < least_us:", "if True:"))
    cut(Balancer, "list_server", ("[work if work >= UNDERSTATED * least else waited for", "[waited for"))


@entry("cold-understated")
def _() -> None:
    """What clients say of their requests' work is believed, however little it is."""
    from cloverkeel.balancing.balancer import Balancer

    cut(
        Balancer, "cold_cost_us", ("return max(least_us, ", "return max(0.0, "),
        ("if mean_us < least_us:", "if not mean_us:"),
    )  # fmt: skip
    cut(Balancer, "list_server", ("work if work >= UNDERSTATED * least else", "work or"))


@entry("cold-long")
def _() -> None:
    """A long request may go to a cold server as any other."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "cold_room", ("request.size > COLD_LARGEST", "False"))


@entry("cold-users")
def _() -> None:
    """Each gateway takes the whole budget of a cold server for its own."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "fall_budget_us", ("users = max(", "users = 1.0 or max("))


@entry("cold-processes")
def _() -> None:
    """Each of a gateway's processes takes its whole part of a cold server's budget for its own."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "fall_budget_us", (" / users / self.processes", " / users"))


# The process


@entry("sighup")
def _() -> None:
    """SIGHUP ends the program."""
    import cloverkeel.__main__ as program

    cut(
        program, "run",
        ("loop.add_signal_handler(signal.SIGHUP, reloader.ask)", "signal.signal(signal.SIGHUP, signal.SIG_DFL)"),
    )  # fmt: skip


@entry("early-signals")
def _() -> None:
    """A signal during the start ends the program."""
    import cloverkeel.__main__ as program

    cut(
        program, "run",
        ("signal.signal(signal.SIGHUP, lambda signum, frame: early.append(signum))", "pass"),
        ("signal.signal(signum, _end_early)", "pass"),
    )  # fmt: skip


# Service: refusals of a send that protect it


@entry("breaker")
def _() -> None:
    """A server is picked whatever its breaker says."""
    from cloverkeel.balancing.balancer import Breaker

    swap(Breaker, "lets_through", lambda self, now_us: True)


@entry("silent-server")
def _() -> None:
    """A server that owes an answer for long is sent more."""
    from cloverkeel.balancing.balancer import Balancer

    cut(
        Balancer, "is_eligible",
        ("return not server.out or self.now_us - next(iter(server.out.values())) <= self.silent_us", "return True"),
    )  # fmt: skip


@entry("connect-verdict")
def _() -> None:
    """A connection that fails is a failure like any other."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "judge", ("if outcome is Outcome.CONNECT_FAILED and", "if False and"))


@entry("common-failures")
def _() -> None:
    """Each server is blamed for what fails everywhere."""
    from cloverkeel.balancing.balancer import Balancer

    swap(Balancer, "common_share", lambda self, server, klass: 0.0)


@entry("shedding")
def _() -> None:
    """Whatever comes is sent on, however long answers wait."""
    from cloverkeel.balancing.balancer import Balancer

    swap(Balancer, "adjust_shed", lambda self, request, attempt, event: None)


@entry("retry-tokens")
def _() -> None:
    """Repeats cost nothing."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "try_again", ("not shed and self.has_token(cost)", "True"))
    cut(Balancer, "on_overdue", ("if self.shed > 0.0 or not self.has_token(1.0):", "if False:"))


@entry("fresh-connections")
def _() -> None:
    """A kept connection is used though its host may have closed it."""
    from cloverkeel.upstream.connection_pool import HostConnection

    cut(HostConnection, "is_fresh", ("and not self.poll.poll(0)", ""))


@entry("idle-share")
def _() -> None:
    """Connections are kept for as long as a host keeps them, and longer."""
    from cloverkeel.upstream import connection_pool as pools

    swap(pools, "IDLE_SHARE", 100.0)
    swap(pools, "SPARE_IDLE_US", 3_600_000_000)


@entry("answered-late")
def _() -> None:
    """An attempt is given up though its answer has come."""
    from cloverkeel.upstream.connection_pool import Pools

    cut(Pools, "on_timeout", ("if not attempt.looked and", "if False and"))


@entry("room-at-one")
def _() -> None:
    """A server is sent whatever comes."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "pick", ("if len(server.out) >= server.room * open_share:", "if False:"))


@entry("room-shrinks")
def _() -> None:
    """A server's room does not follow its answers."""
    from cloverkeel.balancing.balancer import Balancer

    swap(Balancer, "adjust_room", lambda *args: None)


# Large bodies


@entry("broken-is-told")
def _() -> None:
    """An answer that breaks off is ended as if it were whole."""
    from cloverkeel.core.gateway import Gateway

    cut(Gateway, "attempt_ended", (" if end.outcome is Outcome.OK else sink.on_broken()", ""))


@entry("begun-gateway")
def _() -> None:
    """What has an answer on its way to the client may be tried again."""
    from cloverkeel.core.gateway import Gateway

    cut(
        Gateway, "attempt_ended",
        ("self.finish(held)\n            sink", "sink"),
        ("held.closed, end.load", "False, end.load"),
    )  # fmt: skip


@entry("begun-module")
def _() -> None:
    """The module tries what broke off on its way to the client again."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "on_attempt_ended", ("or request.streaming:", "or False:"))


@entry("held-up")
def _() -> None:
    """A host's answer is read however far its client is behind."""
    from cloverkeel.upstream.connection_pool import Attempt

    swap(Attempt, "hold", lambda self: None)


@entry("room")
def _() -> None:
    """Large bodies are held without a bound."""
    from cloverkeel.core.body_budget import Share

    cut(Share, "grow", ("if self.room.used + size > self.room.size:", "if False:"))


@entry("room-returns")
def _() -> None:
    """What a body held is not given back."""
    from cloverkeel.core.body_budget import Share

    swap(Share, "__del__", lambda self: None)


@entry("value-space")
def _() -> None:
    """White space that trails a value is part of it."""
    from cloverkeel.frontends.http1.requests import RequestReader
    from cloverkeel.protocols.http1 import ReplyReader

    cut(RequestReader, "on_header", ('value = value.strip(b" \\t")', "pass"))
    cut(ReplyReader, "on_header", ('value.strip(b" \\t")', "value"))


# Staff


@entry("ban")
def _() -> None:
    """A host that was taken out by hand is passed on as the list has it."""
    from cloverkeel.discovery.manual_ejections import Bans

    cut(Bans, "presented", ("status = ServerStatus.DRAINING", "pass"))


@entry("ban-cold")
def _() -> None:
    """A host that is put back is as old as the list has it."""
    from cloverkeel.discovery.manual_ejections import Bans

    cut(Bans, "restore", ("self.back[name] = now_us", "pass"))


@entry("ban-outlives")
def _() -> None:
    """A process begins without what the one before it has left."""
    from cloverkeel.admin.state_files import SharedFiles

    old = SharedFiles.open

    def open_(self: Any) -> Any:
        from cloverkeel.admin.state import State

        old(self)
        return State()

    swap(SharedFiles, "open", open_)


@entry("ban-heard")
def _() -> None:
    """What the other process is told is not heard."""
    from cloverkeel.admin.state_files import SharedFiles

    swap(SharedFiles, "changed", lambda self: None)


@entry("two-writers")
def _() -> None:
    """A change is made to what this process knows, whatever the other one wrote."""
    from cloverkeel.admin.state_files import SharedFiles

    cut(SharedFiles, "change", ("how(self.read() or otherwise)", "how(otherwise)"))


@entry("pause-empties")
def _() -> None:
    """A paused gateway keeps its clients."""
    from cloverkeel.core.draining import Timetable

    swap(Timetable, "may_close", lambda *args: False)


@entry("successor-ready")
def _() -> None:
    """A process with a successor tells the front that the gateway is not ready."""
    from cloverkeel.admin.operations import Operations

    swap(Operations, "way_out", lambda self: None)


@entry("lease-silence")
def _() -> None:
    """A voter that began anew votes at once."""
    from cloverkeel.leases.acceptor import Acceptor

    swap(Acceptor, "speaks", lambda self, now_us: True)


@entry("lease-one")
def _() -> None:
    """A voter lets a higher ballot in though another's lease lives."""
    from cloverkeel.leases.acceptor import Acceptor

    cut(Acceptor, "admit", ("if held is not None and (held.number != number or held.nonce != nonce):", "if False:"))


@entry("lease-consent")
def _() -> None:
    """A voter takes any ballot for its holder's consent."""
    from cloverkeel.leases.acceptor import Acceptor

    cut(Acceptor, "admit", ("consent and consent == held.ballot", "consent"))


@entry("lease-sent")
def _() -> None:
    """A lease counts from the moment at which the answers came."""
    from cloverkeel.leases.lease import Lease

    cut(Lease, "receive", ("return self.on_won()", "self.sent_us = now_us; return self.on_won()"))


@entry("lease-round")
def _() -> None:
    """Answers to an older round count for the one that is out."""
    from cloverkeel.leases.lease import Lease

    cut(Lease, "receive", (" or message.round != self.round or message.ballot != self.ballot", ""))


@entry("lease-ends")
def _() -> None:
    """A holder does not look at the time before it acts: what wakes it first is answered."""
    from cloverkeel.leases.lease import Lease

    cut(Lease, "may_act", (" and now_us < self.until_us", ""))


@entry("lease-believed")
def _() -> None:
    """A holder believes that it holds the duty until somebody says otherwise."""
    from cloverkeel.leases.lease import Terms

    Terms.held_us = property(lambda self: 1 << 50)  # type: ignore[assignment]


@entry("lease-handing")
def _() -> None:
    """A holder acts while it hands on."""
    from cloverkeel.leases.lease import Lease

    cut(Lease, "may_act", ("self.phase is Phase.HELD", "self.phase in (Phase.HELD, Phase.HANDING_ON)"))
    cut(Lease, "hand_on", ("self.until_us = 0", "pass"))


@entry("lease-clock")
def _() -> None:
    """What comes in is answered by the time that was read last, before a stall."""
    from cloverkeel.leases.driver import Room

    cut(Room, "datagram_received", ("receive(self.clock(), head", "receive(self.gateway.still.seen_us, head"))


@entry("act-late")
def _() -> None:
    """An act is sent without a further look at the time."""
    from cloverkeel.leases.driver import Room

    cut(Room, "send", ("isinstance(message, Act) and not self.office.may_act(self.clock(), message.duty)", "False"))


@entry("epoch-fence")
def _() -> None:
    """Acts with an older epoch count too."""
    from cloverkeel.leases.ballots import Fence

    swap(Fence, "admit", lambda self, duty, epoch, holder: True)


@entry("epoch-heard")
def _() -> None:
    """Ballots follow the wall clock alone."""
    from cloverkeel.leases.ballots import Counter

    swap(Counter, "hear", lambda self, now_us, counter: True)
    cut(Counter, "next", ("max(self.highest + 1, self.wall(now_us))", "self.wall(now_us)"))


@entry("epoch-older")
def _() -> None:
    """A holder whose act was refused for an older epoch goes on as before."""
    from cloverkeel.leases.lease import Lease

    swap(Lease, "is_older", lambda self, now_us, seen: [])


@entry("epoch-outbid")
def _() -> None:
    """A holder by the service whose act was refused goes on above what was seen, whoever that was."""
    from cloverkeel.leases.lease import Began
    from cloverkeel.leases.zookeeper_lease import ServiceLease

    def outbid(self: ServiceLease, now_us: int, seen: int) -> list[Any]:
        self.floor, self.epoch = seen, seen + 1
        return [Began(self.duty, self.epoch)]

    swap(ServiceLease, "is_older", outbid)


@entry("voters-differ")
def _() -> None:
    """Any number of voters is as good as one's own."""
    from cloverkeel.leases.manager import Office

    cut(Office, "receive", ("head.voters != self.terms.voters or ", ""))


@entry("portion-ends")
def _() -> None:
    """What was granted is used for good."""
    from cloverkeel.leases.slow_start_budget import Holding

    cut(Holding, "share", ("self.granted if now_us < self.granted_until_us else 0.0", "self.granted"))


@entry("lent-counted")
def _() -> None:
    """A warden does not count what it has granted to others."""
    from cloverkeel.leases.slow_start_budget import Warden

    cut(Warden, "give", ("pool - others", "pool"), ("fair = pool / max(1, len(self.wants))", "fair = pool"))


@entry("lent-once")
def _() -> None:
    """A part is lent to whoever holds the duty now, though an older loan has not ended."""
    from cloverkeel.leases.slow_start_budget import Holding

    cut(Holding, "lend", ("if now_us < self.lent_until_us and to != self.lent_to:", "if False:"))


@entry("lent-stamp")
def _() -> None:
    """A loan counts from the moment at which the warden hears of it."""
    from cloverkeel.leases.slow_start_budget import Warden

    cut(Warden, "on_report", ("until_us = echo_us + LEND_US", "until_us = now_us + LEND_US"))


@entry("share-empty")
def _() -> None:
    """Parts that come bring a full bucket along."""
    from cloverkeel.balancing.balancer import Balancer

    swap(Balancer, "gain", lambda self, server, had, more: None)


@entry("share-lent")
def _() -> None:
    """A part that is lent is used for one request at a time all the same."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "cold_room", ("burst_us > 0.0 and ", ""))


@entry("share-start")
def _() -> None:
    """A process that begins uses its part at once."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "on_cold_share", ("self.cold_from_us = event.lent_us", "pass"))


@entry("trials-idle")
def _() -> None:
    """A holder that does not try holds the others back."""
    from cloverkeel.leases.probe_election import Outs

    cut(Outs, "on_report", ("TRIED if out.tried else IDLE", "TRIED"))


@entry("trials-end")
def _() -> None:
    """Trials are held back from whenever the answer comes."""
    from cloverkeel.leases.probe_election import Outs

    cut(Outs, "on_act", ("and asked_us + HOLD_US > now_us", ""), ("asked_us + HOLD_US)", "now_us + HOLD_US)"))


@entry("trials-left")
def _() -> None:
    """Trials are held back though most servers are out."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "on_trials_held", (" and 2 * closed < len(self.servers)", " and False"))


@entry("hearsay-used")
def _() -> None:
    """The module makes nothing of what others saw."""
    from cloverkeel.balancing.balancer import Balancer

    swap(Balancer, "on_hearsay", lambda self, event: None)


@entry("hearsay-two")
def _() -> None:
    """One teller is enough for a doubt."""
    from cloverkeel.balancing import balancer as balance
    from cloverkeel.gossip import outlier_reports as evidence, node as exchange

    for module in (balance, evidence, exchange):
        vars(module)["DOUBT_TELLERS"] = 1


@entry("hearsay-credit")
def _() -> None:
    """Who fails everywhere speaks, and is believed like others."""
    from cloverkeel.gossip import outlier_reports as evidence, node as exchange

    evidence.credit = lambda item: 1.0
    exchange.ILL = 2.0  # type: ignore[misc]


@entry("hearsay-age")
def _() -> None:
    """What comes is of now."""
    from cloverkeel.gossip.outlier_reports import Clock

    swap(Clock, "age_ms", lambda self, now_us, stamp: 0)


@entry("hearsay-ends")
def _() -> None:
    """What was told counts for good."""
    from cloverkeel.gossip import node as exchange
    from cloverkeel.gossip.outlier_reports import Piece

    swap(Piece, "lives", lambda self, now_us: True)
    swap(exchange.Exchange, "look_again", lambda self, now_us: None)
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "on_hearsay", ("event.until_us if bad else 0", "event.until_us + 10**9 if bad else 0"))


@entry("hearsay-zone")
def _() -> None:
    """Evidence of other zones counts like that of one's own."""
    from cloverkeel.gossip import node as exchange
    from cloverkeel.gossip.outlier_reports import weigh

    def everywhere(now_us: int, pieces: Any, zone: int, own: tuple[int, int] = (0, 0)) -> Any:
        return weigh(now_us, pieces, -1, (0, 0))

    vars(exchange)["weigh"] = everywhere
    from tests import test_sharing_pure

    vars(test_sharing_pure)["weigh"] = everywhere


@entry("hearsay-newer")
def _() -> None:
    """The piece that comes last counts, of whatever incarnation."""
    from cloverkeel.gossip import outlier_reports as evidence

    evidence.is_newer = lambda item, before: True
    swap(evidence.Clocks, "age_ms", lambda self, now_us, number, incarnation, stamp: 0)


@entry("hearsay-verdict")
def _() -> None:
    """What others saw opens a breaker."""
    from cloverkeel.balancing.balancer import Balancer

    opened = "breaker = server.breaker; bad and breaker.open(self.now_us)"
    cut(Balancer, "on_hearsay", ("breaker = server.breaker", opened))


@entry("hearsay-goods")
def _() -> None:
    """What others were answered well does not count."""
    from cloverkeel.gossip import node as exchange
    from cloverkeel.gossip.outlier_reports import weigh

    vars(exchange)["weigh"] = lambda *given: replace(weigh(*given), good=0.0)


@entry("hearsay-common")
def _() -> None:
    """What fails here everywhere does not speak for a server that fails for others."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "on_hearsay", ("common = self.common_share(server, None)", "common = 0.0"))


@entry("hearsay-hold")
def _() -> None:
    """Trials wait for others' for as long as others fail."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "on_hearsay", ("min(event.until_us, most_us)", "event.until_us"))


@entry("rumours-confirmed")
def _() -> None:
    """Each failure is passed on by whoever hears of it."""
    from cloverkeel.gossip.node import Exchange

    cut(Exchange, "on_evidence", ("if tellers >= DOUBT_TELLERS:", "if True:"))


@entry("rumours-bytes")
def _() -> None:
    """What is said costs nothing."""
    from cloverkeel.gossip.node import Exchange

    cut(Exchange, "post", ("bucket.left -= len(data)", "pass"))


@entry("rights-kept")
def _() -> None:
    """Who gives tokens goes on using them."""
    from cloverkeel.gossip.retry_tokens import Rights
    from cloverkeel.gossip.driver import Room

    def take(self: Any, most: float) -> float:
        before, wanting = self.gateway.balancer.retry_state(self.clock())
        return 0.0 if wanting else min(most, before)

    swap(Room, "take", take)
    cut(Rights, "give", ("int(self.purse.take(most) * UNIT)", "int(most * UNIT)"))


@entry("rights-once")
def _() -> None:
    """A gift that comes twice is taken twice."""
    from cloverkeel.gossip.retry_tokens import Rights

    cut(Rights, "take", ("fresh = (gift.incarnation, gift.sequence) > last", "fresh = True"))


@entry("rights-for")
def _() -> None:
    """A gift is anybody's, whenever it comes."""
    from cloverkeel.gossip.retry_tokens import Rights

    cut(Rights, "take", (" and gift.to_incarnation == own", ""), (" or age_us is None or age_us >= LIFE_US", ""),
        ("now_us + LIFE_US - age_us", "now_us + LIFE_US"))  # fmt: skip


@entry("rights-begin")
def _() -> None:
    """A process that begins saves up as much as ever, and has it."""
    from cloverkeel.gossip.driver import Room

    begins = "self.gateway.retry_rights(CAP, -self.gateway.balancer.retry_state(self.clock())[0])"
    cut(Room, "start", (begins, "pass"))


@entry("hearsay-crowd")
def _() -> None:
    """A time-out speaks against a host that has answered others since it was sent."""
    from cloverkeel.gossip.outlier_reports import Watch

    swap(Watch, "answered_since", lambda self, host, since_us: False)


@entry("presence-probe")
def _() -> None:
    """A probe that nobody answers tells nothing."""
    from cloverkeel.gossip.failure_detector import Presence

    cut(Presence, "end_probe", ("if other.life is Life.ALIVE:", "if False:"))


@entry("rights-end")
def _() -> None:
    """What came from others is kept."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "retry_room", ("self.now_us >= self.retry_until_us", "False"))


@entry("presence-suspect")
def _() -> None:
    """Who does not answer one probe is gone."""
    from cloverkeel.gossip.failure_detector import Presence

    swap(Presence, "suspect_us", lambda self, other: 0)


@entry("presence-above")
def _() -> None:
    """Who hears of a higher incarnation under its name does not go above it."""
    from cloverkeel.gossip.failure_detector import Presence

    swap(Presence, "hear_of_oneself", lambda self, now_us, item: None)


@entry("presence-told")
def _() -> None:
    """Each datagram of a gateway that is suspected is answered with what is said of it."""
    from cloverkeel.gossip import failure_detector as presence

    presence.TOLD_US = 0  # type: ignore[misc]


@entry("presence-stall")
def _() -> None:
    """Who stood still accuses others of what it did not hear."""
    from cloverkeel.gossip.failure_detector import Presence

    swap(Presence, "stood_still", lambda self, now_us, stood_us: None)


# Relays


@entry("relay-even-places")
def _() -> None:
    """A gateway's window begins at a hash of its own, not evenly spaced by its rank."""
    from cloverkeel.control_plane.subsetting import Ring

    cut(Ring, "window", ("start(count, gateways, group.place(gateway))", "stable_id(gateway, 8) % count"))


@entry("relay-own-share")
def _() -> None:
    """Who has widened takes a full share of each cold host that it has by that."""
    from cloverkeel.control_plane.subsetting import Host

    cut(Host, "entry", ("users * APART", "users"))


@entry("relay-drains")
def _() -> None:
    """A host that drains is told as gone."""
    from cloverkeel.control_plane.endpoint_cache import Feed

    cut(Feed, "answer_delta", ("if now is None or now.serves or", "if True or"))


@entry("relay-index")
def _() -> None:
    """Changes are told from the gateway's last answer, whichever `from` names."""
    from cloverkeel.control_plane.endpoint_cache import Feed

    last = "self.answer_delta(asker, post, max(self.views[asker.gateway]))"
    known = ("not self.knows(asker, since)", "not self.views.get(asker.gateway)")
    cut(Feed, "answer", known, ("self.answer_delta(asker, post, since)", last))


@entry("relay-restricts-first")
def _() -> None:
    """What serves is said before what restricts."""
    from cloverkeel.control_plane.endpoint_cache import Feed

    ordered = "(*sorted(deleted), *sorted(drains), *sorted(came.items()))"
    cut(Feed, "answer_delta", (ordered, "(*sorted(came.items()), *sorted(drains), *sorted(deleted))"))


@entry("relay-not-ready")
def _() -> None:
    """A relay that has no list says that nobody serves."""
    from cloverkeel.control_plane.endpoint_cache import Feed

    cut(Feed, "answer", ("raise NotReady", "pass"))


@entry("relay-spill")
def _() -> None:
    """A region's gateways have its own hosts only, however few."""
    from cloverkeel.control_plane.subsetting import Service

    cut(Service, "shape", ("< self.sizes.serving:", "< 0:"))


@entry("relay-rubbish")
def _() -> None:
    """A whole list that is mostly rubbish is taken."""
    from cloverkeel.control_plane.endpoint_cache import Feed

    cut(Feed, "take", ("(len(items) - skipped) < USABLE * len(items) or ", ""))


@entry("relay-move-anew")
def _() -> None:
    """A gateway that moves asks the next relay for changes after what another told."""
    from cloverkeel.discovery.relay_client import RelayedDiscovery

    cut(RelayedDiscovery, "_turn", ("self.plan.begin_anew()", "pass"))


@entry("relay-replaced")
def _() -> None:
    """Who is asked now is asked on, though the options name it no more."""
    from cloverkeel.discovery.relay_selection import Relays

    cut(Relays, "replace", ("return max(chance * MOVE_S, self.since_s + MOVE_GAP_S - now_s)", "return None"))


@entry("relay-names")
def _() -> None:
    """A gateway behind relays does not say who it is."""
    from cloverkeel.discovery import relay_client as relayed

    swap(relayed, "named", lambda target, gateway, services, wide: target)


@entry("relay-old-permits")
def _() -> None:
    """Whatever a relay permits is believed, though it may not have heard of a drain that is known."""
    from cloverkeel.discovery.relay_selection import Belief

    cut(Belief, "_permitted", ("read_s > as_of_s and run != self.run and", "False and"))


@entry("relay-looks")
def _() -> None:
    """The others are not asked how old their lists are."""
    from cloverkeel.discovery.relay_selection import Relays

    swap(Relays, "look", lambda self, age_s: None)


@entry("relay-stale-permits")
def _() -> None:
    """What a stale relay says is taken as any other's."""
    from cloverkeel.discovery.relay_selection import Belief

    cut(Belief, "take", ("if self.held and age_s > STALE_S:", "if False:"))


@entry("relay-wide")
def _() -> None:
    """A subset whose hosts fail stays as it is."""
    from cloverkeel.discovery.relay_selection import Width

    swap(Width, "step", lambda self, now_s, failing, serving: 0)


@entry("relay-metered")
def _() -> None:
    """A relay serves all wholes at once."""
    from cloverkeel.control_plane.http_server import Server

    cut(Server, "on_whole", ("if waiting < ", "if True or waiting < "))


@entry("relay-age")
def _() -> None:
    """A relay's list counts as of the moment in which its answer was read."""
    from cloverkeel.control_plane.discovery_source import Source

    cut(
        Source,
        "hear",
        (
            "self.index_of_discovery, self.confirmed_us = index, self.asked_us",
            "self.index_of_discovery, self.confirmed_us = index, now_us()",
        ),
    )


@entry("relay-gzip-asked")
def _() -> None:
    """Whoever says Accept-Encoding gets gzip, whatever weight it gives."""
    from cloverkeel.control_plane import http_server as server

    swap(server, "takes_gzip", lambda value: b"gzip" in value)


@entry("relay-roster-shaped")
def _() -> None:
    """After another roster a service stays as it was until its hosts change."""
    from cloverkeel.control_plane.endpoint_cache import Feed

    cut(Feed, "service", ("name in self.regrouped", "False"))


@entry("relay-roster-found")
def _() -> None:
    """A caller that asks as before is found as before, whatever the roster says now."""
    from cloverkeel.control_plane.http_server import Server

    cut(Server, "find_by", (" and caller.roster is self.feed.roster", ""))


@entry("relay-list-moment")
def _() -> None:
    """A whole list made by steps counts as of their end."""
    from cloverkeel.control_plane.endpoint_cache import Feed

    cut(Feed, "listing", ("self.index_of(number)", "self.index_of(self.number)"))


@entry("relay-list-age")
def _() -> None:
    """The age of a whole list counts from what is known as it is written, though the list went on."""
    from cloverkeel.control_plane.http_server import Server

    cut(Server, "go_listed", ("if listed.number == self.feed.number:", "if True:"))


@entry("relay-slices")
def _() -> None:
    """All who are behind are answered in one go."""
    from cloverkeel.control_plane.http_server import Server

    cut(Server, "look", ("self.loop.time() >= end_s", "False"))


@entry("list-parts")
def _() -> None:
    """A long list is told in one piece."""
    from cloverkeel.core import list_batches as slices

    swap(slices, "AT_ONCE", 10**9)


@entry("list-parts-restrict")
def _() -> None:
    """What restricts waits with the rest of a long list."""
    from cloverkeel.core.list_batches import Slices

    cut(Slices, "take", ("listed.status is not ServerStatus.READY or is_another(entry)", "False"))


@entry("list-parts-known")
def _() -> None:
    """A list of two hundred hosts is told in one piece, however many are known."""
    from cloverkeel.core.list_batches import Slices

    cut(Slices, "take", ("AT_ONCE if known <= AT_ONCE else SLICE", "AT_ONCE"))


@entry("list-steps")
def _() -> None:
    """A long list is read with no turns of the loop in between."""
    from cloverkeel.discovery.http_client import Caller

    cut(Caller, "_in_turns", ("await asyncio.sleep(0)", "pass"))


@entry("list-steps-bounded")
def _() -> None:
    """Reading a long list takes as long as the loop's other work makes it."""
    from cloverkeel.discovery.http_client import Caller

    cut(Caller, "_in_turns", ("and now_s < until_s", ""))


@entry("list-steps-superseded")
def _() -> None:
    """A list that is being read is told, whatever has come in its place."""
    from cloverkeel.discovery.http_client import Caller

    cut(Caller, "stop", ("self.task.cancel()", "pass"))


@entry("list-steps-unread")
def _() -> None:
    """A process that stood still does not wait for the list that it is reading."""
    from cloverkeel.discovery.http_client import Caller

    cut(Caller, "_has_unread", ("(self.taking or line.has_unread)", "line.has_unread"))


@entry("list-steps-hurry")
def _() -> None:
    """A list is read by steps also while nothing is sent before it is told."""
    from cloverkeel.discovery.http_client import Caller

    cut(Caller, "_in_turns", (" and not self.catches_up", ""))


@entry("gzip-limit")
def _() -> None:
    """What comes as gzip may be of any length once read."""
    from cloverkeel.core import incremental_gzip as gzip_steps
    from cloverkeel.discovery import relay_client as relayed

    cut(gzip_steps, "unpack", ("if size > limit:", "if False:"))
    swap(relayed, "unpack", gzip_steps.unpack)


@entry("gzip-end")
def _() -> None:
    """What comes after the end of gzip is left unsaid."""
    from cloverkeel.core import incremental_gzip as gzip_steps
    from cloverkeel.discovery import relay_client as relayed

    cut(gzip_steps, "unpack", ("if reader.unused_data or at < len(body):", "if False:"))
    swap(relayed, "unpack", gzip_steps.unpack)


@entry("gzip-relays")
def _() -> None:
    """Discovery itself is asked for gzip where its answers are not read so."""
    from cloverkeel.discovery.relay_client import RelayedDiscovery

    cut(RelayedDiscovery, "accepts", ('b"" if self.relays.at is None else ', ""))


@entry("cold-told-users")
def _() -> None:
    """How many know a cold server is taken from the list's length alone, whatever is told."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "fall_budget_us", ("float(told or users)", "float(users)"))


def take_out(names: Sequence[str]) -> None:
    """Take these guards out of this process; ValueError where one is not known."""
    unknown = [name for name in names if name not in GUARDS]
    if unknown or not names:
        raise ValueError(f"expected names of {', '.join(sorted(GUARDS))}, found {unknown}")
    os.environ["CLOVERKEEL_PLAIN"] = "1"  # compiled code takes no replacement
    for name in names:
        GUARDS[name]()


def main(arguments: Sequence[str]) -> int:
    try:
        take_out(arguments[0].split("+") if arguments else [])
    except ValueError as error:
        print(f"maimed: {error}", file=sys.stderr)
        return 2
    from cloverkeel.__main__ import main as program

    return program(arguments[1:])


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
