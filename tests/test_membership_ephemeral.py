"""Ephemeral membership against the stand-in service: sessions that end, services that go, data that is bad."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import replace
from functools import partial
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path
from typing import Any

import pytest

from cloverkeel.assembly import assemble
from cloverkeel.core.config import ConfigError, stable_id
from cloverkeel.core.config import parse as parse_config
from cloverkeel.core.options import Duties, Ephemeral, Options
from cloverkeel.core.options import load as load_options
from cloverkeel.discovery.registration import Do, Keeper
from cloverkeel.discovery.source_merge import Member, Source, Status
from cloverkeel.discovery.merged_source import MergedMembership
from cloverkeel.discovery.node_codec import parse, render

from standins.parties.zookeeper.ensemble import Session
from standins.parties.zookeeper.jute import Acl, Create, Delete, Mode, Multi, SetAcl, SetData
from standins.parties.zookeeper.threaded import Threaded

from tests.sockets import configuration, on_loop, peer, until

ROOT = Path(__file__).parent.parent
FOLDER = "/cloverkeel/boxes"


class Service:
    """The ensemble, and boxes' nodes put there by hand, each in a session of its own."""

    def __init__(self) -> None:
        self.keeper = Threaded(servers=2, timeouts_ms=(200, 40_000))
        self.ensemble = self.keeper.ensemble
        self.boxes: dict[str, Session] = {}
        self.do(Create("/cloverkeel"))
        self.do(Create(FOLDER))

    def call(self, what: Callable[[], Any]) -> Any:
        return self.keeper.call(what)

    def do(self, request: Any, session: int = 0) -> None:
        self.call(lambda: self.ensemble.commit(self.ensemble.tree.prepare(request, session)))

    def register(self, name: str, address: str, data: bytes | None = None, **fields: Any) -> None:
        host, _, port = address.rpartition(":")
        member = replace(Member(name, (host, int(port))), **fields)
        session = self.call(lambda: self.ensemble.open_session(40_000, 0))
        self.boxes[name] = session
        content = render(member) if data is None else data
        self.do(Create(f"{FOLDER}/{name}", content, flags=Mode.EPHEMERAL), session.id)

    def expire(self, name: str) -> None:
        self.call(lambda: self.ensemble.expire(self.boxes[name].id))

    def gateways(self) -> list[Session]:
        return [s for s in self.ensemble.sessions.values() if s not in self.boxes.values()]

    def close(self) -> None:
        self.keeper.close()


@pytest.fixture
def service() -> Iterator[Service]:
    made = Service()
    try:
        yield made
    finally:
        made.close()


def config_of(known: list[dict[str, Any]] | None = None, mode: str = "pushed", discovery: str = "127.0.0.1:9") -> Any:
    raw = configuration(discovery=discovery)
    raw["settings"]["membershipMode"] = mode
    raw["known"] = {"index": 1, "snapshot": True, "endpoints": known or []}
    return parse_config(raw)


@asynccontextmanager
async def gateway(service: Service, config: Any = None, **options: Any) -> Any:
    wanted = Ephemeral(service.ensemble.hosts, session_ms=1_000, spread_ms=0, precedence=("ephemeral",))
    program = assemble(config or config_of(), Options(replace(wanted, **options)))
    assert isinstance(program.discovery, MergedMembership)
    program.gateway.start()
    try:
        yield program
    finally:
        program.close()


def listed(program: Any) -> dict[str, Any]:
    """The decision module's list: what it may send to."""
    names = {stable_id(name, 4): name for name in program.discovery.merge.members}
    servers = program.gateway.balancer.endpoints.by_server
    return {names.get(id_, "?"): server for id_, server in servers.items()}


async def until_listed(program: Any, *names: str) -> None:
    await until(lambda: sorted(listed(program)) == sorted(names))
    assert sorted(host.name for host in program.pools.hosts.values()) == sorted(names)


@on_loop
async def test_boxes_come_change_and_go_with_their_nodes() -> None:
    service = Service()
    service.register("s-0", "127.0.0.1:9001", zone="b", kind="m", group=2, weight=0.5, since_ms=1_000)
    async with gateway(service) as program:
        await until_listed(program, "s-0")
        entry = listed(program)["s-0"].entry
        assert (entry.zone, entry.kind, entry.group, entry.weight, entry.started_us) == (1, 0, 2, 0.5, 1_000_000)
        service.register("s-1", "127.0.0.1:9002")
        await until_listed(program, "s-0", "s-1")
        data = render(Member("s-1", ("127.0.0.1", 9002), Status.DRAINING))
        service.do(SetData(f"{FOLDER}/s-1", data))
        await until(lambda: listed(program)["s-1"].entry.status.value == "draining")
        service.expire("s-0")
        await until_listed(program, "s-1")
    service.close()


@on_loop
async def test_an_expired_box_that_registers_again_is_the_same_process_with_its_breaker() -> None:
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
        data = render(Member("s-0", ("127.0.0.1", 9009), since_ms=2))
        service.do(Multi((Delete(f"{FOLDER}/s-0"), Create(f"{FOLDER}/s-0", data))))  # the names are as they were
        await until(lambda: listed(program)["s-0"].entry.started_us == 2_000)
        assert program.discovery.merge.members["s-0"].address == ("127.0.0.1", 9009)
        again = render(Member("s-9", ("127.0.0.1", 9009), since_ms=3))  # the same address under another name
        service.do(Multi((Delete(f"{FOLDER}/s-0"), Create(f"{FOLDER}/s-9", again))))
        await until_listed(program, "s-9")
    service.close()


@on_loop
async def test_a_deletion_is_told_though_the_list_cannot_be_read_any_more() -> None:
    """The word came, then the service hears nothing: within the second that the drain rule gives it has to act."""
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
        nodes = program.discovery.nodes
        nodes.wake.set = lambda: None  # as if each came just before the reader cleared it
        service.register("s-1", "127.0.0.1:9002")
        await until_listed(program, "s-0", "s-1")
        service.expire("s-0")
        await until_listed(program, "s-1")
        del nodes.wake.set
    service.close()


@on_loop
async def test_catching_up_ends_when_all_was_told_that_the_service_had_told_before() -> None:
    service = Service()
    for n in range(20):
        service.register(f"s-{n}", f"127.0.0.1:90{n:02d}")
    async with gateway(service) as program:
        await until_listed(program, *(f"s-{n}" for n in range(20)))
        for n in range(19):
            service.expire(f"s-{n}")
        left = list[list[str]]()
        program.discovery.catch_up(1_000_000, lambda: left.append(sorted(program.discovery.merge.members)))
        await until(lambda: left)
        assert left == [["s-19"]]
    service.close()


@on_loop
async def test_a_service_that_is_gone_tells_nothing_and_a_gone_box_stays_gone() -> None:
    service = Service()
    for n in range(3):
        service.register(f"s-{n}", f"127.0.0.1:900{n + 1}")
    async with gateway(service) as program:
        await until_listed(program, "s-0", "s-1", "s-2")
        service.expire("s-0")
        await until_listed(program, "s-1", "s-2")
        service.call(service.ensemble.stop)
        await until(lambda: program.discovery.merge.counts.suspended)
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
        await until(lambda: program.discovery.merge.counts.lost)
        assert sorted(listed(program)) == ["s-0"]
        service.register("s-1", "127.0.0.1:9002")
        await until_listed(program, "s-0", "s-1")
        assert program.discovery.nodes.counts.connects == 2
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
        await until_listed(program, "s-1")  # the whole list is told, and s-0 is not on it
    service.close()


@on_loop
async def test_a_box_told_gone_does_not_come_back_at_a_restart_without_the_service(tmp_path: Path) -> None:
    service, file = Service(), tmp_path / "boxes.json"
    known = [
        {"name": f"s-{n}", "address": f"127.0.0.1:900{n + 1}", "zone": "b", "type": "m", "status": "SERVING"}
        for n in range(3)
    ]
    for n in range(3):
        service.register(f"s-{n}", f"127.0.0.1:900{n + 1}", zone="b", kind="m", since_ms=7)
    async with gateway(service, config_of(known), state=str(file)) as program:
        await until(lambda: program.discovery.nodes.counts.lists)
        service.expire("s-1")
        await until_listed(program, "s-0", "s-2")
        await until(lambda: file.exists() and len(json.loads(file.read_text())["boxes"]) == 2)
    service.call(service.ensemble.stop)
    async with gateway(service, config_of(known), state=str(file)) as program:
        assert sorted(listed(program)) == ["s-0", "s-2"]
        assert listed(program)["s-0"].entry.zone == 1 and listed(program)["s-0"].entry.started_us == 7_000
    for spoilt in ("{", "[]", '{"v": 2, "boxes": []}', '{"v": 1, "boxes": [3]}'):
        file.write_text(spoilt)  # cannot be used: the list that is given serves
        async with gateway(service, config_of(known), state=str(file)) as program:
            assert len(listed(program)) == 3
    service.close()


@on_loop
async def test_a_state_that_cannot_be_written_is_a_line_and_no_more(
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
async def test_bad_data_leaves_out_that_box_alone(capfd: pytest.CaptureFixture[str]) -> None:
    service = Service()
    service.register("s-0", "127.0.0.1:9001")
    service.register("s-1", "127.0.0.1:9002", data=b"{")
    service.register("s-2", "127.0.0.1:9003", data=b"x" * 1_000_000)
    service.register("s-3", "127.0.0.1:9004", data=json.dumps({"v": 9}).encode())
    async with gateway(service) as program:
        await until_listed(program, "s-0")
        await until(lambda: program.discovery.nodes.counts.bad_data == 3)
        service.do(SetData(f"{FOLDER}/s-1", render(Member("s-1", ("127.0.0.1", 9002)))))
        await until_listed(program, "s-0", "s-1")
    said = capfd.readouterr().err
    for wanted in ("s-1 is left out: data: expected JSON", "s-2 is left out: data: expected at most",
                   "s-3 is left out: v: expected 1, found 9"):  # fmt: skip
        assert said.count(wanted) == 1
    service.close()


@on_loop
async def test_an_acl_that_refuses_us_and_a_folder_that_is_not_there_tell_nothing() -> None:
    service = Service()
    service.register("s-0", "127.0.0.1:9001")
    service.register("s-1", "127.0.0.1:9002")
    service.do(SetAcl(f"{FOLDER}/s-1", (Acl(31, "digest", "x:y"),)))
    known = [{"name": "s-7", "address": "127.0.0.1:9007", "zone": "a", "type": "m", "status": "SERVING"}]
    async with gateway(service) as program:
        await until_listed(program, "s-0")
    service.do(SetAcl(FOLDER, (Acl(31, "digest", "x:y"),)))
    async with gateway(service, config_of(known)) as program:
        await until(lambda: program.discovery.nodes.counts.connects)
        await asyncio.sleep(0.1)
        assert sorted(listed(program)) == ["s-7"]
    async with gateway(service, config_of(known), path="/elsewhere/boxes") as program:
        await until(lambda: program.discovery.nodes.counts.connects)
        await asyncio.sleep(0.1)
        assert sorted(listed(program)) == ["s-7"]
        service.do(Create("/elsewhere"))
        service.do(Create("/elsewhere/boxes"))
        await until(lambda: program.discovery.nodes.counts.lists)
        await until_listed(program)  # now it is told: there is none
    service.close()


@on_loop
async def test_two_agents_for_one_box_are_one_box() -> None:
    service = Service()
    service.register("s-0", "127.0.0.1:9001", since_ms=5)
    twin = render(Member("s-0", ("127.0.0.1", 9009), since_ms=4))
    service.register("s-0-again", "127.0.0.1:9009", data=twin)
    async with gateway(service) as program:
        await until_listed(program, "s-0")
        assert program.discovery.merge.members["s-0"].address == ("127.0.0.1", 9001)
        service.expire("s-0")
        await until(lambda: program.discovery.merge.members["s-0"].address == ("127.0.0.1", 9009))
    service.close()


@on_loop
async def test_the_registry_stands_in_for_boxes_that_have_no_node() -> None:
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
            service.expire("s-0")  # told gone, whatever the registry lists
            await until_listed(program, "s-1")
    service.close()


@on_loop
async def test_changes_at_once_for_many_are_one_list() -> None:
    service = Service()
    for n in range(64):
        service.register(f"s-{n}", f"127.0.0.1:{9001 + n}")
    async with gateway(service) as program:
        await until(lambda: len(listed(program)) == 64)
        reads = program.discovery.nodes.counts.reads
        for n in range(0, 60):
            service.expire(f"s-{n}")
        await until_listed(program, *(f"s-{n}" for n in range(60, 64)))
        # No storm: what is left was not read again, but for what a change between two reads touches.
        assert program.discovery.nodes.counts.reads - reads <= 64
    service.close()


@on_loop
async def test_age_and_confirmation() -> None:
    service = Service()
    service.register("s-0", "127.0.0.1:9001")
    async with gateway(service) as program:
        merge = program.discovery.merge
        await until_listed(program, "s-0")
        before = merge.words[Source.EPHEMERAL].confirmed_us
        await until(lambda: merge.words[Source.EPHEMERAL].confirmed_us > before)  # asked once a second
        service.call(service.ensemble.stop)
        await until(lambda: merge.counts.suspended)
        stood = merge.words[Source.EPHEMERAL].confirmed_us
        await asyncio.sleep(1.2)
        assert merge.words[Source.EPHEMERAL].confirmed_us == stood
    service.close()


# The agent's decisions


def keeper(**changes: Any) -> Keeper:
    return Keeper(Member("s-0", ("127.0.0.1", 9001), since_ms=5), **changes)


def carry_out(one: Keeper, now_s: float) -> Do:
    what = one.next(now_s)
    if what is not Do.NOTHING:
        one.done(what, one.data())
    return what


def test_no_node_before_the_box_answers_nor_after_it_stopped() -> None:
    one = keeper(fails=3)
    assert carry_out(one, 0) is Do.NOTHING
    one.on_check(10, True)
    assert carry_out(one, 1) is Do.CREATE and carry_out(one, 1) is Do.NOTHING
    for _ in range(2):
        one.on_check(20, False)
        assert carry_out(one, 2) is Do.NOTHING
    one.on_check(20, True)  # it had a slow moment: the same process
    assert one.member.since_ms == 5 and carry_out(one, 3) is Do.NOTHING
    for _ in range(3):
        one.on_check(30, False)
    assert carry_out(one, 4) is Do.DELETE and carry_out(one, 4) is Do.NOTHING
    one.on_check(40, True)
    assert carry_out(one, 5) is Do.CREATE and one.member.since_ms == 40  # a new process


def test_after_an_expiry_the_same_life_registers_again() -> None:
    one = keeper()
    one.on_check(10, True)
    carry_out(one, 0)
    one.on_session()
    assert carry_out(one, 1) is Do.CREATE and parse(one.written).since_ms == 5


def test_a_term_drains_then_deletes() -> None:
    one = keeper(drain_s=2.0)
    one.on_check(10, True)
    carry_out(one, 0)
    one.on_term(10.0)
    one.on_term(11.0)  # a second one changes nothing
    assert carry_out(one, 10.0) is Do.UPDATE and parse(one.written).status is Status.DRAINING
    assert carry_out(one, 11.9) is Do.NOTHING and carry_out(one, 12.0) is Do.END
    idle = keeper()
    idle.on_term(0.0)
    assert idle.next(0.0) is Do.END  # there was no node: nothing to wait for


# The agent as a program


class Health(BaseHTTPRequestHandler):
    well = True

    def do_GET(self) -> None:  # noqa: N802  its name is the library's
        self.send_response(200 if type(self).well else 503)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, format: str, *args: object) -> None:
        pass


@contextmanager
def health() -> Iterator[tuple[type[Health], int]]:
    handler = type("Mine", (Health,), {"well": True})
    server = HTTPServer(("127.0.0.1", 0), handler)
    thread = threading.Thread(target=server.serve_forever, args=(0.01,), daemon=True)
    thread.start()
    try:
        yield handler, server.server_port
    finally:
        server.shutdown()
        server.server_close()


@contextmanager
def agent(service: Service, port: int, *more: str) -> Iterator[subprocess.Popen[str]]:
    process = subprocess.Popen(
        [sys.executable, "-m", "cloverkeel", "register", "--hosts", service.ensemble.hosts, "--name", "s-0",
         "--address", f"127.0.0.1:{port}", "--every-ms", "50", "--session-ms", "600", "--drain-s", "0.3", *more],
        cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True,
    )  # fmt: skip
    try:
        yield process
    finally:
        process.kill()
        process.communicate()


def wait_for(condition: Callable[[], object]) -> None:
    end = time.monotonic() + 20
    while not condition():
        assert time.monotonic() < end, "it did not come about"
        time.sleep(0.005)


def node(service: Service) -> Member | None:
    found = service.ensemble.tree.nodes.get(f"{FOLDER}/s-0")
    return parse(found.data, found.stat.czxid) if found is not None else None


def test_the_agent_keeps_a_node_while_its_box_is_well_and_drains_it_at_the_end(service: Service) -> None:
    with health() as (box, port), agent(service, port, "--zone", "kita-room", "--group", "3") as process:
        wait_for(lambda: node(service))
        first = node(service)
        assert first is not None and (first.zone, first.group, first.address) == ("kita-room", 3, ("127.0.0.1", port))
        owner = service.ensemble.tree.nodes[f"{FOLDER}/s-0"].stat.ephemeral_owner
        service.call(lambda: service.ensemble.expire(owner))
        wait_for(lambda: (now := node(service)) and now.czxid > first.czxid)
        again = node(service)
        assert again is not None and again.since_ms == first.since_ms  # the same process, a new registration
        box.well = False
        wait_for(lambda: node(service) is None)
        box.well = True
        wait_for(lambda: node(service))
        fresh = node(service)
        assert fresh is not None and fresh.since_ms > first.since_ms
        process.send_signal(signal.SIGTERM)
        wait_for(lambda: (now := node(service)) is not None and now.status is Status.DRAINING)
        wait_for(lambda: node(service) is None)
        assert process.wait(10) == 0


def test_an_agent_that_is_killed_leaves_the_node_to_its_sessions_end_and_the_next_one_takes_it_over(
    service: Service,
) -> None:
    with health() as (_, port):
        with agent(service, port) as process:
            wait_for(lambda: node(service))
            first = node(service)
            os.kill(process.pid, signal.SIGKILL)
        with agent(service, port):
            wait_for(lambda: (now := node(service)) is not None and first is not None and now.czxid > first.czxid)
            now = node(service)
            assert now is not None and first is not None and now.since_ms == first.since_ms
            time.sleep(0.8)  # the killed one's session ends: the node is not its own any more
            assert node(service) is not None
        wait_for(lambda: node(service) is None)


def test_bad_options_of_the_agent_are_told() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "cloverkeel", "register", "--hosts", "h:1", "--name", "s", "--address", "nowhere"],
        cwd=ROOT, capture_output=True, text=True,
    )  # fmt: skip
    assert done.returncode == 2 and "--address: expected host:port, found 'nowhere'" in done.stderr


# Options


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("x = 1", "o.toml: x: unknown; expected one of membership"),
        ("membership = 1", "o.toml: membership: expected a table, found 1"),
        ("[membership]", "o.toml: membership: hosts: expected host:port,host:port, found None"),
        ('[membership]\nhosts = "h"', "hosts: expected host:port,host:port, found 'h'"),
        ('[membership]\nhosts = "h:1"\nspeed = 3', "o.toml: membership: speed: unknown; expected one of precedence"),
        ('[membership]\nhosts = "h:1"\npath = "boxes"', "path: expected a path such as /cloverkeel/boxes"),
        ('[membership]\nhosts = "h:1"\npath = "/a//b"', "path: expected a path such as /cloverkeel/boxes"),
        ('[membership]\nhosts = "h:1"\nsession_ms = 5', "session_ms: expected a whole number from 200 to 60000"),
        ('[membership]\nhosts = "h:1"\nprecedence = ["registry"]', "precedence: expected a list of 'ephemeral'"),
        ('[membership]\nhosts = "h:1"\nstate = "/no/such/x"', "state: expected a file in a folder that exists"),
        ("[[", "o.toml: not TOML"),
        ("duties = 3", "o.toml: duties: expected a table, found 3"),
        ("[duties]\nvoters = 4", "duties: voters: expected 3, 5 or 7, found 4"),
        ("[duties]\nlease_ms = 5", "duties: lease_ms: expected a whole number from 200 to 60000, found 5"),
        ('[duties]\nwarden = "no"', "duties: warden: expected true or false, found 'no'"),
        ('[duties]\nstore = "moon"', "duties: store: expected 'peers' or 'ephemeral', found 'moon'"),
        ('[duties]\nstore = "ephemeral"', "duties: hosts: expected host:port,host:port, found None"),
        ("[duties]\nmoon = 1", "duties: moon: unknown; expected one of voters, lease_ms, warden, trier"),
    ],
)
def test_options_that_cannot_be_used_name_file_and_key(tmp_path: Path, text: str, said: str) -> None:
    file = tmp_path / "o.toml"
    file.write_text(text)
    with pytest.raises(ConfigError) as error:
        load_options({"CLOVERKEEL_OPTIONS": str(file)})
    assert said in str(error.value)


def test_the_file_that_is_shipped_can_be_used_and_none_is_all_off() -> None:
    found = load_options({"CLOVERKEEL_OPTIONS": str(ROOT / "deploy" / "ephemeral.toml")})
    assert found.ephemeral is not None and found.ephemeral.precedence == ("ephemeral", "registry")
    duties = load_options({"CLOVERKEEL_OPTIONS": str(ROOT / "deploy" / "duties.toml")})
    assert duties.duties == Duties() and duties.ephemeral is None
    assert load_options({}) == Options()


def test_what_is_off_is_not_imported() -> None:
    code = (
        "import sys; from cloverkeel.core import options; from cloverkeel.assembly import assemble; options.load({});"
        "print([m for m in sys.modules if m.startswith(('kazoo', 'tomllib', 'standins', 'rich'))"
        " or m.startswith('cloverkeel.leases')"
        " or m in ('cloverkeel.discovery.merged_source', 'cloverkeel.discovery.zookeeper_source')])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
    assert done.stdout.strip() == "[]", done.stdout + done.stderr
