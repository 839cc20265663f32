"""Datagrams between gateways: a link for every two of them, with every fault, and a party that watches duties.

The watcher is a gateway by number and by nothing else: it asks all others again and again who holds a duty, and is an
outside resource with a fence. Its form of datagrams is written from docs/duties-wire.md; it knows no code of the
gateway's. Its links are never cut, and one socket takes all answers in the order in which they were sent.
"""

from __future__ import annotations

import asyncio
import hashlib
import os
import socket
import struct
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from itertools import combinations
from typing import cast

from standins.checker.leases import ObservedAct
from standins.event_log import now_us
from standins.parties.network import BACK, FORWARD, Address, LinkConditions, Network, UdpLink

HEAD = struct.Struct(">BBBBHIQ")
REPORT, ACT, OLDER = 11, 12, 15
ASK_S = 0.01  # between two questions of the watcher to each gateway
ACTS_MOST = 1_000_000


def own_host() -> str:
    """A loopback address that no other process here uses: a port that is free there stays free."""
    pid = os.getpid()
    return f"127.{64 + (pid >> 16) % 64}.{(pid >> 8) % 256}.{pid % 256 or 1}"


def free_udp(host: str) -> Address:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((host, 0))
        return cast(Address, probe.getsockname())


def duty_number(name: str) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest()) >> 4


def host_number(name: str) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=4).digest())


class Mesh:
    """Addresses and links of gateways 0 to n - 1, and of the watcher, if there is one, whose number is n."""

    def __init__(self, network: Network, count: int, watched: bool = True) -> None:
        self.network, self.count, self.watched = network, count, watched
        self.host = own_host()
        self.listens = [free_udp(self.host) for _ in range(count)]
        self.links: dict[tuple[int, int], UdpLink] = {}
        self.watcher = Watcher(self)

    async def open(self) -> None:
        for one, other in combinations(range(self.count), 2):
            target = self.listens[other]
            link = self.network.add_udp_link(f"n{one}", f"n{other}", lambda target=target: target, self.listens[one])  # type: ignore[misc]
            await link.open(self.host)
            self.links[one, other] = link
        if self.watched:
            await self.watcher.open()

    def peers(self, number: int) -> list[str]:
        """The `peers` of one gateway's configuration: others at their links, the watcher as it is."""
        found = []
        for other in range(self.count):
            pair = (min(number, other), max(number, other))
            address = self.listens[number] if other == number else self.links[pair].address
            found.append(f"{address[0]}:{address[1]}")
        return [*found, f"{self.watcher.address[0]}:{self.watcher.address[1]}"] if self.watched else found

    def between(self, ones: Iterable[int], others: Iterable[int]) -> list[tuple[UdpLink, int]]:
        """Links from the first to the second, with the direction that says so."""
        a, b = set(ones), set(others)
        found = []
        for (low, high), link in self.links.items():
            if low in a and high in b:
                found.append((link, FORWARD))
            if high in a and low in b:
                found.append((link, BACK))
        return found

    def cut(self, ones: Iterable[int], others: Iterable[int], one_way: bool = False) -> None:
        ones, others = list(ones), list(others)
        for link, direction in self.between(ones, others):
            link.cut((direction,) if one_way else (FORWARD, BACK))

    def heal(self) -> None:
        for link in self.links.values():
            link.heal()

    def trouble(self, conditions: LinkConditions) -> None:
        """The same for every direction of every link."""
        for link in self.links.values():
            link.conditions = (replace(conditions), replace(conditions))

    def close(self) -> None:
        self.watcher.close()


@dataclass
class Watcher(asyncio.DatagramProtocol):
    """Asks every gateway for duties, and takes acts like a resource with a fence."""

    mesh: Mesh
    duties: list[int] = field(default_factory=list)
    acts: list[ObservedAct] = field(default_factory=list)
    transport: asyncio.DatagramTransport | None = None
    asker: asyncio.TimerHandle | None = None
    address: Address = ("", 0)
    voters: int = 3
    bad: int = 0
    newest: dict[int, int] = field(default_factory=dict)  # epochs by duty: the fence
    refused: int = 0

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, (self.mesh.host, 0))
        assert self.transport is not None
        self.address = self.transport.get_extra_info("sockname")
        self.ask()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def ask(self) -> None:
        self.asker = asyncio.get_running_loop().call_later(ASK_S, self.ask)
        assert self.transport is not None
        for duty in self.duties:
            said = self.worded(REPORT, struct.pack(">QQQ", duty, 1, 0))
            for address in self.mesh.listens:
                self.transport.sendto(said, address)

    def worded(self, kind: int, body: bytes) -> bytes:
        said = HEAD.pack(0xC7, 1, kind, self.voters, self.mesh.count, 1, 0) + body
        return said + struct.pack(">I", zlib.crc32(said))

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        said, checksum = data[:-4], data[-4:]
        if len(data) > 256 or struct.pack(">I", zlib.crc32(said)) != checksum:
            self.bad += 1
            return
        _, _, kind, _, number, nonce, _ = HEAD.unpack_from(said)
        if kind == ACT and len(self.acts) < ACTS_MOST:
            duty, epoch, _, _ = struct.unpack_from(">QQQQ", said, HEAD.size)
            self.acts.append(ObservedAct(now_us(), duty, epoch, number, nonce))
            seen = self.newest[duty] = max(epoch, self.newest.get(duty, 0))
            if epoch < seen and number < self.mesh.count and self.transport is not None:
                # As a resource with a fence does: it refuses, and tells what it has seen.
                self.refused += 1
                self.transport.sendto(self.worded(OLDER, struct.pack(">QQ", duty, seen)), self.mesh.listens[number])

    def error_received(self, exc: Exception) -> None:
        """A gateway that is not there: its port answers that nobody listens."""

    def close(self) -> None:
        if self.asker is not None:
            self.asker.cancel()
        if self.transport is not None:
            self.transport.close()

    # What it saw

    def holder(self, duty: int) -> ObservedAct | None:
        """The last act of a duty."""
        return next((act for act in reversed(self.acts) if act.role == duty), None)
