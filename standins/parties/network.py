"""An unreliable network between processes: TCP and UDP links whose faults are switched on command.

A link joins two named parties, neither of which knows of it: one is given the link's address in place of the other's.
A partition names two groups of parties; every link between them is cut, in both directions or in one.
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

MAX_BUFFERED_BYTES = 256 * 1024  # per direction of a connection; above it the link stops reading from the sender
LISTEN_BACKLOG = 512
FORWARD, BACK = 0, 1
Address = tuple[str, int]


def reserve_port(address: Address = ("127.0.0.1", 0)) -> socket.socket:
    """Return a socket that is bound to the address, by default to a free port, and does not listen.

    It prevents two runs on one machine from getting the same port: the kernel gives out no port that is bound, and
    two sockets that both set SO_REUSEADDR may share a port as long as only one of them listens.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(address)
    return reserved


@dataclass(slots=True)
class LinkConditions:
    """Faults of one direction of a link. Shares are between 0 and 1."""

    delay_us: int = 0
    jitter_us: int = 0
    loss: float = 0.0  # share of datagrams lost; for TCP, share of chunks that arrive `resend_us` later
    resend_us: int = 200_000
    duplicate: float = 0.0  # share of datagrams that arrive twice
    delayed: float = 0.0  # share of datagrams that arrive `extra_delay_us` later, so that others overtake them
    extra_delay_us: int = 0
    truncated: float = 0.0  # share of datagrams that are cut short
    corrupted: float = 0.0  # share of datagrams in which one byte is replaced
    is_cut: bool = False  # nothing passes; a TCP connection keeps the bytes that it holds

    def draw_delay_us(self, rng: random.Random) -> int:
        """Draw the delay of one chunk or datagram."""
        return self.delay_us + (int(rng.random() * self.jitter_us) if self.jitter_us else 0)


class _FlowEnd(asyncio.Protocol):
    """One end of a relayed connection."""

    def __init__(self, flow: Flow, side: int) -> None:
        self.flow, self.side = flow, side
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.flow.on_connected(self.side)

    def data_received(self, data: bytes) -> None:
        self.flow.receive(self.side, data)

    def eof_received(self) -> bool:
        self.flow.receive(self.side, b"")
        return True  # keeps the other direction open

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.flow.on_disconnected(self.side, exc)

    def pause_writing(self) -> None:
        self.flow.pause(1 - self.side)

    def resume_writing(self) -> None:
        self.flow.resume(1 - self.side)


class Flow:
    """One relayed TCP connection: its two ends, and the bytes in transit in each direction."""

    def __init__(self, link: TcpLink) -> None:
        self.link = link
        self.ends = (_FlowEnd(self, FORWARD), _FlowEnd(self, BACK))  # towards the caller, towards the target
        # By direction: arrival time (µs) and bytes of each chunk in transit; b"" is the end of the stream.
        self.in_transit: tuple[deque[tuple[int, bytes]], deque[tuple[int, bytes]]] = (deque(), deque())
        self.timers: list[asyncio.TimerHandle | None] = [None, None]
        self.buffered_bytes = [0, 0]
        self.last_arrival_us = [0, 0]  # of the last chunk in transit, by direction; later ones do not overtake it
        self.received_bytes = [0, 0]  # by direction
        self.send_times: deque[tuple[int, int]] = deque()  # forward: total bytes received, time (µs)
        # If set, the connection is reset after this many more bytes from the target.
        self.reset_after_bytes: int | None = None
        self.target_port = 0
        self.ports = (0, 0)  # of the link towards the target, and of the target; set once connected
        self.is_closed = False
        self.has_sent_eof = [False, False]

    def on_connected(self, side: int) -> None:
        """Record that one end is connected and pass on the chunks that wait for it."""
        if side == BACK:
            transport = self.ends[BACK].transport
            assert transport is not None
            self.ports = (transport.get_extra_info("sockname")[1], self.target_port)
            self.link.network.flows[self.ports] = self
        self.flush(1 - side)

    def find_send_time_us(self, offset: int) -> int:
        """Return when the byte at this offset of the forward stream was sent to the link, in µs."""
        while len(self.send_times) > 1 and self.send_times[0][0] <= offset:
            self.send_times.popleft()
        return self.send_times[0][1] if self.send_times else now_us()

    def receive(self, side: int, data: bytes) -> None:
        """Take in a chunk at one end; it leaves at the other after its delay, in order."""
        self.received_bytes[side] += len(data)
        if side == FORWARD and data:
            self.send_times.append((self.received_bytes[FORWARD], now_us()))
        conditions, rng = self.link.conditions[side], self.link.rng
        delay_us = conditions.draw_delay_us(rng)
        if conditions.loss and rng.random() < conditions.loss:
            delay_us += conditions.resend_us
        self.last_arrival_us[side] = max(self.last_arrival_us[side], now_us() + delay_us)
        self.in_transit[side].append((self.last_arrival_us[side], data))
        self.buffered_bytes[side] += len(data)
        if self.buffered_bytes[side] > MAX_BUFFERED_BYTES:
            self.pause(side)
        self.flush(side)

    def flush(self, side: int) -> None:
        """Pass on the chunks whose arrival time has come, unless the link is cut."""
        if self.timers[side] is not None:
            self.timers[side].cancel()  # type: ignore[union-attr]
            self.timers[side] = None
        in_transit = self.in_transit[side]
        while in_transit and not self.link.conditions[side].is_cut and self.ends[1 - side].transport is not None:
            arrival_us, data = in_transit[0]
            wait_us = arrival_us - now_us()
            if wait_us > 0:
                call_later = asyncio.get_running_loop().call_later
                self.timers[side] = call_later(wait_us / 1e6, self.flush, side)
                return
            in_transit.popleft()
            self.write(side, data)

    def write(self, side: int, data: bytes) -> None:
        """Write a chunk to the other end, or close its sending side for an empty one."""
        transport = self.ends[1 - side].transport
        self.buffered_bytes[side] -= len(data)
        if transport is None or self.is_closed:
            return
        if not data:
            self.has_sent_eof[side] = True
            if all(self.has_sent_eof):
                self.abort()
            elif transport.can_write_eof():
                transport.write_eof()
            return
        if side == BACK and self.reset_after_bytes is not None:
            self.reset_after_bytes -= len(data)
            if self.reset_after_bytes <= 0:
                transport.write(data[: len(data) + self.reset_after_bytes])
                asyncio.get_running_loop().call_later(0.001, self.reset)
                return
        transport.write(data)
        if self.buffered_bytes[side] <= MAX_BUFFERED_BYTES // 2:
            self.resume(side)

    def pause(self, side: int) -> None:
        """Stop reading from this end."""
        transport = self.ends[side].transport
        if transport is not None and not transport.is_closing():
            transport.pause_reading()

    def resume(self, side: int) -> None:
        """Read from this end again."""
        transport = self.ends[side].transport
        if transport is not None and not transport.is_closing():
            transport.resume_reading()

    def on_disconnected(self, side: int, exc: Exception | None) -> None:
        """Abort the connection, unless the link is cut: the other end cannot learn of it then."""
        if not self.is_closed and self.link.conditions[side].is_cut:
            return
        self.abort()

    def reset(self) -> None:
        """Close both ends with a TCP reset."""
        for end in self.ends:
            if end.transport is not None:
                sock = end.transport.get_extra_info("socket")
                if sock is not None:
                    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.abort()

    def abort(self) -> None:
        """Close both ends at once and forget the bytes in transit."""
        if self.is_closed:
            return
        self.is_closed = True
        for end in self.ends:
            if end.transport is not None:
                end.transport.abort()
        for side in (FORWARD, BACK):
            self.in_transit[side].clear()
            self.flush(side)  # cancels its timer
        self.link.flows.discard(self)
        if self.link.network.flows.get(self.ports) is self:
            del self.link.network.flows[self.ports]


class TcpLink:
    """Listens in place of a target and relays each connection to it. `near` and `far` name the joined parties."""

    def __init__(self, network: Network, near: str, far: str, target: Callable[[], Address | None]) -> None:
        self.network, self.near, self.far = network, near, far
        self.target = target  # returns None if nothing listens at the target; the connection is refused then
        self.conditions = (LinkConditions(), LinkConditions())
        self.rng = random.Random(f"{network.seed}/{near}/{far}")
        self.flows: set[Flow] = set()
        self.relay_tasks: set[asyncio.Task[None]] = set()
        self.listener: socket.socket | None = None
        self.reserved_socket: socket.socket | None = None  # holds the port after the first `open`
        self.backlog_fillers: list[socket.socket] = []
        self.address: Address = ("127.0.0.1", 0)
        # Of all accepted connections, also while nothing listens at the target.
        self.connection_times_us: deque[int] = deque(maxlen=10_000)

    def open(self) -> None:
        """Listen, on the same port as before if there is one."""
        if self.listener is not None:
            return
        if self.reserved_socket is None:
            self.reserved_socket = reserve_port(self.address)
            self.address = self.reserved_socket.getsockname()
        listener = reserve_port(self.address)
        listener.listen(LISTEN_BACKLOG)
        listener.setblocking(False)
        self.listener = listener
        asyncio.get_running_loop().add_reader(listener.fileno(), self.accept_connections)
        if any(conditions.is_cut for conditions in self.conditions):
            self.block_connections()

    def refuse(self) -> None:
        """Refuse connections from now on, as a machine does on which nothing listens."""
        self.unblock_connections()
        if self.listener is not None:
            asyncio.get_running_loop().remove_reader(self.listener.fileno())
            self.listener.close()
            self.listener = None

    def swap_address_with(self, other: TcpLink) -> None:
        """Refuse connections here, then listen at the address of `other`, which gets the address of this link."""
        self.refuse()
        self.reserved_socket, other.reserved_socket = other.reserved_socket, self.reserved_socket
        self.address, other.address = other.address, self.address
        self.open()

    def accept_connections(self) -> None:
        """Accept all connections that wait in the listener's queue."""
        while self.listener is not None:
            try:
                accepted, _ = self.listener.accept()
            except OSError:
                return
            task = asyncio.get_running_loop().create_task(self.relay_connection(accepted))
            self.relay_tasks.add(task)
            task.add_done_callback(self.relay_tasks.discard)

    async def relay_connection(self, accepted: socket.socket) -> None:
        """Connect an accepted connection to the target; reset it if the target refuses."""
        loop, target, flow = asyncio.get_running_loop(), self.target(), Flow(self)
        self.connection_times_us.append(now_us())
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
        """Stop all traffic in these directions."""
        for direction in directions:
            self.conditions[direction].is_cut = True
        self.block_connections()

    def heal(self, reset: bool = False) -> None:
        """End all cuts; with `reset`, reset the connections that were open during the cut."""
        was_cut = any(conditions.is_cut for conditions in self.conditions)
        for conditions in self.conditions:
            conditions.is_cut = False
        self.unblock_connections()
        for flow in list(self.flows) if was_cut else ():
            if reset or any(end.transport is None and flow.ports[0] for end in flow.ends):
                flow.reset()  # one end closed during the cut
            else:
                flow.flush(FORWARD)
                flow.flush(BACK)

    def block_connections(self) -> None:
        """Neither complete nor refuse new connections: fill the listener's queue, so that the kernel drops SYNs."""
        if self.listener is None or self.backlog_fillers:
            return
        asyncio.get_running_loop().remove_reader(self.listener.fileno())
        self.accept_connections()  # connections that completed before the cut stay
        self.listener.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.backlog_fillers.append(filler)

    def unblock_connections(self) -> None:
        """Empty the listener's queue and relay the real connections in it."""
        if not self.backlog_fillers:
            return
        filler_addresses = {filler.getsockname() for filler in self.backlog_fillers}
        for filler in self.backlog_fillers:
            filler.close()
        self.backlog_fillers = []
        if self.listener is None:
            return
        self.listener.listen(LISTEN_BACKLOG)
        while True:
            try:
                accepted, peer = self.listener.accept()
            except OSError:
                break
            if peer in filler_addresses:
                accepted.close()
                continue
            task = asyncio.get_running_loop().create_task(self.relay_connection(accepted))
            self.relay_tasks.add(task)
            task.add_done_callback(self.relay_tasks.discard)
        asyncio.get_running_loop().add_reader(self.listener.fileno(), self.accept_connections)

    def close(self) -> None:
        """Close the listener and all connections."""
        self.refuse()
        if self.reserved_socket is not None:
            self.reserved_socket.close()
            self.reserved_socket = None
        for task in self.relay_tasks:
            task.cancel()
        for flow in list(self.flows):
            flow.abort()


class UdpLink(asyncio.DatagramProtocol):
    """Relays datagrams to a target, and its datagrams to the last sender or to `known_caller`."""

    def __init__(
        self, network: Network, near: str, far: str, target: Callable[[], Address | None],
        known_caller: Address | None = None,
    ) -> None:  # fmt: skip
        self.network, self.near, self.far, self.target = network, near, far, target
        self.conditions = (LinkConditions(), LinkConditions())
        self.rng = random.Random(f"{network.seed}/{near}/{far}/udp")
        self.transport: asyncio.DatagramTransport | None = None
        self.address: Address = ("127.0.0.1", 0)
        self.caller: Address | None = known_caller
        self.received_count = self.lost_count = self.delivered_count = 0

    async def open(self, host: str = "127.0.0.1") -> None:
        """Bind a socket on this host."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, (host, 0))
        assert self.transport is not None
        self.address = self.transport.get_extra_info("sockname")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        self.received_count += 1
        sender, target = cast(Address, tuple(addr[:2])), self.target()
        if sender != target:
            self.caller = sender
            self.forward_datagram(FORWARD, data, target)
        else:
            self.forward_datagram(BACK, data, self.caller)

    def forward_datagram(self, direction: int, data: bytes, destination: Address | None) -> None:
        """Send a datagram on after its delay, with the faults of this direction."""
        conditions = self.conditions[direction]
        if destination is None or conditions.is_cut or self.rng.random() < conditions.loss:
            self.lost_count += 1
            return
        if conditions.truncated and self.rng.random() < conditions.truncated:
            data = data[: self.rng.randrange(len(data))]
        if conditions.corrupted and self.rng.random() < conditions.corrupted:
            index = self.rng.randrange(max(1, len(data)))
            data = data[:index] + bytes([self.rng.randrange(256)]) + data[index + 1 :]
        for _ in range(2 if self.rng.random() < conditions.duplicate else 1):
            delay_us = conditions.draw_delay_us(self.rng)
            if conditions.delayed and self.rng.random() < conditions.delayed:
                delay_us += conditions.extra_delay_us
            asyncio.get_running_loop().call_later(delay_us / 1e6, self.deliver, direction, data, destination)

    def deliver(self, direction: int, data: bytes, destination: Address) -> None:
        """Send a datagram whose delay has passed, unless the link has been cut in the meantime."""
        if self.conditions[direction].is_cut or self.transport is None:
            self.lost_count += 1
            return
        self.delivered_count += 1
        self.transport.sendto(data, destination)

    def cut(self, directions: Iterable[int] = (FORWARD, BACK)) -> None:
        """Stop all traffic in these directions."""
        for direction in directions:
            self.conditions[direction].is_cut = True

    def heal(self, reset: bool = False) -> None:
        """End all cuts; datagrams have no connection that `reset` could reset."""
        for conditions in self.conditions:
            conditions.is_cut = False

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.abort()
            self.transport = None


@dataclass
class Network:
    """All links of a run."""

    seed: int = 0
    links: list[TcpLink | UdpLink] = field(default_factory=list)
    # By the link's port and the target's port: connections to different targets may share the link's port.
    flows: dict[tuple[int, int], Flow] = field(default_factory=dict)

    def flow_of(self, transport: asyncio.BaseTransport) -> Flow | None:
        """Return the flow behind a connection that a target accepted; None for a direct connection."""
        peer, own = transport.get_extra_info("peername"), transport.get_extra_info("sockname")
        return self.flows.get((peer[1], own[1])) if peer and own else None

    def add_tcp_link(self, near: str, far: str, target: Callable[[], Address | None]) -> TcpLink:
        """Add a link that relays connections from `near` to `far`; it does not listen yet."""
        link = TcpLink(self, near, far, target)
        self.links.append(link)
        return link

    def add_udp_link(
        self, near: str, far: str, target: Callable[[], Address | None], known_caller: Address | None = None
    ) -> UdpLink:
        """Add a link that relays datagrams between `near` and `far`; it has no socket yet."""
        link = UdpLink(self, near, far, target, known_caller)
        self.links.append(link)
        return link

    def links_between(self, first: Iterable[str], other: Iterable[str]) -> list[TcpLink | UdpLink]:
        """Return the links that join the two groups, in either direction."""
        first_parties, second_parties = set(first), set(other)
        return [
            link
            for link in self.links
            if (link.near in first_parties and link.far in second_parties)
            or (link.near in second_parties and link.far in first_parties)
        ]

    def partition(self, first: Iterable[str], other: Iterable[str], one_way: bool = False) -> None:
        """Cut every link between the groups; with `one_way`, only the direction from the first to the other."""
        first_parties = set(first)
        for link in self.links_between(first_parties, other):
            if not one_way:
                link.cut()
            else:
                link.cut((FORWARD,) if link.near in first_parties else (BACK,))

    def heal(self, reset: bool = False) -> None:
        """End all cuts; with `reset`, reset the connections that were open during a cut."""
        for link in self.links:
            link.heal(reset)

    def close(self) -> None:
        """Close all links."""
        for link in self.links:
            link.close()
