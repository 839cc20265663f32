"""UDP links with faults, the mesh of gateways, and the check of leases: it reports exactly the planted violations."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

from standins.checker.leases import LeadershipGap, ObservedAct, check_leases, leadership_gaps
from standins.parties.mesh import Mesh, free_udp_address, role_number, unique_loopback_host
from standins.parties.network import BACK, FORWARD, Address, LinkConditions, Network, UdpLink
from tests.sockets import on_loop, wait_until


class RecordingEndpoint(asyncio.DatagramProtocol):
    """One end of a link; records datagrams with the address of their sender."""

    def __init__(self) -> None:
        self.received: list[tuple[bytes, Address]] = []

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        self.received.append((data, (str(addr[0]), int(addr[1]))))


async def open_endpoint(address: Address) -> tuple[RecordingEndpoint, asyncio.DatagramTransport]:
    endpoint = RecordingEndpoint()
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(lambda: endpoint, local_addr=address)
    return endpoint, transport


async def check_link(
    check: Callable[[UdpLink, RecordingEndpoint, RecordingEndpoint, Callable[[int, bytes], None]], Awaitable[None]],
) -> None:
    """Run a check with a link, its two ends, and a function that sends through the link in a direction."""
    host = unique_loopback_host()
    near_address, far_address = free_udp_address(host), free_udp_address(host)
    (near, near_transport), (far, far_transport) = (
        await open_endpoint(near_address),
        await open_endpoint(far_address),
    )
    network = Network(1)
    link = network.add_udp_link("n0", "n1", lambda: far_address, near_address)
    await link.open(host)

    def send(direction: int, data: bytes) -> None:
        (near_transport if direction == FORWARD else far_transport).sendto(data, link.address)

    try:
        await check(link, near, far, send)
    finally:
        network.close()
        near_transport.close()
        far_transport.close()


@on_loop
async def test_link_relays_both_ways_from_its_own_address() -> None:
    async def check(
        link: UdpLink, near: RecordingEndpoint, far: RecordingEndpoint, send: Callable[[int, bytes], None]
    ) -> None:
        send(BACK, b"first")
        await wait_until(lambda: near.received)
        send(FORWARD, b"second")
        await wait_until(lambda: far.received)
        assert near.received == [(b"first", link.address)] and far.received == [(b"second", link.address)]

    await check_link(check)


@on_loop
async def test_one_way_cut_loss_duplicates_truncation_and_corruption() -> None:
    async def check(
        link: UdpLink, near: RecordingEndpoint, far: RecordingEndpoint, send: Callable[[int, bytes], None]
    ) -> None:
        link.cut((FORWARD,))
        send(FORWARD, b"lost")
        send(BACK, b"heard")
        await wait_until(lambda: near.received and link.lost_count)
        assert not far.received
        link.heal()
        link.conditions = (LinkConditions(duplicate=1.0), LinkConditions(loss=1.0))
        send(FORWARD, b"twice")
        send(BACK, b"lost")
        await wait_until(lambda: len(far.received) == 2 and link.lost_count == 2)
        link.conditions = (LinkConditions(truncated=1.0), LinkConditions(corrupted=1.0))
        send(FORWARD, b"a long one")
        send(BACK, b"\0" * 64)
        await wait_until(lambda: len(far.received) == 3 and len(near.received) == 2)
        assert len(far.received[-1][0]) < 10 and len(near.received[-1][0]) == 64

    await check_link(check)


@on_loop
async def test_delayed_datagram_arrives_after_a_later_one() -> None:
    async def check(
        link: UdpLink, near: RecordingEndpoint, far: RecordingEndpoint, send: Callable[[int, bytes], None]
    ) -> None:
        link.conditions = (LinkConditions(delayed=1.0, extra_delay_us=50_000), LinkConditions())
        send(FORWARD, b"late")
        await wait_until(lambda: link.received_count == 1)
        link.conditions = (LinkConditions(), LinkConditions())
        send(FORWARD, b"later")
        await wait_until(lambda: len(far.received) == 2)
        assert [data for data, _ in far.received] == [b"later", b"late"]

    await check_link(check)


@on_loop
async def test_mesh_peers_are_link_addresses_and_the_watcher_last() -> None:
    network = Network(1)
    mesh = Mesh(network, 3)
    await mesh.open()
    try:
        assert len(mesh.links) == 3
        for number in range(3):
            peers = mesh.peers(number)
            assert len(peers) == 4 and peers[number] == "{}:{}".format(*mesh.listen_addresses[number])
            assert peers[3] == "{}:{}".format(*mesh.watcher.address)
        assert mesh.peers(0)[1] == mesh.peers(1)[0]  # both ends reach each other at the one address of their link
        mesh.cut([0], [1, 2], one_way=True)
        assert [link.conditions[FORWARD].is_cut for link in mesh.links.values()] == [True, True, False]
        assert not any(link.conditions[BACK].is_cut for link in mesh.links.values())
    finally:
        mesh.close()
        network.close()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(mesh.listen_addresses[0])  # the sockets were closed


def act(at_ms: int, fencing_token: int, gateway: int, nonce: int = 1, role: int = 7) -> ObservedAct:
    return ObservedAct(at_ms * 1000, role, fencing_token, gateway, nonce)


def test_lease_check_reports_stale_acts_and_shared_fencing_tokens() -> None:
    valid_acts = [act(0, 5, 1), act(10, 5, 1), act(20, 9, 2), act(30, 9, 2), act(40, 3, 1, role=8)]
    assert check_leases(valid_acts) == []
    violations = check_leases([*valid_acts, act(50, 5, 1)])
    assert [violation.description for violation in violations] == ["an act after that of a newer holder"]
    assert check_leases([*valid_acts, act(50, 5, 1)], {1: 1}) == []  # one stop allows one rejected act
    assert len(check_leases([*valid_acts, act(50, 5, 1), act(60, 5, 1)], {1: 1})) == 1
    duplicate_token = check_leases([*valid_acts, act(50, 9, 3)])
    assert [violation.description for violation in duplicate_token] == ["two holders with one fencing token"]
    # Another process of the same gateway is another holder.
    assert check_leases([*valid_acts, act(50, 9, 2, nonce=2)])


def test_lower_token_after_a_full_restart_is_accepted_for_one_lease() -> None:
    acts = [act(0, 9, 1), act(1000, 5, 2), act(1600, 5, 2), act(1700, 11, 2)]
    assert check_leases(acts, all_down_at_us=[500_000], lease_us=600_000) == []
    assert check_leases(acts, lease_us=600_000)  # without a full restart it is a violation
    continued_acts = [act(0, 9, 1), act(1000, 5, 2), act(2000, 5, 2)]
    assert [
        violation.description
        for violation in check_leases(continued_acts, all_down_at_us=[500_000], lease_us=600_000)
    ] == ["acts continue under a rejected fencing token"]
    # The restarted holders are checked against each other.
    competing_acts = [act(0, 9, 1), act(1000, 5, 2), act(1100, 4, 3)]
    assert [
        violation.description
        for violation in check_leases(competing_acts, all_down_at_us=[500_000], lease_us=600_000)
    ] == ["an act after that of a newer holder"]


def test_holder_with_an_early_expired_session_may_act_but_not_with_a_newer_token() -> None:
    acts = [act(0, 5, 1), act(100, 9, 2), act(110, 5, 1), act(120, 9, 2)]
    assert check_leases(acts, lease_us=600_000, forced_expiries_us=[50_000]) == []
    assert check_leases(acts, lease_us=600_000)  # without an expiry two holders act at once
    assert check_leases(
        [*acts, act(1000, 5, 1)], lease_us=600_000, forced_expiries_us=[50_000]
    )  # later than one lease after the expiry
    newer_token_acts = [act(0, 5, 1), act(100, 9, 2), act(110, 10, 1), act(120, 9, 2)]
    assert check_leases(newer_token_acts, lease_us=600_000, forced_expiries_us=[50_000])


def test_leadership_gap_lasts_from_last_act_to_first_act() -> None:
    acts = [act(0, 5, 1), act(10, 5, 1), act(700, 9, 2), act(710, 9, 2), act(900, 11, 1)]
    assert leadership_gaps(acts, 7) == [LeadershipGap(10_000, 690_000, 2), LeadershipGap(710_000, 190_000, 1)]
    assert role_number("warden/1/0") < 2**60
