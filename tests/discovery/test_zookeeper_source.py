"""Tests of ephemeral membership against a ZooKeeper stand-in: expired sessions, outages, invalid data."""

from __future__ import annotations

import asyncio
import json
import time
from contextlib import asynccontextmanager
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from cloverkeel.assembly import assemble
from cloverkeel.core.config import stable_id
from cloverkeel.core.config import parse as parse_config
from cloverkeel.core.options import ZooKeeperOptions, Options
from cloverkeel.discovery.backend import Backend, BackendStatus
from cloverkeel.discovery.source_merge import Source
from cloverkeel.discovery.merged_source import MergedEndpointSource
from cloverkeel.discovery.node_codec import encode_backend

from standins.parties.zookeeper.jute import Acl, Create, Delete, Multi, SetAcl, SetData

from tests.discovery.coordination import FOLDER, Service
from tests.sockets import configuration, on_loop, scripted_server, wait_until


def make_config(
    known: list[dict[str, Any]] | None = None, mode: str = "pushed", discovery: str = "127.0.0.1:9"
) -> Any:
    raw = configuration(discovery=discovery)
    raw["settings"]["membershipMode"] = mode
    raw["known"] = {"index": 1, "snapshot": True, "endpoints": known or []}
    return parse_config(raw)


@asynccontextmanager
async def running_gateway(service: Service, config: Any = None, **options: Any) -> Any:
    zookeeper_options = ZooKeeperOptions(
        service.ensemble.hosts, session_ms=1_000, spread_ms=0, precedence=("ephemeral",)
    )
    program = assemble(config or make_config(), Options(replace(zookeeper_options, **options)))
    assert isinstance(program.discovery, MergedEndpointSource)
    program.gateway.start()
    try:
        yield program
    finally:
        program.close()


def listed_servers(program: Any) -> dict[str, Any]:
    """Return the servers in the balancer, to which it may send, by backend name."""
    names = {stable_id(name, 4): name for name in program.discovery.merge.backend_by_name}
    servers = program.gateway.balancer.endpoints.by_server
    return {names.get(id_, "?"): server for id_, server in servers.items()}


async def until_listed(program: Any, *names: str) -> None:
    await wait_until(lambda: sorted(listed_servers(program)) == sorted(names))
    assert sorted(host.name for host in program.pool.hosts.values()) == sorted(names)


@on_loop
async def test_backends_follow_creation_change_and_expiry_of_their_nodes() -> None:
    service = Service()
    service.register("s-0", "127.0.0.1:9001", zone="b", kind="m", group=2, weight=0.5, since_ms=1_000)
    async with running_gateway(service) as program:
        await until_listed(program, "s-0")
        entry = listed_servers(program)["s-0"].entry
        assert (entry.zone, entry.kind, entry.group, entry.weight, entry.started_us) == (1, 0, 2, 0.5, 1_000_000)
        service.register("s-1", "127.0.0.1:9002")
        await until_listed(program, "s-0", "s-1")
        data = encode_backend(Backend("s-1", ("127.0.0.1", 9002), BackendStatus.DRAINING))
        service.commit_request(SetData(f"{FOLDER}/s-1", data))
        await wait_until(lambda: listed_servers(program)["s-1"].entry.status.value == "draining")
        service.expire("s-0")
        await until_listed(program, "s-1")
    service.close()


@on_loop
async def test_a_backend_that_registers_again_with_the_same_start_keeps_its_breaker() -> None:
    service = Service()
    service.register("s-0", "127.0.0.1:9001", since_ms=1_000)
    service.register("s-1", "127.0.0.1:9002", since_ms=1_000)
    async with running_gateway(service) as program:
        await until_listed(program, "s-0", "s-1")
        first = listed_servers(program)["s-0"]
        first.breaker.reopen(0)
        service.expire("s-0")
        await until_listed(program, "s-1")
        service.register("s-0", "127.0.0.1:9001", since_ms=1_000)
        await until_listed(program, "s-0", "s-1")
        assert listed_servers(program)["s-0"] is first and first.slow_start.ends_at_us <= 1_000_000
        service.expire("s-0")
        await until_listed(program, "s-1")
        service.register("s-0", "127.0.0.1:9001", since_ms=2_000)  # a new process
        await until_listed(program, "s-0", "s-1")
        assert listed_servers(program)["s-0"] is not first
    service.close()


@on_loop
async def test_a_node_replaced_between_two_reads_gives_the_new_registration() -> None:
    service = Service()
    service.register("s-0", "127.0.0.1:9001", since_ms=1)
    async with running_gateway(service) as program:
        await until_listed(program, "s-0")
        data = encode_backend(Backend("s-0", ("127.0.0.1", 9009), since_ms=2))
        # Replaced in one transaction, so the list of names is unchanged.
        service.commit_request(Multi((Delete(f"{FOLDER}/s-0"), Create(f"{FOLDER}/s-0", data))))
        await wait_until(lambda: listed_servers(program)["s-0"].entry.started_us == 2_000)
        assert program.discovery.merge.backend_by_name["s-0"].address == ("127.0.0.1", 9009)
        again = encode_backend(Backend("s-9", ("127.0.0.1", 9009), since_ms=3))  # same address, another name
        service.commit_request(Multi((Delete(f"{FOLDER}/s-0"), Create(f"{FOLDER}/s-9", again))))
        await until_listed(program, "s-9")
    service.close()


@on_loop
async def test_a_deletion_is_reported_even_if_the_list_cannot_be_read_afterwards() -> None:
    """The connection fails after the watch event; requests to the backend must stop within 1 s of the event."""
    service = Service()
    service.register("s-0", "127.0.0.1:9001")
    service.register("s-1", "127.0.0.1:9002")
    async with running_gateway(service, session_ms=20_000) as program:
        await until_listed(program, "s-0", "s-1")
        for session in service.gateway_sessions():
            session.silenced_direction = "in"
        started_s = time.monotonic()
        service.expire("s-0")
        await until_listed(program, "s-1")
        assert time.monotonic() - started_s < 0.8
        for session in service.gateway_sessions():
            service.call(partial(service.ensemble.disrupt_session, session.id, ""))
        service.register("s-0", "127.0.0.1:9001")  # must reappear with the next list
        for session in service.gateway_sessions():
            service.call(partial(service.ensemble.disrupt_session, session.id))
        await until_listed(program, "s-0", "s-1")
    service.close()


@on_loop
async def test_a_change_is_read_even_if_its_wake_up_was_lost() -> None:
    service = Service()
    service.register("s-0", "127.0.0.1:9001")
    async with running_gateway(service) as program:
        await until_listed(program, "s-0")
        watcher = program.discovery.zookeeper
        watcher.wake_event.set = lambda: None  # as if every set() came just before the reader's clear()
        service.register("s-1", "127.0.0.1:9002")
        await until_listed(program, "s-0", "s-1")
        service.expire("s-0")
        await until_listed(program, "s-1")
        del watcher.wake_event.set
    service.close()


@on_loop
async def test_catch_up_completes_after_all_changes_sent_before_are_reported() -> None:
    service = Service()
    for n in range(20):
        service.register(f"s-{n}", f"127.0.0.1:90{n:02d}")
    async with running_gateway(service) as program:
        await until_listed(program, *(f"s-{n}" for n in range(20)))
        for n in range(19):
            service.expire(f"s-{n}")
        names_after_catch_up = list[list[str]]()
        program.discovery.catch_up(
            1_000_000, lambda: names_after_catch_up.append(sorted(program.discovery.merge.backend_by_name))
        )
        await wait_until(lambda: names_after_catch_up)
        assert names_after_catch_up == [["s-19"]]
    service.close()


@on_loop
async def test_an_outage_of_the_service_keeps_the_list_and_a_removed_backend_stays_removed() -> None:
    service = Service()
    for n in range(3):
        service.register(f"s-{n}", f"127.0.0.1:900{n + 1}")
    async with running_gateway(service) as program:
        await until_listed(program, "s-0", "s-1", "s-2")
        service.expire("s-0")
        await until_listed(program, "s-1", "s-2")
        service.call(service.ensemble.stop)
        await wait_until(lambda: program.discovery.merge.counters.suspended)
        await asyncio.sleep(0.1)
        assert sorted(listed_servers(program)) == ["s-1", "s-2"]
        # lost_changes=0 restores the whole log: s-0 has expired and stays removed.
        service.call(lambda: service.ensemble.restart(lost_changes=0))
        service.register("s-3", "127.0.0.1:9004")
        await until_listed(program, "s-1", "s-2", "s-3")
    service.close()


@on_loop
async def test_the_list_is_kept_after_the_gateways_own_session_expired() -> None:
    service = Service()
    service.register("s-0", "127.0.0.1:9001")
    async with running_gateway(service) as program:
        await until_listed(program, "s-0")
        (gateway_session,) = service.gateway_sessions()
        service.call(lambda: service.ensemble.expire(gateway_session.id))
        await wait_until(lambda: program.discovery.merge.counters.lost)
        assert sorted(listed_servers(program)) == ["s-0"]
        service.register("s-1", "127.0.0.1:9002")
        await until_listed(program, "s-0", "s-1")
        assert program.discovery.zookeeper.counters.connects == 2
    service.close()


@on_loop
async def test_the_known_list_is_used_while_the_service_is_unavailable() -> None:
    service = Service()
    service.call(service.ensemble.stop)
    known = [{"name": "s-0", "address": "127.0.0.1:9001", "zone": "a", "type": "m", "status": "SERVING"}]
    async with running_gateway(service, make_config(known)) as program:
        assert sorted(listed_servers(program)) == ["s-0"] and program.gateway.can_serve
        service.call(service.ensemble.restart)
        service.register("s-1", "127.0.0.1:9002")
        await until_listed(program, "s-1")  # the complete list from the service, without s-0
    service.close()


@on_loop
async def test_a_removed_backend_does_not_come_back_at_a_restart_without_the_service(tmp_path: Path) -> None:
    service, file = Service(), tmp_path / "boxes.json"
    known = [
        {"name": f"s-{n}", "address": f"127.0.0.1:900{n + 1}", "zone": "b", "type": "m", "status": "SERVING"}
        for n in range(3)
    ]
    for n in range(3):
        service.register(f"s-{n}", f"127.0.0.1:900{n + 1}", zone="b", kind="m", since_ms=7)
    async with running_gateway(service, make_config(known), state=str(file)) as program:
        await wait_until(lambda: program.discovery.zookeeper.counters.list_reads)
        service.expire("s-1")
        await until_listed(program, "s-0", "s-2")
        await wait_until(lambda: file.exists() and len(json.loads(file.read_text())["boxes"]) == 2)
    service.call(service.ensemble.stop)
    async with running_gateway(service, make_config(known), state=str(file)) as program:
        assert sorted(listed_servers(program)) == ["s-0", "s-2"]
        assert (
            listed_servers(program)["s-0"].entry.zone == 1
            and listed_servers(program)["s-0"].entry.started_us == 7_000
        )
    for corrupt in ("{", "[]", '{"v": 2, "boxes": []}', '{"v": 1, "boxes": [3]}'):
        file.write_text(corrupt)  # unusable: the configured list is used
        async with running_gateway(service, make_config(known), state=str(file)) as program:
            assert len(listed_servers(program)) == 3
    service.close()


@on_loop
async def test_a_failed_write_of_the_snapshot_is_only_logged(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    service = Service()
    service.register("s-0", "127.0.0.1:9001")
    (tmp_path / "boxes.json.new").mkdir()
    async with running_gateway(service, state=str(tmp_path / "boxes.json")) as program:
        await until_listed(program, "s-0")
        stderr = ""
        while "cannot be written" not in stderr:
            stderr += capfd.readouterr().err
            await asyncio.sleep(0.01)
        service.register("s-1", "127.0.0.1:9002")
        await until_listed(program, "s-0", "s-1")
    service.close()


@on_loop
async def test_invalid_node_data_leaves_out_only_that_backend(capfd: pytest.CaptureFixture[str]) -> None:
    service = Service()
    service.register("s-0", "127.0.0.1:9001")
    service.register("s-1", "127.0.0.1:9002", data=b"{")
    service.register("s-2", "127.0.0.1:9003", data=b"x" * 1_000_000)
    service.register("s-3", "127.0.0.1:9004", data=json.dumps({"v": 9}).encode())
    async with running_gateway(service) as program:
        await until_listed(program, "s-0")
        await wait_until(lambda: program.discovery.zookeeper.counters.unusable_nodes == 3)
        service.commit_request(SetData(f"{FOLDER}/s-1", encode_backend(Backend("s-1", ("127.0.0.1", 9002)))))
        await until_listed(program, "s-0", "s-1")
    stderr = capfd.readouterr().err
    for expected in ("s-1, cause=data: expected JSON", "s-2, cause=data: expected at most",
                   "s-3, cause=v: expected 1, found 9"):  # fmt: skip
        assert stderr.count(expected) == 1
    service.close()


@on_loop
async def test_a_denying_acl_and_a_missing_folder_keep_the_list() -> None:
    service = Service()
    service.register("s-0", "127.0.0.1:9001")
    service.register("s-1", "127.0.0.1:9002")
    service.commit_request(SetAcl(f"{FOLDER}/s-1", (Acl(31, "digest", "x:y"),)))
    known = [{"name": "s-7", "address": "127.0.0.1:9007", "zone": "a", "type": "m", "status": "SERVING"}]
    async with running_gateway(service) as program:
        await until_listed(program, "s-0")
    service.commit_request(SetAcl(FOLDER, (Acl(31, "digest", "x:y"),)))
    async with running_gateway(service, make_config(known)) as program:
        await wait_until(lambda: program.discovery.zookeeper.counters.connects)
        await asyncio.sleep(0.1)
        assert sorted(listed_servers(program)) == ["s-7"]
    async with running_gateway(service, make_config(known), path="/elsewhere/boxes") as program:
        await wait_until(lambda: program.discovery.zookeeper.counters.connects)
        await asyncio.sleep(0.1)
        assert sorted(listed_servers(program)) == ["s-7"]
        service.commit_request(Create("/elsewhere"))
        service.commit_request(Create("/elsewhere/boxes"))
        await wait_until(lambda: program.discovery.zookeeper.counters.list_reads)
        await until_listed(program)  # the folder now exists and is empty
    service.close()


@on_loop
async def test_two_nodes_of_one_backend_give_one_backend() -> None:
    service = Service()
    service.register("s-0", "127.0.0.1:9001", since_ms=5)
    second_node = encode_backend(Backend("s-0", ("127.0.0.1", 9009), since_ms=4))
    service.register("s-0-again", "127.0.0.1:9009", data=second_node)
    async with running_gateway(service) as program:
        await until_listed(program, "s-0")
        assert program.discovery.merge.backend_by_name["s-0"].address == ("127.0.0.1", 9001)
        service.expire("s-0")
        await wait_until(lambda: program.discovery.merge.backend_by_name["s-0"].address == ("127.0.0.1", 9009))
    service.close()


@on_loop
async def test_the_registry_supplies_backends_that_have_no_node() -> None:
    from tests.sockets import endpoint, list_reply, respond_with

    service = Service()
    service.register("s-0", "127.0.0.1:9001", weight=0.5)
    entries = [endpoint("s-0", "127.0.0.1:9001"), endpoint("s-1", "127.0.0.1:9002", zone="b")]
    async with scripted_server(respond_with(list_reply(7, *entries))) as registry:
        config = make_config(discovery=registry.address)
        async with running_gateway(service, config, precedence=("ephemeral", "registry")) as program:
            await until_listed(program, "s-0", "s-1")
            assert listed_servers(program)["s-1"].entry.zone == 1
            await wait_until(lambda: listed_servers(program)["s-0"].entry.weight == 0.5)
            service.expire("s-0")  # removed although the registry still lists it
            await until_listed(program, "s-1")
    service.close()


@on_loop
async def test_many_simultaneous_expiries_do_not_reread_the_remaining_nodes() -> None:
    service = Service()
    for n in range(64):
        service.register(f"s-{n}", f"127.0.0.1:{9001 + n}")
    async with running_gateway(service) as program:
        await wait_until(lambda: len(listed_servers(program)) == 64)
        reads = program.discovery.zookeeper.counters.node_reads
        for n in range(0, 60):
            service.expire(f"s-{n}")
        await until_listed(program, *(f"s-{n}" for n in range(60, 64)))
        # The remaining nodes are not read again, except where a change falls between two reads.
        assert program.discovery.zookeeper.counters.node_reads - reads <= 64
    service.close()


@on_loop
async def test_the_list_is_confirmed_every_second_only_while_connected() -> None:
    service = Service()
    service.register("s-0", "127.0.0.1:9001")
    async with running_gateway(service) as program:
        merge = program.discovery.merge
        await until_listed(program, "s-0")
        before = merge.state_by_source[Source.EPHEMERAL].confirmed_us
        await wait_until(
            lambda: merge.state_by_source[Source.EPHEMERAL].confirmed_us > before
        )  # confirmed every second
        service.call(service.ensemble.stop)
        await wait_until(lambda: merge.counters.suspended)
        confirmed_before_us = merge.state_by_source[Source.EPHEMERAL].confirmed_us
        await asyncio.sleep(1.2)
        assert merge.state_by_source[Source.EPHEMERAL].confirmed_us == confirmed_before_us
    service.close()
