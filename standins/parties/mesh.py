"""Full mesh of UDP links with faults between gateways, and a watcher of leased roles.

To the gateways the watcher is one more gateway: it has a number and sends datagrams. It periodically queries all of
them for the acts of their leased roles, and checks fencing tokens as an external resource does. It implements the
datagrams from docs/duties-wire.md and imports no code of the gateway. Its links are never cut, and a single socket
receives all replies in the order in which they were sent.
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

HEADER = struct.Struct(">BBBBHIQ")
REPORT_MESSAGE, ACT_MESSAGE, STALE_TOKEN_MESSAGE = 11, 12, 15  # message types
QUERY_INTERVAL_S = 0.01  # between queries of the watcher to each gateway
MAX_ACTS = 1_000_000


def unique_loopback_host() -> str:
    """A loopback address derived from the process id, so that no other process takes a free port of it."""
    pid = os.getpid()
    return f"127.{64 + (pid >> 16) % 64}.{(pid >> 8) % 256}.{pid % 256 or 1}"


def free_udp_address(host: str) -> Address:
    """An address with a UDP port that is free at the moment."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((host, 0))
        return cast(Address, probe.getsockname())


def role_number(name: str) -> int:
    """Number of a leased role in datagrams."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest()) >> 4


def host_number(name: str) -> int:
    """Number of a host in the names of leased roles."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=4).digest())


class Mesh:
    """Addresses and links of gateways 0 to count - 1, and the optional watcher, whose number is `count`."""

    def __init__(self, network: Network, count: int, has_watcher: bool = True) -> None:
        self.network, self.count, self.has_watcher = network, count, has_watcher
        self.host = unique_loopback_host()
        self.listen_addresses = [free_udp_address(self.host) for _ in range(count)]
        self.links: dict[tuple[int, int], UdpLink] = {}
        self.watcher = LeaseWatcher(self)

    async def open(self) -> None:
        """Open a link for each pair of gateways, and the watcher."""
        for low, high in combinations(range(self.count), 2):
            target = self.listen_addresses[high]
            link = self.network.add_udp_link(
                f"n{low}",
                f"n{high}",
                lambda target=target: target,  # type: ignore[misc]
                self.listen_addresses[low],
            )
            await link.open(self.host)
            self.links[low, high] = link
        if self.has_watcher:
            await self.watcher.open()

    def peers(self, number: int) -> list[str]:
        """The `peers` of a gateway's configuration: its own address, links to the others, the watcher's address."""
        peer_addresses = []
        for peer in range(self.count):
            pair = (min(number, peer), max(number, peer))
            address = self.listen_addresses[number] if peer == number else self.links[pair].address
            peer_addresses.append(f"{address[0]}:{address[1]}")
        return (
            [*peer_addresses, f"{self.watcher.address[0]}:{self.watcher.address[1]}"]
            if self.has_watcher
            else peer_addresses
        )

    def directed_links(self, first_group: Iterable[int], second_group: Iterable[int]) -> list[tuple[UdpLink, int]]:
        """Links from the first group to the second, each with the direction that leads there."""
        sources, destinations = set(first_group), set(second_group)
        links = []
        for (low, high), link in self.links.items():
            if low in sources and high in destinations:
                links.append((link, FORWARD))
            if high in sources and low in destinations:
                links.append((link, BACK))
        return links

    def cut(self, first_group: Iterable[int], second_group: Iterable[int], one_way: bool = False) -> None:
        """Partition the groups, or only drop what the first sends to the second."""
        first_group, second_group = list(first_group), list(second_group)
        for link, direction in self.directed_links(first_group, second_group):
            link.cut((direction,) if one_way else (FORWARD, BACK))

    def heal(self) -> None:
        """End all cuts."""
        for link in self.links.values():
            link.heal()

    def set_conditions(self, conditions: LinkConditions) -> None:
        """Apply the same conditions to both directions of every link."""
        for link in self.links.values():
            link.conditions = (replace(conditions), replace(conditions))

    def close(self) -> None:
        """Close the watcher; the network closes the links."""
        self.watcher.close()


@dataclass
class LeaseWatcher(asyncio.DatagramProtocol):
    """Queries all gateways for leased roles, records their acts and refuses stale fencing tokens."""

    mesh: Mesh
    roles: list[int] = field(default_factory=list)
    acts: list[ObservedAct] = field(default_factory=list)
    transport: asyncio.DatagramTransport | None = None
    query_timer: asyncio.TimerHandle | None = None
    address: Address = ("", 0)
    voters: int = 3
    malformed_count: int = 0
    newest_token_by_role: dict[int, int] = field(default_factory=dict)
    refused_count: int = 0

    async def open(self) -> None:
        """Open the socket and start the queries."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, (self.mesh.host, 0))
        assert self.transport is not None
        self.address = self.transport.get_extra_info("sockname")
        self.send_queries()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def send_queries(self) -> None:
        """Query every gateway for every watched role, now and once per interval."""
        self.query_timer = asyncio.get_running_loop().call_later(QUERY_INTERVAL_S, self.send_queries)
        assert self.transport is not None
        for role in self.roles:
            message = self.encode_datagram(REPORT_MESSAGE, struct.pack(">QQQ", role, 1, 0))
            for address in self.mesh.listen_addresses:
                self.transport.sendto(message, address)

    def encode_datagram(self, message_type: int, body: bytes) -> bytes:
        """A datagram with header and checksum."""
        message = HEADER.pack(0xC7, 1, message_type, self.voters, self.mesh.count, 1, 0) + body
        return message + struct.pack(">I", zlib.crc32(message))

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        message, checksum = data[:-4], data[-4:]
        if len(data) > 256 or struct.pack(">I", zlib.crc32(message)) != checksum:
            self.malformed_count += 1
            return
        _, _, message_type, _, number, nonce, _ = HEADER.unpack_from(message)
        if message_type == ACT_MESSAGE and len(self.acts) < MAX_ACTS:
            role, fencing_token, _, _ = struct.unpack_from(">QQQQ", message, HEADER.size)
            self.acts.append(ObservedAct(now_us(), role, fencing_token, number, nonce))
            newest_token = self.newest_token_by_role[role] = max(
                fencing_token, self.newest_token_by_role.get(role, 0)
            )
            if fencing_token < newest_token and number < self.mesh.count and self.transport is not None:
                # As a resource that checks fencing tokens does, refuse the act and report the newest token.
                self.refused_count += 1
                self.transport.sendto(
                    self.encode_datagram(STALE_TOKEN_MESSAGE, struct.pack(">QQ", role, newest_token)),
                    self.mesh.listen_addresses[number],
                )

    def error_received(self, exc: Exception) -> None:
        """Ignored: the port of a gateway that is not running is unreachable."""

    def close(self) -> None:
        """Stop the queries and close the socket."""
        if self.query_timer is not None:
            self.query_timer.cancel()
        if self.transport is not None:
            self.transport.close()

    # Observations

    def last_act_of(self, role: int) -> ObservedAct | None:
        """The last recorded act of the holder of a role."""
        return next((act for act in reversed(self.acts) if act.role == role), None)
