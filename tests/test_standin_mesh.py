"""Links of datagrams with every fault, and the judge of duties: it finds what is planted, and nothing else."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

from standins.checker.leases import LeadershipGap, ObservedAct, check_leases, leadership_gaps
from standins.parties.mesh import Mesh, duty_number, free_udp, own_host
from standins.parties.network import BACK, FORWARD, Address, Conditions, Network, UdpLink
from tests.sockets import on_loop, until


class End(asyncio.DatagramProtocol):
    """One party: what came, and from where."""

    def __init__(self) -> None:
        self.came: list[tuple[bytes, Address]] = []

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        self.came.append((data, (str(addr[0]), int(addr[1]))))


async def end(address: Address) -> tuple[End, asyncio.DatagramTransport]:
    made = End()
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(lambda: made, local_addr=address)
    return made, transport


async def linked(check: Callable[[UdpLink, End, End, Callable[[int, bytes], None]], Awaitable[None]]) -> None:
    host = own_host()
    near, far = free_udp(host), free_udp(host)
    (one, first), (other, second) = await end(near), await end(far)
    network = Network(1)
    link = network.udp("n0", "n1", lambda: far, near)
    await link.open(host)

    def say(direction: int, data: bytes) -> None:
        (first if direction == FORWARD else second).sendto(data, link.address)

    try:
        await check(link, one, other, say)
    finally:
        network.close()
        first.close()
        second.close()


@on_loop
async def test_each_end_hears_the_other_from_the_links_address_whoever_speaks_first() -> None:
    async def check(link: UdpLink, one: End, other: End, say: Callable[[int, bytes], None]) -> None:
        say(BACK, b"first")
        await until(lambda: one.came)
        say(FORWARD, b"second")
        await until(lambda: other.came)
        assert one.came == [(b"first", link.address)] and other.came == [(b"second", link.address)]

    await linked(check)


@on_loop
async def test_one_way_cut_lost_doubled_cut_short_and_spoilt() -> None:
    async def check(link: UdpLink, one: End, other: End, say: Callable[[int, bytes], None]) -> None:
        link.cut((FORWARD,))
        say(FORWARD, b"lost")
        say(BACK, b"heard")
        await until(lambda: one.came and link.lost)
        assert not other.came
        link.heal()
        link.conditions = (Conditions(double=1.0), Conditions(loss=1.0))
        say(FORWARD, b"twice")
        say(BACK, b"lost")
        await until(lambda: len(other.came) == 2 and link.lost == 2)
        link.conditions = (Conditions(short=1.0), Conditions(spoilt=1.0))
        say(FORWARD, b"a long one")
        say(BACK, b"\0" * 64)
        await until(lambda: len(other.came) == 3 and len(one.came) == 2)
        assert len(other.came[-1][0]) < 10 and len(one.came[-1][0]) == 64

    await linked(check)


@on_loop
async def test_what_is_late_comes_after_what_was_said_later() -> None:
    async def check(link: UdpLink, one: End, other: End, say: Callable[[int, bytes], None]) -> None:
        link.conditions = (Conditions(late=1.0, late_us=50_000), Conditions())
        say(FORWARD, b"late")
        await until(lambda: link.came == 1)
        link.conditions = (Conditions(), Conditions())
        say(FORWARD, b"later")
        await until(lambda: len(other.came) == 2)
        assert [data for data, _ in other.came] == [b"later", b"late"]

    await linked(check)


@on_loop
async def test_a_mesh_names_every_gateway_by_its_link_and_the_watcher_last() -> None:
    network = Network(1)
    mesh = Mesh(network, 3)
    await mesh.open()
    try:
        assert len(mesh.links) == 3
        for number in range(3):
            peers = mesh.peers(number)
            assert len(peers) == 4 and peers[number] == "{}:{}".format(*mesh.listens[number])
            assert peers[3] == "{}:{}".format(*mesh.watcher.address)
        assert mesh.peers(0)[1] == mesh.peers(1)[0]  # one link, one address, for both
        mesh.cut([0], [1, 2], one_way=True)
        assert [link.conditions[FORWARD].cut for link in mesh.links.values()] == [True, True, False]
        assert not any(link.conditions[BACK].cut for link in mesh.links.values())
    finally:
        mesh.close()
        network.close()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as again:
        again.bind(mesh.listens[0])  # nothing was left behind


def act(at_ms: int, epoch: int, gateway: int, nonce: int = 1, duty: int = 7) -> ObservedAct:
    return ObservedAct(at_ms * 1000, duty, epoch, gateway, nonce)


def test_the_judge_finds_an_act_after_a_newer_holders_and_two_with_one_epoch() -> None:
    clean = [act(0, 5, 1), act(10, 5, 1), act(20, 9, 2), act(30, 9, 2), act(40, 3, 1, duty=8)]
    assert check_leases(clean) == []
    late = check_leases([*clean, act(50, 5, 1)])
    assert [wrong.what for wrong in late] == ["an act after that of a newer holder"]
    assert check_leases([*clean, act(50, 5, 1)], {1: 1}) == []  # it was stopped once: the fence's to refuse
    assert len(check_leases([*clean, act(50, 5, 1), act(60, 5, 1)], {1: 1})) == 1
    twice = check_leases([*clean, act(50, 9, 3)])
    assert [wrong.what for wrong in twice] == ["two holders with one fencing token"]
    assert check_leases([*clean, act(50, 9, 2, nonce=2)])  # another process of the same gateway is another holder


def test_when_all_began_anew_a_lower_epoch_is_refused_and_may_go_on_for_a_lease_and_no_longer() -> None:
    acts = [act(0, 9, 1), act(1000, 5, 2), act(1600, 5, 2), act(1700, 11, 2)]
    assert check_leases(acts, blanks=[500_000], lease_us=600_000) == []
    assert check_leases(acts, lease_us=600_000)  # it did not begin anew: somebody remembered
    on = [act(0, 9, 1), act(1000, 5, 2), act(2000, 5, 2)]
    assert [w.what for w in check_leases(on, blanks=[500_000], lease_us=600_000)] == [
        "acts continue under a rejected fencing token"
    ]
    two = [act(0, 9, 1), act(1000, 5, 2), act(1100, 4, 3)]  # the holders of after are judged among themselves
    assert [w.what for w in check_leases(two, blanks=[500_000], lease_us=600_000)] == [
        "an act after that of a newer holder"
    ]


def test_who_lost_its_session_before_its_time_may_be_refused_and_may_not_outbid() -> None:
    acts = [act(0, 5, 1), act(100, 9, 2), act(110, 5, 1), act(120, 9, 2)]
    assert check_leases(acts, lease_us=600_000, expiries=[50_000]) == []
    assert check_leases(acts, lease_us=600_000)  # nobody ended a session: two hold
    assert check_leases([*acts, act(1000, 5, 1)], lease_us=600_000, expiries=[50_000])  # a lease is over
    outbid = [act(0, 5, 1), act(100, 9, 2), act(110, 10, 1), act(120, 9, 2)]
    assert check_leases(outbid, lease_us=600_000, expiries=[50_000])


def test_changes_of_holder_are_timed_from_the_last_act_to_the_first() -> None:
    acts = [act(0, 5, 1), act(10, 5, 1), act(700, 9, 2), act(710, 9, 2), act(900, 11, 1)]
    assert leadership_gaps(acts, 7) == [LeadershipGap(10_000, 690_000, 2), LeadershipGap(710_000, 190_000, 1)]
    assert duty_number("warden/1/0") < 2**60
