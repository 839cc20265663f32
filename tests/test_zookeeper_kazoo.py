"""Stock kazoo, unchanged, against the stand-in service: a scripted list of points that any such service must meet."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from typing import Any

import pytest
from kazoo.client import KazooClient
from kazoo.exceptions import (
    BadVersionError,
    ConnectionLoss,
    InvalidACLError,
    NoAuthError,
    NoChildrenForEphemeralsError,
    NodeExistsError,
    NoNodeError,
    NotEmptyError,
    NotReadOnlyCallError,
    RolledBackError,
    RuntimeInconsistency,
    SessionExpiredError,
    SessionMovedError,
)
from kazoo.protocol.states import EventType, KeeperState
from kazoo.recipe.election import Election
from kazoo.recipe.lock import Lock
from kazoo.recipe.watchers import ChildrenWatch, DataWatch
from kazoo.security import ACL, OPEN_ACL_UNSAFE, Id, make_digest_acl

from standins.parties.zookeeper.threaded import ThreadedEnsemble

PATIENCE_S = 15.0


class Desk:
    """One ensemble, and clients that are stopped at the end."""

    def __init__(self) -> None:
        self.keeper = ThreadedEnsemble()
        self.clients: list[Any] = []
        self.seen: list[Any] = []

    def client(self, server: int | None = None, timeout: float = 10.0, **options: Any) -> Any:
        hosts = self.keeper.ensemble.hosts
        made = KazooClient(hosts if server is None else hosts.split(",")[server], timeout=timeout, **options)
        made.start(timeout=PATIENCE_S)
        self.clients.append(made)
        return made

    def close(self) -> None:
        for client in self.clients:
            client.stop()
            client.close()
        self.keeper.close()

    def session(self, client: Any) -> Any:
        return self.keeper.ensemble.sessions[client.client_id[0]]

    def watch(self, event: Any) -> None:
        self.seen.append(event)

    def events(self, count: int = 1) -> list[tuple[str, str]]:
        until(lambda: len(self.seen) >= count)
        return [(event.type, event.path) for event in self.seen]


def until(condition: Callable[[], object]) -> None:
    end = time.monotonic() + PATIENCE_S
    while not condition():
        assert time.monotonic() < end, "it did not come about"
        time.sleep(0.002)


@pytest.fixture
def desk() -> Iterator[Desk]:
    made = Desk()
    try:
        yield made
    finally:
        made.close()


POINTS: list[Callable[[Desk, Any], None]] = []


def point(test: Callable[[Desk, Any], None]) -> Callable[[Desk, Any], None]:
    POINTS.append(test)
    return test


# Nodes


@point
def create_answers_with_the_path(desk: Desk, zk: Any) -> None:
    assert zk.create("/a", b"1") == "/a"


@point
def create2_answers_with_the_stat_too(desk: Desk, zk: Any) -> None:
    path, stat = zk.create("/a", b"123", include_data=True)
    assert path == "/a" and stat.dataLength == 3 and stat.version == 0 and stat.czxid == stat.mzxid > 0


@point
def create_makes_the_parents_where_asked(desk: Desk, zk: Any) -> None:
    zk.create("/a/b/c", b"", makepath=True)
    assert zk.get_children("/a") == ["b"]


@point
def create_under_nothing_is_no_node(desk: Desk, zk: Any) -> None:
    with pytest.raises(NoNodeError):
        zk.create("/a/b")


@point
def create_twice_is_node_exists(desk: Desk, zk: Any) -> None:
    zk.create("/a")
    with pytest.raises(NodeExistsError):
        zk.create("/a")


@point
def sequential_names_count_on(desk: Desk, zk: Any) -> None:
    zk.create("/q")
    names = [zk.create("/q/n-", sequence=True) for _ in range(3)]
    assert names == [f"/q/n-{n:010d}" for n in range(3)]
    zk.delete(names[2])
    assert zk.create("/q/n-", sequence=True) > names[2]  # a number is not given again


@point
def ephemeral_nodes_name_their_owner(desk: Desk, zk: Any) -> None:
    zk.create("/e", ephemeral=True)
    assert zk.exists("/e").ephemeralOwner == zk.client_id[0]


@point
def ephemeral_nodes_have_no_children(desk: Desk, zk: Any) -> None:
    zk.create("/e", ephemeral=True)
    with pytest.raises(NoChildrenForEphemeralsError):
        zk.create("/e/x")


@point
def ephemeral_nodes_go_with_their_session(desk: Desk, zk: Any) -> None:
    other = desk.client()
    other.create("/e", ephemeral=True)
    assert zk.exists("/e")
    other.stop()
    until(lambda: not zk.exists("/e"))


@point
def ephemeral_sequential_nodes_are_both(desk: Desk, zk: Any) -> None:
    path = zk.create("/e-", ephemeral=True, sequence=True)
    assert path == "/e-0000000000" and zk.exists(path).ephemeralOwner


@point
def get_gives_data_and_stat(desk: Desk, zk: Any) -> None:
    zk.create("/a", b"one")
    data, stat = zk.get("/a")
    assert data == b"one" and (stat.version, stat.dataLength, stat.numChildren) == (0, 3, 0)


@point
def get_of_nothing_is_no_node(desk: Desk, zk: Any) -> None:
    with pytest.raises(NoNodeError):
        zk.get("/a")


@point
def exists_of_nothing_is_none(desk: Desk, zk: Any) -> None:
    assert zk.exists("/a") is None


@point
def set_counts_versions(desk: Desk, zk: Any) -> None:
    zk.create("/a", b"1")
    stat = zk.set("/a", b"22")
    assert (stat.version, stat.dataLength) == (1, 2) and stat.mzxid > stat.czxid and zk.get("/a")[0] == b"22"


@point
def set_with_another_version_is_refused(desk: Desk, zk: Any) -> None:
    zk.create("/a", b"1")
    zk.set("/a", b"2", version=0)
    with pytest.raises(BadVersionError):
        zk.set("/a", b"3", version=0)


@point
def delete_removes(desk: Desk, zk: Any) -> None:
    zk.create("/a")
    zk.delete("/a")
    assert zk.exists("/a") is None


@point
def delete_with_another_version_is_refused(desk: Desk, zk: Any) -> None:
    zk.create("/a")
    with pytest.raises(BadVersionError):
        zk.delete("/a", version=3)


@point
def delete_with_children_is_not_empty(desk: Desk, zk: Any) -> None:
    zk.create("/a/b", makepath=True)
    with pytest.raises(NotEmptyError):
        zk.delete("/a")
    zk.delete("/a", recursive=True)
    assert zk.exists("/a") is None


@point
def children_come_with_the_parents_stat(desk: Desk, zk: Any) -> None:
    zk.create("/a")
    for name in ("x", "y"):
        zk.create(f"/a/{name}")
    children, stat = zk.get_children("/a", include_data=True)
    assert sorted(children) == ["x", "y"] and (stat.numChildren, stat.cversion) == (2, 2)
    assert stat.pzxid == zk.exists("/a/y").czxid


@point
def pzxid_moves_with_a_childs_deletion(desk: Desk, zk: Any) -> None:
    zk.create("/a/x", makepath=True)
    before = zk.exists("/a").pzxid
    zk.delete("/a/x")
    assert zk.exists("/a").pzxid > before and zk.exists("/a").cversion == 2


@point
def a_megabyte_less_a_little_passes(desk: Desk, zk: Any) -> None:
    data = b"x" * 1_000_000
    zk.create("/big", data)
    assert zk.get("/big")[0] == data


@point
def more_than_a_message_holds_ends_the_connection(desk: Desk, zk: Any) -> None:
    with pytest.raises(ConnectionLoss):
        zk.create("/big", b"x" * 1_100_000)
    assert zk.retry(zk.exists, "/big") is None


@point
def ten_thousand_children_are_listed(desk: Desk, zk: Any) -> None:
    zk.create("/many")
    for start in range(0, 10_000, 1_000):
        transaction = zk.transaction()
        for n in range(start, start + 1_000):
            transaction.create(f"/many/{n:05d}")
        assert len(transaction.commit()) == 1_000
    assert len(zk.get_children("/many")) == 10_000


# Watches


@point
def a_data_watch_fires_once(desk: Desk, zk: Any) -> None:
    zk.create("/a")
    zk.get("/a", watch=desk.watch)
    zk.set("/a", b"1")
    zk.set("/a", b"2")
    zk.sync("/a")
    assert desk.events() == [(EventType.CHANGED, "/a")]


@point
def an_exists_watch_sees_the_creation(desk: Desk, zk: Any) -> None:
    zk.exists("/a", watch=desk.watch)
    zk.create("/a")
    assert desk.events() == [(EventType.CREATED, "/a")]


@point
def a_child_watch_sees_children_come_and_go(desk: Desk, zk: Any) -> None:
    zk.create("/a")
    zk.get_children("/a", watch=desk.watch)
    zk.create("/a/x")
    assert desk.events() == [(EventType.CHILD, "/a")]


@point
def a_deletion_fires_data_and_child_watches(desk: Desk, zk: Any) -> None:
    zk.create("/a")
    zk.get("/a", watch=desk.watch)
    zk.get_children("/a", watch=desk.watch)
    zk.delete("/a")
    assert set(desk.events(2)) == {(EventType.DELETED, "/a")}


@point
def a_watch_comes_before_the_data_that_it_tells_of(desk: Desk, zk: Any) -> None:
    other = desk.client()
    zk.create("/a", b"1")
    zk.get("/a", watch=desk.watch)
    other.set("/a", b"2")
    until(lambda: zk.get("/a")[0] == b"2")
    assert desk.events() == [(EventType.CHANGED, "/a")]


@point
def watches_are_gone_with_a_connection_and_that_is_told(desk: Desk, zk: Any) -> None:
    """kazoo sets none again by itself: it tells its user, who asks anew."""
    zk.create("/a")
    zk.get("/a", watch=desk.watch)
    session = desk.session(zk)
    desk.keeper.call(lambda: desk.keeper.ensemble.disrupt_session(session.id))
    assert desk.events()[0][0] == EventType.NONE
    zk.retry(zk.get, "/a", watch=desk.watch)
    zk.set("/a", b"1")
    assert desk.events(2)[1] == (EventType.CHANGED, "/a")


@point
def the_recipes_children_and_data_watch_work(desk: Desk, zk: Any) -> None:
    lists, datas = list[list[str]](), list[bytes | None]()
    zk.create("/a", b"0")
    ChildrenWatch(zk, "/a", lambda children: lists.append(sorted(children)))
    DataWatch(zk, "/a", lambda data, stat: datas.append(data))
    zk.create("/a/x")
    zk.set("/a", b"1")
    until(lambda: lists and lists[-1] == ["x"] and datas[-1] == b"1")


# Transactions


@point
def a_multi_does_all(desk: Desk, zk: Any) -> None:
    zk.create("/a", b"1")
    transaction = zk.transaction()
    transaction.check("/a", 0)
    transaction.create("/a/x", b"x")
    transaction.set_data("/a", b"2", version=0)
    transaction.delete("/a/x")
    results = transaction.commit()
    assert results[0] is True and results[1] == "/a/x" and results[2].version == 1 and results[3] is True


@point
def a_multi_that_fails_does_nothing(desk: Desk, zk: Any) -> None:
    transaction = zk.transaction()
    transaction.create("/a")
    transaction.check("/a", 7)
    transaction.create("/b")
    results = transaction.commit()
    assert [type(r) for r in results] == [RolledBackError, BadVersionError, RuntimeInconsistency]
    assert zk.exists("/a") is None and zk.exists("/b") is None


@point
def a_multi_is_one_change(desk: Desk, zk: Any) -> None:
    transaction = zk.transaction()
    transaction.create("/a")
    transaction.create("/b")
    transaction.commit()
    assert zk.exists("/a").czxid == zk.exists("/b").czxid


# Access


@point
def an_acl_is_kept_and_read(desk: Desk, zk: Any) -> None:
    acl = make_digest_acl("gate", "secret", all=True)
    zk.create("/a", acl=[acl])
    zk.add_auth("digest", "gate:secret")
    found, stat = zk.get_acls("/a")
    assert found == [acl] and stat.aversion == 0
    zk.set_acls("/a", OPEN_ACL_UNSAFE)
    assert zk.get_acls("/a")[1].aversion == 1


@point
def an_acl_keeps_others_out(desk: Desk, zk: Any) -> None:
    zk.create("/a", b"1", acl=[make_digest_acl("gate", "secret", all=True)])
    with pytest.raises(NoAuthError):
        zk.get("/a")
    zk.add_auth("digest", "gate:secret")
    assert zk.get("/a")[0] == b"1"


@point
def no_acl_at_all_is_invalid(desk: Desk, zk: Any) -> None:
    with pytest.raises(InvalidACLError):
        zk.create("/a", acl=[ACL(31, Id("nothing", "x"))])


# Sessions


@point
def a_timeout_is_negotiated(desk: Desk, zk: Any) -> None:
    short = desk.client(timeout=0.05)
    assert desk.session(short).timeout_ms == 200 and short._session_timeout in (200, 0.2, 50, 0.05)


@point
def pings_keep_an_idle_session(desk: Desk, zk: Any) -> None:
    short = desk.client(timeout=0.4)
    short.create("/e", ephemeral=True)
    session = short.client_id[0]
    time.sleep(1.2)
    assert short.client_id[0] == session and zk.exists("/e")


@point
def a_reconnect_keeps_session_and_ephemerals(desk: Desk, zk: Any) -> None:
    zk.create("/e", ephemeral=True)
    session = desk.session(zk)
    states = list[str]()
    zk.add_listener(states.append)
    desk.keeper.call(lambda: desk.keeper.ensemble.disrupt_session(session.id))
    until(lambda: "CONNECTED" in states)
    assert zk.client_id[0] == session.id and zk.exists("/e").ephemeralOwner == session.id
    assert states[:2] == ["SUSPENDED", "CONNECTED"]


@point
def an_expired_session_is_lost_and_a_new_one_begins(desk: Desk, zk: Any) -> None:
    mine = desk.client()
    mine.create("/e", ephemeral=True)
    first, states = mine.client_id[0], list[str]()
    mine.add_listener(states.append)
    desk.keeper.call(lambda: desk.keeper.ensemble.expire(first))
    until(lambda: not zk.exists("/e"))
    until(lambda: states and states[-1] == "CONNECTED")
    assert "LOST" in states and mine.client_id[0] != first


@point
def a_silent_client_expires(desk: Desk, zk: Any) -> None:
    mine = desk.client(timeout=0.4)
    mine.create("/e", ephemeral=True)
    session = desk.session(mine)
    desk.keeper.call(lambda: desk.keeper.ensemble.disrupt_session(session.id, "in"))
    until(lambda: session.closed)
    until(lambda: not zk.exists("/e"))


@point
def a_wrong_password_is_a_session_that_is_not_to_be_had(desk: Desk, zk: Any) -> None:
    states = list[str]()
    thief = KazooClient(desk.keeper.ensemble.hosts, client_id=(zk.client_id[0], b"0" * 16))
    thief.add_listener(states.append)
    thief.start(timeout=PATIENCE_S)
    desk.clients.append(thief)
    assert thief.client_id[0] != zk.client_id[0] and desk.session(zk).connection is not None


@point
def a_session_that_has_moved_is_not_served_by_its_old_server(desk: Desk, zk: Any) -> None:
    lazy = desk.client(server=0)
    mover = KazooClient(desk.keeper.ensemble.hosts.split(",")[1], client_id=lazy.client_id)
    desk.clients.append(mover)
    mover.start(timeout=PATIENCE_S)
    assert mover.client_id[0] == lazy.client_id[0] and mover.exists("/") is not None
    with pytest.raises((SessionMovedError, ConnectionLoss, SessionExpiredError)):
        lazy.exists("/")


@point
def a_write_whose_answer_is_lost_has_been_done(desk: Desk, zk: Any) -> None:
    session = desk.session(zk)
    session.lose_next_reply = True
    with pytest.raises(ConnectionLoss):
        zk.create("/a", b"1")
    assert zk.retry(zk.get, "/a")[0] == b"1"


# The ensemble


@point
def followers_lag_and_sync_catches_up(desk: Desk, zk: Any) -> None:
    far = desk.client(server=1)
    desk.keeper.ensemble.servers[1].lag_s = 0.5
    near = desk.client(server=0)
    near.create("/a")
    assert far.exists("/a") is None
    far.sync("/a")
    assert far.exists("/a") is not None


@point
def a_client_sees_its_own_writes_through_a_follower_that_lags(desk: Desk, zk: Any) -> None:
    far = desk.client(server=1)
    desk.keeper.ensemble.servers[1].lag_s = 0.2
    far.create("/a")
    assert far.exists("/a") is not None


@point
def without_a_leader_nothing_is_served_until_one_is_elected(desk: Desk, zk: Any) -> None:
    states = list[KeeperState]()
    zk.add_listener(states.append)
    session = zk.client_id[0]
    zk.create("/e", ephemeral=True)
    before = zk.last_zxid
    desk.keeper.call(lambda: desk.keeper.ensemble.lose_leader(0.3))
    until(lambda: "SUSPENDED" in states and "CONNECTED" in states)
    assert zk.client_id[0] == session and zk.exists("/e")
    zk.create("/after")
    assert zk.last_zxid >> 32 == (before >> 32) + 1  # a new epoch


@point
def a_server_without_a_leader_reads_only(desk: Desk, zk: Any) -> None:
    zk.create("/a", b"1")
    desk.keeper.ensemble.read_only = True
    desk.keeper.call(lambda: desk.keeper.ensemble.lose_leader(60.0))
    reader = KazooClient(desk.keeper.ensemble.hosts, read_only=True)
    desk.clients.append(reader)
    reader.start(timeout=PATIENCE_S)
    assert reader.client_state == KeeperState.CONNECTED_RO and reader.get("/a")[0] == b"1"
    with pytest.raises(NotReadOnlyCallError):
        reader.create("/b")


@point
def the_whole_ensemble_goes_and_comes_back(desk: Desk, zk: Any) -> None:
    states = list[str]()
    zk.add_listener(states.append)
    zk.create("/a")
    desk.keeper.call(desk.keeper.ensemble.stop)
    until(lambda: "SUSPENDED" in states)
    desk.keeper.call(desk.keeper.ensemble.restart)
    until(lambda: states[-1] == "CONNECTED")
    assert zk.exists("/a")


@point
def held_notifications_come_late_and_others_do_not_wait(desk: Desk, zk: Any) -> None:
    late, seen = desk.client(), list[str]()
    zk.create("/a")
    late.get("/a", watch=lambda event: seen.append("late"))
    zk.get("/a", watch=lambda event: seen.append("prompt"))
    desk.session(late).notification_delay_s = 0.15
    zk.set("/a", b"1")
    until(lambda: len(seen) == 2)
    assert seen == ["prompt", "late"]


# Recipes that lean on all of it


@point
def the_recipe_lock_excludes(desk: Desk, zk: Any) -> None:
    other, order = desk.client(), list[str]()
    first, second = Lock(zk, "/lock", "first"), Lock(other, "/lock", "second")
    first.acquire()

    def wait() -> None:
        second.acquire()
        order.append("second")

    waiter = threading.Thread(target=wait)
    waiter.start()
    until(lambda: len(zk.get_children("/lock")) == 2)
    order.append("first")
    first.release()
    waiter.join(PATIENCE_S)
    assert order == ["first", "second"]


@point
def the_recipe_election_moves_on_when_the_leader_expires(desk: Desk, zk: Any) -> None:
    other, led = desk.client(), list[str]()
    stay = threading.Event()
    one = Election(zk, "/elect", "one")
    two = Election(other, "/elect", "two")

    def lead(name: str) -> None:
        led.append(name)
        stay.wait(PATIENCE_S)

    def run(election: Any, name: str) -> None:
        with suppress(Exception):  # its session ends while it leads
            election.run(lead, name)

    threads = [threading.Thread(target=run, args=(one, "one"), daemon=True)]
    threads[0].start()
    until(lambda: led == ["one"])
    threads.append(threading.Thread(target=run, args=(two, "two"), daemon=True))
    threads[1].start()
    until(lambda: len(zk.get_children("/elect")) == 2)
    desk.keeper.call(lambda: desk.keeper.ensemble.expire(zk.client_id[0]))
    until(lambda: led == ["one", "two"])
    stay.set()
    for thread in threads:
        thread.join(PATIENCE_S)


@pytest.mark.parametrize("run", POINTS, ids=[p.__name__ for p in POINTS])
def test_kazoo(desk: Desk, run: Callable[[Desk, Any], None]) -> None:
    run(desk, desk.client())


def test_the_list_has_at_least_forty_points() -> None:
    assert len(POINTS) >= 40
