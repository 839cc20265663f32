"""A bad network between parties that know nothing of it: TCP and UDP links that misbehave when told.

A link stands between two named parties. One party is given the link's address in place of the other's.
A partition names two groups of parties; every link between them is cut, both ways or one.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import cast

from standins.event_log import now_us

HELD = 256 * 1024  # bytes kept for one direction of a connection; past that its sender is not read
BACKLOG = 512
FORWARD, BACK = 0, 1
Address = tuple[str, int]


def reserve(address: Address = ("127.0.0.1", 0)) -> socket.socket:
    """A socket bound to an address, a free port by default, which does not listen.

    Guards against two plays side by side that are given one port: the kernel hands out no port that is bound, and
    two sockets that both allow it may share one as long as a single one listens.
    """
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind(address)
    return held


@dataclass(slots=True)
class Conditions:
    """What one direction of a link does to what passes. Times in microseconds, `loss` a share."""

    delay_us: int = 0
    jitter_us: int = 0
    loss: float = 0.0  # of datagrams; for TCP, of pieces that come `resend_us` later
    resend_us: int = 200_000
    double: float = 0.0  # of datagrams that come twice
    late: float = 0.0  # of datagrams that come so much later, whatever has happened meanwhile
    late_us: int = 0
    short: float = 0.0  # of datagrams that are cut short
    spoilt: float = 0.0  # of datagrams in which a byte is another
    cut: bool = False  # nothing passes; a TCP connection keeps what it holds

    def draw_us(self, dice: random.Random) -> int:
        return self.delay_us + (int(dice.random() * self.jitter_us) if self.jitter_us else 0)


class _End(asyncio.Protocol):
    """One end of a relayed connection."""

    def __init__(self, flow: Flow, side: int) -> None:
        self.flow, self.side = flow, side
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.flow.on_up(self.side)

    def data_received(self, data: bytes) -> None:
        self.flow.take(self.side, data)

    def eof_received(self) -> bool:
        self.flow.take(self.side, b"")
        return True  # the other direction may go on

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.flow.on_lost(self.side, exc)

    def pause_writing(self) -> None:
        self.flow.pause(1 - self.side)

    def resume_writing(self) -> None:
        self.flow.resume(1 - self.side)


class Flow:
    """One relayed TCP connection: two ends, and what is on its way in each direction."""

    def __init__(self, link: TcpLink) -> None:
        self.link = link
        self.ends = (_End(self, FORWARD), _End(self, BACK))  # the caller's, the target's
        # What is on its way, by direction: when it arrives, and what; b"" is the end of it
        self.waiting: tuple[deque[tuple[int, bytes]], deque[tuple[int, bytes]]] = (deque(), deque())
        self.timers: list[asyncio.TimerHandle | None] = [None, None]
        self.held = [0, 0]
        self.due_us = [0, 0]  # when the last piece on its way arrives: pieces keep their order
        self.passed = [0, 0]  # bytes taken in, by direction
        self.marks: deque[tuple[int, int]] = deque()  # forward: bytes taken in by then, and when
        self.cut_at: int | None = None  # break it once so many bytes have gone back
        self.target_port = 0
        self.ports = (0, 0)  # our own towards the target, and the target's; known once it is up
        self.over = False
        self.shut = [False, False]

    def on_up(self, side: int) -> None:
        if side == BACK:
            transport = self.ends[BACK].transport
            assert transport is not None
            self.ports = (transport.get_extra_info("sockname")[1], self.target_port)
            self.link.network.flows[self.ports] = self
        self.flush(1 - side)

    def sent_at(self, offset: int) -> int:
        """When the byte at this place of the forward stream was sent to the link."""
        while len(self.marks) > 1 and self.marks[0][0] <= offset:
            self.marks.popleft()
        return self.marks[0][1] if self.marks else now_us()

    def take(self, side: int, data: bytes) -> None:
        """What came in at one end; it leaves at the other after its delay, in order."""
        self.passed[side] += len(data)
        if side == FORWARD and data:
            self.marks.append((self.passed[FORWARD], now_us()))
        conditions, dice = self.link.conditions[side], self.link.dice
        delay_us = conditions.draw_us(dice)
        if conditions.loss and dice.random() < conditions.loss:
            delay_us += conditions.resend_us
        self.due_us[side] = max(self.due_us[side], now_us() + delay_us)
        self.waiting[side].append((self.due_us[side], data))
        self.held[side] += len(data)
        if self.held[side] > HELD:
            self.pause(side)
        self.flush(side)

    def flush(self, side: int) -> None:
        """Pass on what has come to the end of its way; while the link is cut, it stops there."""
        if self.timers[side] is not None:
            self.timers[side].cancel()  # type: ignore[union-attr]
            self.timers[side] = None
        waiting = self.waiting[side]
        while waiting and not self.link.conditions[side].cut and self.ends[1 - side].transport is not None:
            due_us, data = waiting[0]
            wait_us = due_us - now_us()
            if wait_us > 0:
                later = asyncio.get_running_loop().call_later
                self.timers[side] = later(wait_us / 1e6, self.flush, side)
                return
            waiting.popleft()
            self.write(side, data)

    def write(self, side: int, data: bytes) -> None:
        transport = self.ends[1 - side].transport
        self.held[side] -= len(data)
        if transport is None or self.over:
            return
        if not data:
            self.shut[side] = True
            if all(self.shut):
                self.abort()
            elif transport.can_write_eof():
                transport.write_eof()
            return
        if side == BACK and self.cut_at is not None:
            self.cut_at -= len(data)
            if self.cut_at <= 0:
                transport.write(data[: len(data) + self.cut_at])
                asyncio.get_running_loop().call_later(0.001, self.reset)
                return
        transport.write(data)
        if self.held[side] <= HELD // 2:
            self.resume(side)

    def pause(self, side: int) -> None:
        transport = self.ends[side].transport
        if transport is not None and not transport.is_closing():
            transport.pause_reading()

    def resume(self, side: int) -> None:
        transport = self.ends[side].transport
        if transport is not None and not transport.is_closing():
            transport.resume_reading()

    def on_lost(self, side: int, exc: Exception | None) -> None:
        if not self.over and self.link.conditions[side].cut:
            return  # nobody hears of it
        self.abort()

    def reset(self) -> None:
        """End both ends with a reset."""
        for end in self.ends:
            if end.transport is not None:
                sock = end.transport.get_extra_info("socket")
                if sock is not None:
                    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.abort()

    def abort(self) -> None:
        if self.over:
            return
        self.over = True
        for end in self.ends:
            if end.transport is not None:
                end.transport.abort()
        for side in (FORWARD, BACK):
            self.waiting[side].clear()
            self.flush(side)  # its timer goes
        self.link.flows.discard(self)
        if self.link.network.flows.get(self.ports) is self:
            del self.link.network.flows[self.ports]


class TcpLink:
    """Listens in place of a target and relays to it."""

    def __init__(self, network: Network, near: str, far: str, target: Callable[[], Address | None]) -> None:
        self.network, self.near, self.far = network, near, far
        self.target = target  # None: nobody listens there, and a connection is refused
        self.conditions = (Conditions(), Conditions())
        self.dice = random.Random(f"{network.seed}/{near}/{far}")
        self.flows: set[Flow] = set()
        self.opening: set[asyncio.Task[None]] = set()
        self.listener: socket.socket | None = None
        self.held: socket.socket | None = None  # the port, from the first time that it listened
        self.fillers: list[socket.socket] = []
        self.address: Address = ("127.0.0.1", 0)
        self.came: deque[int] = deque(maxlen=10_000)  # when connections came, to a target that was there or not

    def open(self) -> None:
        """Listen; on the same port as before, if it did."""
        if self.listener is not None:
            return
        if self.held is None:
            self.held = reserve(self.address)
            self.address = self.held.getsockname()
        listener = reserve(self.address)
        listener.listen(BACKLOG)
        listener.setblocking(False)
        self.listener = listener
        asyncio.get_running_loop().add_reader(listener.fileno(), self.accept)
        if any(conditions.cut for conditions in self.conditions):
            self.bar()

    def refuse(self) -> None:
        """Refuse connections from now on, as a machine does on which nobody listens."""
        self.unbar()
        if self.listener is not None:
            asyncio.get_running_loop().remove_reader(self.listener.fileno())
            self.listener.close()
            self.listener = None

    def take_place_of(self, other: TcpLink) -> None:
        """Be found at the address of a link that refuses, and leave it one's own."""
        self.refuse()
        self.held, other.held = other.held, self.held
        self.address, other.address = other.address, self.address
        self.open()

    def accept(self) -> None:
        while self.listener is not None:
            try:
                accepted, _ = self.listener.accept()
            except OSError:
                return
            task = asyncio.get_running_loop().create_task(self.relay(accepted))
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)

    async def relay(self, accepted: socket.socket) -> None:
        loop, target, flow = asyncio.get_running_loop(), self.target(), Flow(self)
        self.came.append(now_us())
        self.flows.add(flow)
        try:
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await loop.connect_accepted_socket(lambda: flow.ends[FORWARD], accepted)
            if target is None:
                raise ConnectionRefusedError
            flow.target_port = target[1]
            await loop.create_connection(lambda: flow.ends[BACK], *target)
        except OSError:
            accepted.close()
            flow.reset()

    # Cuts

    def cut(self, directions: Iterable[int] = (FORWARD, BACK)) -> None:
        for direction in directions:
            self.conditions[direction].cut = True
        self.bar()

    def heal(self, reset: bool = False) -> None:
        """Let all pass again; with `reset`, end the connections that were up meanwhile."""
        was_cut = any(conditions.cut for conditions in self.conditions)
        for conditions in self.conditions:
            conditions.cut = False
        self.unbar()
        for flow in list(self.flows) if was_cut else ():
            if reset or any(end.transport is None and flow.ports[0] for end in flow.ends):
                flow.reset()  # one end has gone while nobody could hear of it
            else:
                flow.flush(FORWARD)
                flow.flush(BACK)

    def bar(self) -> None:
        """No connection comes up and none is refused: the listener's queue is full, so SYNs are dropped."""
        if self.listener is None or self.fillers:
            return
        asyncio.get_running_loop().remove_reader(self.listener.fileno())
        self.accept()  # what had come up before has come up
        self.listener.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.fillers.append(filler)

    def unbar(self) -> None:
        if not self.fillers:
            return
        mine = {filler.getsockname() for filler in self.fillers}
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        if self.listener is None:
            return
        self.listener.listen(BACKLOG)
        while True:
            try:
                accepted, peer = self.listener.accept()
            except OSError:
                break
            if peer in mine:
                accepted.close()
                continue
            task = asyncio.get_running_loop().create_task(self.relay(accepted))
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)
        asyncio.get_running_loop().add_reader(self.listener.fileno(), self.accept)

    def close(self) -> None:
        self.refuse()
        if self.held is not None:
            self.held.close()
            self.held = None
        for task in self.opening:
            task.cancel()
        for flow in list(self.flows):
            flow.abort()


class UdpLink(asyncio.DatagramProtocol):
    """Relays datagrams to a target, and what it answers back: to who spoke last, or to a caller that is known."""

    def __init__(
        self, network: Network, near: str, far: str, target: Callable[[], Address | None],
        known: Address | None = None,
    ) -> None:  # fmt: skip
        self.network, self.near, self.far, self.target = network, near, far, target
        self.conditions = (Conditions(), Conditions())
        self.dice = random.Random(f"{network.seed}/{near}/{far}/udp")
        self.transport: asyncio.DatagramTransport | None = None
        self.address: Address = ("127.0.0.1", 0)
        self.caller: Address | None = known
        self.came = self.lost = self.passed = 0

    async def open(self, host: str = "127.0.0.1") -> None:
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, (host, 0))
        assert self.transport is not None
        self.address = self.transport.get_extra_info("sockname")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        self.came += 1
        came_from, target = cast(Address, tuple(addr[:2])), self.target()
        if came_from != target:
            self.caller = came_from
            self.pass_on(FORWARD, data, target)
        else:
            self.pass_on(BACK, data, self.caller)

    def pass_on(self, direction: int, data: bytes, to: Address | None) -> None:
        conditions = self.conditions[direction]
        if to is None or conditions.cut or self.dice.random() < conditions.loss:
            self.lost += 1
            return
        if conditions.short and self.dice.random() < conditions.short:
            data = data[: self.dice.randrange(len(data))]
        if conditions.spoilt and self.dice.random() < conditions.spoilt:
            at = self.dice.randrange(max(1, len(data)))
            data = data[:at] + bytes([self.dice.randrange(256)]) + data[at + 1 :]
        for _ in range(2 if self.dice.random() < conditions.double else 1):
            delay_us = conditions.draw_us(self.dice)
            if conditions.late and self.dice.random() < conditions.late:
                delay_us += conditions.late_us
            asyncio.get_running_loop().call_later(delay_us / 1e6, self.arrive, direction, data, to)

    def arrive(self, direction: int, data: bytes, to: Address) -> None:
        if self.conditions[direction].cut or self.transport is None:
            self.lost += 1
            return
        self.passed += 1
        self.transport.sendto(data, to)

    def cut(self, directions: Iterable[int] = (FORWARD, BACK)) -> None:
        for direction in directions:
            self.conditions[direction].cut = True

    def heal(self, reset: bool = False) -> None:
        for conditions in self.conditions:
            conditions.cut = False

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()
            self.transport = None


@dataclass
class Network:
    """All links of a play."""

    seed: int = 0
    links: list[TcpLink | UdpLink] = field(default_factory=list)
    # By both ports that the target sees: connections to different targets may share the one that is ours.
    flows: dict[tuple[int, int], Flow] = field(default_factory=dict)

    def flow_of(self, transport: asyncio.BaseTransport) -> Flow | None:
        """What a target's connection came through; None: it came directly."""
        peer, own = transport.get_extra_info("peername"), transport.get_extra_info("sockname")
        return self.flows.get((peer[1], own[1])) if peer and own else None

    def tcp(self, near: str, far: str, target: Callable[[], Address | None]) -> TcpLink:
        link = TcpLink(self, near, far, target)
        self.links.append(link)
        return link

    def udp(self, near: str, far: str, target: Callable[[], Address | None], known: Address | None = None) -> UdpLink:
        link = UdpLink(self, near, far, target, known)
        self.links.append(link)
        return link

    def between(self, one: Iterable[str], other: Iterable[str]) -> list[TcpLink | UdpLink]:
        """Links that join the two groups, in either direction."""
        a, b = set(one), set(other)
        return [k for k in self.links if (k.near in a and k.far in b) or (k.near in b and k.far in a)]

    def partition(self, one: Iterable[str], other: Iterable[str], one_way: bool = False) -> None:
        """Cut every link between the groups; with `one_way`, only what the first says to the second."""
        a = set(one)
        for link in self.between(a, other):
            if not one_way:
                link.cut()
            else:
                link.cut((FORWARD,) if link.near in a else (BACK,))

    def heal(self, reset: bool = False) -> None:
        for link in self.links:
            link.heal(reset)

    def close(self) -> None:
        for link in self.links:
            link.close()
