"""Ephemeral membership against the stand-in service: sessions that expire, services that are lost, bad data."""

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
from tests.sockets import configuration, on_loop, peer, until


def config_of(known: list[dict[str, Any]] | None = None, mode: str = "pushed", discovery: str = "127.0.0.1:9") -> Any:
    raw = configuration(discovery=discovery)
    raw["settings"]["membershipMode"] = mode
    raw["known"] = {"index": 1, "snapshot": True, "endpoints": known or []}
    return parse_config(raw)


@asynccontextmanager
async def gateway(service: Service, config: Any = None, **options: Any) -> Any:
    wanted = ZooKeeperOptions(service.ensemble.hosts, session_ms=1_000, spread_ms=0, precedence=("ephemeral",))
    program = assemble(config or config_of(), Options(replace(wanted, **options)))
    assert isinstance(program.discovery, MergedEndpointSource)
    program.gateway.start()
    try:
        yield program
    finally:
        program.close()


def listed(program: Any) -> dict[str, Any]:
    """The decision module's list: what it may send to."""
    names = {stable_id(name, 4): name for name in program.discovery.merge.backend_by_name}
    servers = program.gateway.balancer.endpoints.by_server
    return {names.get(id_, "?"): server for id_, server in servers.items()}


async def until_listed(program: Any, *names: str) -> None:
    await until(lambda: sorted(listed(program)) == sorted(names))
    assert sorted(host.name for host in program.pool.hosts.values()) == sorted(names)


@on_loop
async def test_backends_come_change_and_go_with_their_nodes() -> None:
    service = Service()
    service.register("s-0", "127.0.0.1:9001", zone="b", kind="m", group=2, weight=0.5, since_ms=1_000)
    async with gateway(service) as program:
        await until_listed(program, "s-0")
        entry = listed(program)["s-0"].entry
        assert (entry.zone, entry.kind, entry.group, entry.weight, entry.started_us) == (1, 0, 2, 0.5, 1_000_000)
        service.register("s-1", "127.0.0.1:9002")
        await until_listed(program, "s-0", "s-1")
        data = encode_backend(Backend("s-1", ("127.0.0.1", 9002), BackendStatus.DRAINING))
        service.do(SetData(f"{FOLDER}/s-1", data))
        await until(lambda: listed(program)["s-1"].entry.status.value == "draining")
        service.expire("s-0")
        await until_listed(program, "s-1")
    service.close()


@on_loop
async def test_an_expired_backend_that_registers_again_is_the_same_process_with_its_breaker() -> None:
    service = Service()
    service.register("s-0", "127.0.0.1:9001", since_ms=1_000)
    service.register("s-1", "127.0.0.1:9002", since_ms=1_000)
    async with gateway(service) as program:
        await until_listed(program, "s-0", "s-1")
        first = listed(program)["s-0"]
        first.breaker.reopen(0)
        service.expire("s-0")
        await until_listed(program, "s-1")
        service.register("s-0", "127.0.0.1:9001", since_ms=1_000)
        await until_listed(program, "s-0", "s-1")
        assert listed(program)["s-0"] is first and first.slow_start.ends_at_us <= 1_000_000
        service.expire("s-0")
        await until_listed(program, "s-1")
        service.register("s-0", "127.0.0.1:9001", since_ms=2_000)  # a new process
        await until_listed(program, "s-0", "s-1")
        assert listed(program)["s-0"] is not first
    service.close()


@on_loop
async def test_deleted_and_created_between_two_reads_is_the_new_registration() -> None:
    service = Service()
    service.register("s-0", "127.0.0.1:9001", since_ms=1)
    async with gateway(service) as program:
        await until_listed(program, "s-0")
        data = encode_backend(Backend("s-0", ("127.0.0.1", 9009), since_ms=2))
        service.do(Multi((Delete(f"{FOLDER}/s-0"), Create(f"{FOLDER}/s-0", data))))  # the names are as they were
        await until(lambda: listed(program)["s-0"].entry.started_us == 2_000)
        assert program.discovery.merge.backend_by_name["s-0"].address == ("127.0.0.1", 9009)
        again = encode_backend(Backend("s-9", ("127.0.0.1", 9009), since_ms=3))  # the same address under another name
        service.do(Multi((Delete(f"{FOLDER}/s-0"), Create(f"{FOLDER}/s-9", again))))
        await until_listed(program, "s-9")
    service.close()


@on_loop
async def test_a_deletion_is_notified_though_the_list_cannot_be_read_any_more() -> None:
    """The watch event came, then the service receives nothing: it has to act within the drain rule's second."""
    service = Service()
    service.register("s-0", "127.0.0.1:9001")
    service.register("s-1", "127.0.0.1:9002")
    async with gateway(service, session_ms=20_000) as program:
        await until_listed(program, "s-0", "s-1")
        for session in service.gateways():
            session.cut = "in"
        begun = time.monotonic()
        service.expire("s-0")
        await until_listed(program, "s-1")
        assert time.monotonic() - begun < 0.8
        for session in service.gateways():
            service.call(partial(service.ensemble.sever, session.id, ""))
        service.register("s-0", "127.0.0.1:9001")  # and the next list that is read counts
        for session in service.gateways():
            service.call(partial(service.ensemble.sever, session.id))
        await until_listed(program, "s-0", "s-1")
    service.close()


@on_loop
async def test_a_change_whose_wake_was_lost_is_read_all_the_same() -> None:
    service = Service()
    service.register("s-0", "127.0.0.1:9001")
    async with gateway(service) as program:
        await until_listed(program, "s-0")
        watcher = program.discovery.zookeeper
        watcher.wake_event.set = lambda: None  # as if each came just before the reader cleared it
        service.register("s-1", "127.0.0.1:9002")
        await until_listed(program, "s-0", "s-1")
        service.expire("s-0")
        await until_listed(program, "s-1")
        del watcher.wake_event.set
    service.close()


@on_loop
async def test_catching_up_ends_when_all_that_the_service_had_sent_was_notified() -> None:
    service = Service()
    for n in range(20):
        service.register(f"s-{n}", f"127.0.0.1:90{n:02d}")
    async with gateway(service) as program:
        await until_listed(program, *(f"s-{n}" for n in range(20)))
        for n in range(19):
            service.expire(f"s-{n}")
        left = list[list[str]]()
        program.discovery.catch_up(1_000_000, lambda: left.append(sorted(program.discovery.merge.backend_by_name)))
        await until(lambda: left)
        assert left == [["s-19"]]
    service.close()


@on_loop
async def test_a_lost_service_changes_nothing_and_a_removed_backend_stays_removed() -> None:
    service = Service()
    for n in range(3):
        service.register(f"s-{n}", f"127.0.0.1:900{n + 1}")
    async with gateway(service) as program:
        await until_listed(program, "s-0", "s-1", "s-2")
        service.expire("s-0")
        await until_listed(program, "s-1", "s-2")
        service.call(service.ensemble.stop)
        await until(lambda: program.discovery.merge.counters.suspended)
        await asyncio.sleep(0.1)
        assert sorted(listed(program)) == ["s-1", "s-2"]
        # The service has lost its last change: the node of s-0 is there again, and so is its session.
        service.call(lambda: service.ensemble.come_back(lost=0))
        service.register("s-3", "127.0.0.1:9004")
        await until_listed(program, "s-1", "s-2", "s-3")
    service.close()


@on_loop
async def test_the_gateways_own_session_expires_and_the_list_stands_until_it_is_read_again() -> None:
    service = Service()
    service.register("s-0", "127.0.0.1:9001")
    async with gateway(service) as program:
        await until_listed(program, "s-0")
        (mine,) = service.gateways()
        service.call(lambda: service.ensemble.expire(mine.id))
        await until(lambda: program.discovery.merge.counters.lost)
        assert sorted(listed(program)) == ["s-0"]
        service.register("s-1", "127.0.0.1:9002")
        await until_listed(program, "s-0", "s-1")
        assert program.discovery.zookeeper.counters.connects == 2
    service.close()


@on_loop
async def test_without_the_service_the_list_known_from_before_serves() -> None:
    service = Service()
    service.call(service.ensemble.stop)
    known = [{"name": "s-0", "address": "127.0.0.1:9001", "zone": "a", "type": "m", "status": "SERVING"}]
    async with gateway(service, config_of(known)) as program:
        assert sorted(listed(program)) == ["s-0"] and program.gateway.can_serve
        service.call(service.ensemble.come_back)
        service.register("s-1", "127.0.0.1:9002")
        await until_listed(program, "s-1")  # the whole list is applied, and s-0 is not on it
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
    async with gateway(service, config_of(known), state=str(file)) as program:
        await until(lambda: program.discovery.zookeeper.counters.list_reads)
        service.expire("s-1")
        await until_listed(program, "s-0", "s-2")
        await until(lambda: file.exists() and len(json.loads(file.read_text())["boxes"]) == 2)
    service.call(service.ensemble.stop)
    async with gateway(service, config_of(known), state=str(file)) as program:
        assert sorted(listed(program)) == ["s-0", "s-2"]
        assert listed(program)["s-0"].entry.zone == 1 and listed(program)["s-0"].entry.started_us == 7_000
    for corrupt in ("{", "[]", '{"v": 2, "boxes": []}', '{"v": 1, "boxes": [3]}'):
        file.write_text(corrupt)  # cannot be used: the list that is given serves
        async with gateway(service, config_of(known), state=str(file)) as program:
            assert len(listed(program)) == 3
    service.close()


@on_loop
async def test_a_snapshot_that_cannot_be_written_is_a_log_line_and_no_more(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    service = Service()
    service.register("s-0", "127.0.0.1:9001")
    (tmp_path / "boxes.json.new").mkdir()
    async with gateway(service, state=str(tmp_path / "boxes.json")) as program:
        await until_listed(program, "s-0")
        said = ""
        while "cannot be written" not in said:
            said += capfd.readouterr().err
            await asyncio.sleep(0.01)
        service.register("s-1", "127.0.0.1:9002")
        await until_listed(program, "s-0", "s-1")
    service.close()


@on_loop
async def test_bad_data_leaves_out_that_backend_alone(capfd: pytest.CaptureFixture[str]) -> None:
    service = Service()
    service.register("s-0", "127.0.0.1:9001")
    service.register("s-1", "127.0.0.1:9002", data=b"{")
    service.register("s-2", "127.0.0.1:9003", data=b"x" * 1_000_000)
    service.register("s-3", "127.0.0.1:9004", data=json.dumps({"v": 9}).encode())
    async with gateway(service) as program:
        await until_listed(program, "s-0")
        await until(lambda: program.discovery.zookeeper.counters.unusable_nodes == 3)
        service.do(SetData(f"{FOLDER}/s-1", encode_backend(Backend("s-1", ("127.0.0.1", 9002)))))
        await until_listed(program, "s-0", "s-1")
    said = capfd.readouterr().err
    for wanted in ("s-1, cause=data: expected JSON", "s-2, cause=data: expected at most",
                   "s-3, cause=v: expected 1, found 9"):  # fmt: skip
        assert said.count(wanted) == 1
    service.close()


@on_loop
async def test_an_acl_that_refuses_us_and_a_folder_that_is_missing_change_nothing() -> None:
    service = Service()
    service.register("s-0", "127.0.0.1:9001")
    service.register("s-1", "127.0.0.1:9002")
    service.do(SetAcl(f"{FOLDER}/s-1", (Acl(31, "digest", "x:y"),)))
    known = [{"name": "s-7", "address": "127.0.0.1:9007", "zone": "a", "type": "m", "status": "SERVING"}]
    async with gateway(service) as program:
        await until_listed(program, "s-0")
    service.do(SetAcl(FOLDER, (Acl(31, "digest", "x:y"),)))
    async with gateway(service, config_of(known)) as program:
        await until(lambda: program.discovery.zookeeper.counters.connects)
        await asyncio.sleep(0.1)
        assert sorted(listed(program)) == ["s-7"]
    async with gateway(service, config_of(known), path="/elsewhere/boxes") as program:
        await until(lambda: program.discovery.zookeeper.counters.connects)
        await asyncio.sleep(0.1)
        assert sorted(listed(program)) == ["s-7"]
        service.do(Create("/elsewhere"))
        service.do(Create("/elsewhere/boxes"))
        await until(lambda: program.discovery.zookeeper.counters.list_reads)
        await until_listed(program)  # now it is known that there is none
    service.close()


@on_loop
async def test_two_agents_for_one_backend_are_one_backend() -> None:
    service = Service()
    service.register("s-0", "127.0.0.1:9001", since_ms=5)
    twin = encode_backend(Backend("s-0", ("127.0.0.1", 9009), since_ms=4))
    service.register("s-0-again", "127.0.0.1:9009", data=twin)
    async with gateway(service) as program:
        await until_listed(program, "s-0")
        assert program.discovery.merge.backend_by_name["s-0"].address == ("127.0.0.1", 9001)
        service.expire("s-0")
        await until(lambda: program.discovery.merge.backend_by_name["s-0"].address == ("127.0.0.1", 9009))
    service.close()


@on_loop
async def test_the_registry_stands_in_for_backends_that_have_no_node() -> None:
    from tests.sockets import answers, endpoint, list_reply

    service = Service()
    service.register("s-0", "127.0.0.1:9001", weight=0.5)
    rows = [endpoint("s-0", "127.0.0.1:9001"), endpoint("s-1", "127.0.0.1:9002", zone="b")]
    async with peer(answers(list_reply(7, *rows))) as registry:
        config = config_of(discovery=registry.address)
        async with gateway(service, config, precedence=("ephemeral", "registry")) as program:
            await until_listed(program, "s-0", "s-1")
            assert listed(program)["s-1"].entry.zone == 1
            await until(lambda: listed(program)["s-0"].entry.weight == 0.5)
            service.expire("s-0")  # removed, whatever the registry lists
            await until_listed(program, "s-1")
    service.close()


@on_loop
async def test_changes_at_once_for_many_are_one_list() -> None:
    service = Service()
    for n in range(64):
        service.register(f"s-{n}", f"127.0.0.1:{9001 + n}")
    async with gateway(service) as program:
        await until(lambda: len(listed(program)) == 64)
        reads = program.discovery.zookeeper.counters.node_reads
        for n in range(0, 60):
            service.expire(f"s-{n}")
        await until_listed(program, *(f"s-{n}" for n in range(60, 64)))
        # No storm: what is left was not read again, but for what a change between two reads touches.
        assert program.discovery.zookeeper.counters.node_reads - reads <= 64
    service.close()


@on_loop
async def test_age_and_confirmation() -> None:
    service = Service()
    service.register("s-0", "127.0.0.1:9001")
    async with gateway(service) as program:
        merge = program.discovery.merge
        await until_listed(program, "s-0")
        before = merge.state_by_source[Source.EPHEMERAL].confirmed_us
        await until(lambda: merge.state_by_source[Source.EPHEMERAL].confirmed_us > before)  # asked once a second
        service.call(service.ensemble.stop)
        await until(lambda: merge.counters.suspended)
        stood = merge.state_by_source[Source.EPHEMERAL].confirmed_us
        await asyncio.sleep(1.2)
        assert merge.state_by_source[Source.EPHEMERAL].confirmed_us == stood
    service.close()
