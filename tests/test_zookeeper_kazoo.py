"""An unmodified kazoo client against the emulated ZooKeeper: cases that any ZooKeeper service must pass."""

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

WAIT_TIMEOUT_S = 15.0


class KazooHarness:
    """An ensemble, its clients, which are stopped at the end, and the watch events that they received."""

    def __init__(self) -> None:
        self.service = ThreadedEnsemble()
        self.clients: list[Any] = []
        self.events_received: list[Any] = []

    def start_client(self, server: int | None = None, timeout: float = 10.0, **options: Any) -> Any:
        hosts = self.service.ensemble.hosts
        client = KazooClient(hosts if server is None else hosts.split(",")[server], timeout=timeout, **options)
        client.start(timeout=WAIT_TIMEOUT_S)
        self.clients.append(client)
        return client

    def close(self) -> None:
        for client in self.clients:
            client.stop()
            client.close()
        self.service.close()

    def session_of(self, client: Any) -> Any:
        return self.service.ensemble.sessions[client.client_id[0]]

    def record_event(self, event: Any) -> None:
        self.events_received.append(event)

    def wait_for_events(self, count: int = 1) -> list[tuple[str, str]]:
        until(lambda: len(self.events_received) >= count)
        return [(event.type, event.path) for event in self.events_received]


def until(condition: Callable[[], object]) -> None:
    deadline_s = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline_s, "the condition did not become true in time"
        time.sleep(0.002)


@pytest.fixture
def harness() -> Iterator[KazooHarness]:
    running = KazooHarness()
    try:
        yield running
    finally:
        running.close()


CASES: list[Callable[[KazooHarness, Any], None]] = []


def case(test: Callable[[KazooHarness, Any], None]) -> Callable[[KazooHarness, Any], None]:
    CASES.append(test)
    return test


# Nodes


@case
def create_returns_the_path(harness: KazooHarness, zk: Any) -> None:
    assert zk.create("/a", b"1") == "/a"


@case
def create2_returns_path_and_stat(harness: KazooHarness, zk: Any) -> None:
    path, stat = zk.create("/a", b"123", include_data=True)
    assert path == "/a" and stat.dataLength == 3 and stat.version == 0 and stat.czxid == stat.mzxid > 0


@case
def create_with_makepath_creates_the_parents(harness: KazooHarness, zk: Any) -> None:
    zk.create("/a/b/c", b"", makepath=True)
    assert zk.get_children("/a") == ["b"]


@case
def create_without_a_parent_is_no_node(harness: KazooHarness, zk: Any) -> None:
    with pytest.raises(NoNodeError):
        zk.create("/a/b")


@case
def create_of_an_existing_node_is_node_exists(harness: KazooHarness, zk: Any) -> None:
    zk.create("/a")
    with pytest.raises(NodeExistsError):
        zk.create("/a")


@case
def sequence_numbers_increase_and_are_not_reused(harness: KazooHarness, zk: Any) -> None:
    zk.create("/q")
    names = [zk.create("/q/n-", sequence=True) for _ in range(3)]
    assert names == [f"/q/n-{n:010d}" for n in range(3)]
    zk.delete(names[2])
    assert zk.create("/q/n-", sequence=True) > names[2]  # numbers are not reused


@case
def ephemeral_node_has_its_session_as_owner(harness: KazooHarness, zk: Any) -> None:
    zk.create("/e", ephemeral=True)
    assert zk.exists("/e").ephemeralOwner == zk.client_id[0]


@case
def ephemeral_node_cannot_have_children(harness: KazooHarness, zk: Any) -> None:
    zk.create("/e", ephemeral=True)
    with pytest.raises(NoChildrenForEphemeralsError):
        zk.create("/e/x")


@case
def ephemeral_node_is_deleted_with_its_session(harness: KazooHarness, zk: Any) -> None:
    other = harness.start_client()
    other.create("/e", ephemeral=True)
    assert zk.exists("/e")
    other.stop()
    until(lambda: not zk.exists("/e"))


@case
def ephemeral_sequential_node_has_number_and_owner(harness: KazooHarness, zk: Any) -> None:
    path = zk.create("/e-", ephemeral=True, sequence=True)
    assert path == "/e-0000000000" and zk.exists(path).ephemeralOwner


@case
def get_returns_data_and_stat(harness: KazooHarness, zk: Any) -> None:
    zk.create("/a", b"one")
    data, stat = zk.get("/a")
    assert data == b"one" and (stat.version, stat.dataLength, stat.numChildren) == (0, 3, 0)


@case
def get_of_a_missing_node_is_no_node(harness: KazooHarness, zk: Any) -> None:
    with pytest.raises(NoNodeError):
        zk.get("/a")


@case
def exists_of_a_missing_node_is_none(harness: KazooHarness, zk: Any) -> None:
    assert zk.exists("/a") is None


@case
def set_increments_the_version(harness: KazooHarness, zk: Any) -> None:
    zk.create("/a", b"1")
    stat = zk.set("/a", b"22")
    assert (stat.version, stat.dataLength) == (1, 2) and stat.mzxid > stat.czxid and zk.get("/a")[0] == b"22"


@case
def set_with_a_wrong_version_is_bad_version(harness: KazooHarness, zk: Any) -> None:
    zk.create("/a", b"1")
    zk.set("/a", b"2", version=0)
    with pytest.raises(BadVersionError):
        zk.set("/a", b"3", version=0)


@case
def delete_removes_the_node(harness: KazooHarness, zk: Any) -> None:
    zk.create("/a")
    zk.delete("/a")
    assert zk.exists("/a") is None


@case
def delete_with_a_wrong_version_is_bad_version(harness: KazooHarness, zk: Any) -> None:
    zk.create("/a")
    with pytest.raises(BadVersionError):
        zk.delete("/a", version=3)


@case
def delete_of_a_node_with_children_is_not_empty(harness: KazooHarness, zk: Any) -> None:
    zk.create("/a/b", makepath=True)
    with pytest.raises(NotEmptyError):
        zk.delete("/a")
    zk.delete("/a", recursive=True)
    assert zk.exists("/a") is None


@case
def get_children_returns_the_parents_stat(harness: KazooHarness, zk: Any) -> None:
    zk.create("/a")
    for name in ("x", "y"):
        zk.create(f"/a/{name}")
    children, stat = zk.get_children("/a", include_data=True)
    assert sorted(children) == ["x", "y"] and (stat.numChildren, stat.cversion) == (2, 2)
    assert stat.pzxid == zk.exists("/a/y").czxid


@case
def deletion_of_a_child_increases_pzxid(harness: KazooHarness, zk: Any) -> None:
    zk.create("/a/x", makepath=True)
    before = zk.exists("/a").pzxid
    zk.delete("/a/x")
    assert zk.exists("/a").pzxid > before and zk.exists("/a").cversion == 2


@case
def data_just_below_the_message_limit_is_accepted(harness: KazooHarness, zk: Any) -> None:
    data = b"x" * 1_000_000
    zk.create("/big", data)
    assert zk.get("/big")[0] == data


@case
def data_above_the_message_limit_closes_the_connection(harness: KazooHarness, zk: Any) -> None:
    with pytest.raises(ConnectionLoss):
        zk.create("/big", b"x" * 1_100_000)
    assert zk.retry(zk.exists, "/big") is None


@case
def ten_thousand_children_are_listed(harness: KazooHarness, zk: Any) -> None:
    zk.create("/many")
    for start in range(0, 10_000, 1_000):
        transaction = zk.transaction()
        for n in range(start, start + 1_000):
            transaction.create(f"/many/{n:05d}")
        assert len(transaction.commit()) == 1_000
    assert len(zk.get_children("/many")) == 10_000


# Watches


@case
def data_watch_triggers_once(harness: KazooHarness, zk: Any) -> None:
    zk.create("/a")
    zk.get("/a", watch=harness.record_event)
    zk.set("/a", b"1")
    zk.set("/a", b"2")
    zk.sync("/a")
    assert harness.wait_for_events() == [(EventType.CHANGED, "/a")]


@case
def exists_watch_triggers_on_creation(harness: KazooHarness, zk: Any) -> None:
    zk.exists("/a", watch=harness.record_event)
    zk.create("/a")
    assert harness.wait_for_events() == [(EventType.CREATED, "/a")]


@case
def child_watch_triggers_on_a_new_child(harness: KazooHarness, zk: Any) -> None:
    zk.create("/a")
    zk.get_children("/a", watch=harness.record_event)
    zk.create("/a/x")
    assert harness.wait_for_events() == [(EventType.CHILD, "/a")]


@case
def deletion_triggers_data_and_child_watches(harness: KazooHarness, zk: Any) -> None:
    zk.create("/a")
    zk.get("/a", watch=harness.record_event)
    zk.get_children("/a", watch=harness.record_event)
    zk.delete("/a")
    assert set(harness.wait_for_events(2)) == {(EventType.DELETED, "/a")}


@case
def watch_event_arrives_before_the_new_data_is_read(harness: KazooHarness, zk: Any) -> None:
    other = harness.start_client()
    zk.create("/a", b"1")
    zk.get("/a", watch=harness.record_event)
    other.set("/a", b"2")
    until(lambda: zk.get("/a")[0] == b"2")
    assert harness.wait_for_events() == [(EventType.CHANGED, "/a")]


@case
def lost_connection_removes_watches_and_notifies_the_watcher(harness: KazooHarness, zk: Any) -> None:
    """kazoo sets no watch again by itself: it notifies the watcher, which has to set a new watch."""
    zk.create("/a")
    zk.get("/a", watch=harness.record_event)
    session = harness.session_of(zk)
    harness.service.call(lambda: harness.service.ensemble.disrupt_session(session.id))
    assert harness.wait_for_events()[0][0] == EventType.NONE
    zk.retry(zk.get, "/a", watch=harness.record_event)
    zk.set("/a", b"1")
    assert harness.wait_for_events(2)[1] == (EventType.CHANGED, "/a")


@case
def children_watch_and_data_watch_recipes_follow_changes(harness: KazooHarness, zk: Any) -> None:
    lists_seen, data_seen = list[list[str]](), list[bytes | None]()
    zk.create("/a", b"0")
    ChildrenWatch(zk, "/a", lambda children: lists_seen.append(sorted(children)))
    DataWatch(zk, "/a", lambda data, stat: data_seen.append(data))
    zk.create("/a/x")
    zk.set("/a", b"1")
    until(lambda: lists_seen and lists_seen[-1] == ["x"] and data_seen[-1] == b"1")


# Transactions


@case
def multi_applies_all_operations(harness: KazooHarness, zk: Any) -> None:
    zk.create("/a", b"1")
    transaction = zk.transaction()
    transaction.check("/a", 0)
    transaction.create("/a/x", b"x")
    transaction.set_data("/a", b"2", version=0)
    transaction.delete("/a/x")
    results = transaction.commit()
    assert results[0] is True and results[1] == "/a/x" and results[2].version == 1 and results[3] is True


@case
def failed_multi_applies_nothing(harness: KazooHarness, zk: Any) -> None:
    transaction = zk.transaction()
    transaction.create("/a")
    transaction.check("/a", 7)
    transaction.create("/b")
    results = transaction.commit()
    assert [type(r) for r in results] == [RolledBackError, BadVersionError, RuntimeInconsistency]
    assert zk.exists("/a") is None and zk.exists("/b") is None


@case
def multi_has_one_zxid(harness: KazooHarness, zk: Any) -> None:
    transaction = zk.transaction()
    transaction.create("/a")
    transaction.create("/b")
    transaction.commit()
    assert zk.exists("/a").czxid == zk.exists("/b").czxid


# Access


@case
def acl_is_stored_and_returned(harness: KazooHarness, zk: Any) -> None:
    acl = make_digest_acl("gate", "secret", all=True)
    zk.create("/a", acl=[acl])
    zk.add_auth("digest", "gate:secret")
    acls, stat = zk.get_acls("/a")
    assert acls == [acl] and stat.aversion == 0
    zk.set_acls("/a", OPEN_ACL_UNSAFE)
    assert zk.get_acls("/a")[1].aversion == 1


@case
def acl_denies_access_without_authentication(harness: KazooHarness, zk: Any) -> None:
    zk.create("/a", b"1", acl=[make_digest_acl("gate", "secret", all=True)])
    with pytest.raises(NoAuthError):
        zk.get("/a")
    zk.add_auth("digest", "gate:secret")
    assert zk.get("/a")[0] == b"1"


@case
def acl_with_an_unknown_scheme_is_invalid(harness: KazooHarness, zk: Any) -> None:
    with pytest.raises(InvalidACLError):
        zk.create("/a", acl=[ACL(31, Id("nothing", "x"))])


# Sessions


@case
def session_timeout_is_raised_to_the_minimum(harness: KazooHarness, zk: Any) -> None:
    short = harness.start_client(timeout=0.05)
    assert harness.session_of(short).timeout_ms == 200 and short._session_timeout in (200, 0.2, 50, 0.05)


@case
def pings_keep_an_idle_session_open(harness: KazooHarness, zk: Any) -> None:
    short = harness.start_client(timeout=0.4)
    short.create("/e", ephemeral=True)
    session = short.client_id[0]
    time.sleep(1.2)
    assert short.client_id[0] == session and zk.exists("/e")


@case
def reconnect_keeps_session_and_ephemerals(harness: KazooHarness, zk: Any) -> None:
    zk.create("/e", ephemeral=True)
    session = harness.session_of(zk)
    states = list[str]()
    zk.add_listener(states.append)
    harness.service.call(lambda: harness.service.ensemble.disrupt_session(session.id))
    until(lambda: "CONNECTED" in states)
    assert zk.client_id[0] == session.id and zk.exists("/e").ephemeralOwner == session.id
    assert states[:2] == ["SUSPENDED", "CONNECTED"]


@case
def expired_session_is_replaced_by_a_new_one(harness: KazooHarness, zk: Any) -> None:
    client = harness.start_client()
    client.create("/e", ephemeral=True)
    first, states = client.client_id[0], list[str]()
    client.add_listener(states.append)
    harness.service.call(lambda: harness.service.ensemble.expire(first))
    until(lambda: not zk.exists("/e"))
    until(lambda: states and states[-1] == "CONNECTED")
    assert "LOST" in states and client.client_id[0] != first


@case
def session_of_a_silent_client_expires(harness: KazooHarness, zk: Any) -> None:
    client = harness.start_client(timeout=0.4)
    client.create("/e", ephemeral=True)
    session = harness.session_of(client)
    harness.service.call(lambda: harness.service.ensemble.disrupt_session(session.id, "in"))
    until(lambda: session.is_closed)
    until(lambda: not zk.exists("/e"))


@case
def wrong_password_does_not_resume_the_session(harness: KazooHarness, zk: Any) -> None:
    states = list[str]()
    intruder = KazooClient(harness.service.ensemble.hosts, client_id=(zk.client_id[0], b"0" * 16))
    intruder.add_listener(states.append)
    intruder.start(timeout=WAIT_TIMEOUT_S)
    harness.clients.append(intruder)
    assert intruder.client_id[0] != zk.client_id[0] and harness.session_of(zk).connection is not None


@case
def moved_session_is_not_served_on_its_old_connection(harness: KazooHarness, zk: Any) -> None:
    old_client = harness.start_client(server=0)
    new_client = KazooClient(harness.service.ensemble.hosts.split(",")[1], client_id=old_client.client_id)
    harness.clients.append(new_client)
    new_client.start(timeout=WAIT_TIMEOUT_S)
    assert new_client.client_id[0] == old_client.client_id[0] and new_client.exists("/") is not None
    with pytest.raises((SessionMovedError, ConnectionLoss, SessionExpiredError)):
        old_client.exists("/")


@case
def write_whose_reply_is_lost_has_been_applied(harness: KazooHarness, zk: Any) -> None:
    session = harness.session_of(zk)
    session.lose_next_reply = True
    with pytest.raises(ConnectionLoss):
        zk.create("/a", b"1")
    assert zk.retry(zk.get, "/a")[0] == b"1"


# The ensemble


@case
def sync_makes_a_lagging_follower_catch_up(harness: KazooHarness, zk: Any) -> None:
    follower_client = harness.start_client(server=1)
    harness.service.ensemble.servers[1].lag_s = 0.5
    leader_client = harness.start_client(server=0)
    leader_client.create("/a")
    assert follower_client.exists("/a") is None
    follower_client.sync("/a")
    assert follower_client.exists("/a") is not None


@case
def client_of_a_lagging_follower_sees_its_own_writes(harness: KazooHarness, zk: Any) -> None:
    follower_client = harness.start_client(server=1)
    harness.service.ensemble.servers[1].lag_s = 0.2
    follower_client.create("/a")
    assert follower_client.exists("/a") is not None


@case
def nothing_is_served_until_a_leader_is_elected(harness: KazooHarness, zk: Any) -> None:
    states = list[KeeperState]()
    zk.add_listener(states.append)
    session = zk.client_id[0]
    zk.create("/e", ephemeral=True)
    before = zk.last_zxid
    harness.service.call(lambda: harness.service.ensemble.lose_leader(0.3))
    until(lambda: "SUSPENDED" in states and "CONNECTED" in states)
    assert zk.client_id[0] == session and zk.exists("/e")
    zk.create("/after")
    assert zk.last_zxid >> 32 == (before >> 32) + 1  # a new epoch


@case
def read_only_server_without_a_leader_serves_reads(harness: KazooHarness, zk: Any) -> None:
    zk.create("/a", b"1")
    harness.service.ensemble.serves_read_only = True
    harness.service.call(lambda: harness.service.ensemble.lose_leader(60.0))
    reader = KazooClient(harness.service.ensemble.hosts, read_only=True)
    harness.clients.append(reader)
    reader.start(timeout=WAIT_TIMEOUT_S)
    assert reader.client_state == KeeperState.CONNECTED_RO and reader.get("/a")[0] == b"1"
    with pytest.raises(NotReadOnlyCallError):
        reader.create("/b")


@case
def clients_reconnect_after_a_restart_of_the_ensemble(harness: KazooHarness, zk: Any) -> None:
    states = list[str]()
    zk.add_listener(states.append)
    zk.create("/a")
    harness.service.call(harness.service.ensemble.stop)
    until(lambda: "SUSPENDED" in states)
    harness.service.call(harness.service.ensemble.restart)
    until(lambda: states[-1] == "CONNECTED")
    assert zk.exists("/a")


@case
def delayed_notifications_do_not_delay_others(harness: KazooHarness, zk: Any) -> None:
    delayed_client, seen = harness.start_client(), list[str]()
    zk.create("/a")
    delayed_client.get("/a", watch=lambda event: seen.append("late"))
    zk.get("/a", watch=lambda event: seen.append("prompt"))
    harness.session_of(delayed_client).notification_delay_s = 0.15
    zk.set("/a", b"1")
    until(lambda: len(seen) == 2)
    assert seen == ["prompt", "late"]


# Recipes


@case
def lock_recipe_excludes_a_second_holder(harness: KazooHarness, zk: Any) -> None:
    other, order = harness.start_client(), list[str]()
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
    waiter.join(WAIT_TIMEOUT_S)
    assert order == ["first", "second"]


@case
def election_recipe_elects_another_leader_after_expiry(harness: KazooHarness, zk: Any) -> None:
    other, leaders = harness.start_client(), list[str]()
    may_stop_leading = threading.Event()
    first_election = Election(zk, "/elect", "one")
    second_election = Election(other, "/elect", "two")

    def lead(name: str) -> None:
        leaders.append(name)
        may_stop_leading.wait(WAIT_TIMEOUT_S)

    def run(election: Any, name: str) -> None:
        with suppress(Exception):  # the session ends while this client leads
            election.run(lead, name)

    threads = [threading.Thread(target=run, args=(first_election, "one"), daemon=True)]
    threads[0].start()
    until(lambda: leaders == ["one"])
    threads.append(threading.Thread(target=run, args=(second_election, "two"), daemon=True))
    threads[1].start()
    until(lambda: len(zk.get_children("/elect")) == 2)
    harness.service.call(lambda: harness.service.ensemble.expire(zk.client_id[0]))
    until(lambda: leaders == ["one", "two"])
    may_stop_leading.set()
    for thread in threads:
        thread.join(WAIT_TIMEOUT_S)


@pytest.mark.parametrize("run", CASES, ids=[p.__name__ for p in CASES])
def test_kazoo(harness: KazooHarness, run: Callable[[KazooHarness, Any], None]) -> None:
    run(harness, harness.start_client())


def test_at_least_forty_cases_exist() -> None:
    assert len(CASES) >= 40
