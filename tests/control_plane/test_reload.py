"""SIGHUP at a relay: the roster is read again."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Generator
from pathlib import Path

import pytest

from cloverkeel.control_plane.fleet_roster import FleetRoster, GroupsByService
from cloverkeel.control_plane.messages import Subscriber
from cloverkeel.control_plane.reload import RosterReloader
from cloverkeel.control_plane.roster_parser import parse_roster
from tests.control_plane.relay_harness import (
    HOLD,
    ROSTER,
    desk,
    names,
)
from tests.sockets import on_loop, until


@on_loop
async def test_the_roster_is_read_again_and_a_bad_one_changes_nothing(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "roster.json"
    async with desk() as one:
        client, reloader = await one.client(), RosterReloader(str(file), one.server)
        held = await one.listed("gateway=g0", client)
        wait = asyncio.create_task(one.listed(f"gateway=g0&from={held['index']}{HOLD}", client))
        await until(lambda: any(connection.pending_request for connection in one.server.connections))
        digest = one.server.cache.roster.digest
        file.write_bytes(b"{}")
        reloader.request_reload()
        await until(lambda: reloader.reload_task is None)
        assert one.server.cache.roster.digest == digest and "stays as it is" in capsys.readouterr().err
        file.write_bytes(ROSTER.replace(b'["s"]', b'["s", "t"]'))
        reloader.request_reload()
        assert set(names(await wait)) == {f"t-{n}" for n in range(4)}
        assert (await one.state())["roster"] != digest


@on_loop
async def test_a_change_and_another_file_that_come_while_a_roster_is_taken_in_are_not_lost(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    file = tmp_path / "roster.json"
    async with desk() as one:
        server, cache = one.server, one.server.cache
        reloader, sound = RosterReloader(str(file), server), cache.prepare_roster
        clients = [await one.client() for _ in range(2)]
        held = [await one.listed(f"gateway=g{n}", client) for n, client in enumerate(clients)]
        forever = "&hold_ms=60000"  # longer than this test may take
        waits = [
            asyncio.create_task(one.listed(f"gateway=g{n}&from={held[n]['index']}{forever}", clients[n]))
            for n in range(2)
        ]
        await until(lambda: sum(connection.pending_request is not None for connection in server.connections) == 2)
        others: list[dict[str, str]] = []

        def prepare(roster: FleetRoster) -> Generator[None, None, GroupsByService]:
            steps = sound(roster)
            next(steps)
            if not others:
                others.append({})
                server.apply_list(
                    False, [{"name": "t-0", "status": "DELETED", "address": "127.0.0.1:1", "service": "t"}]
                )
                file.write_bytes(ROSTER.replace(b'["s"]', b'["t"]'))
                reloader.request_reload()
                for gateway in ("g0", "g1"):  # by the old one, though most of the other is worked out
                    answer = cache.respond(Subscriber(gateway), None)
                    assert answer is not None
                    others[0] |= {json.loads(each)["name"]: gateway for each in answer.entries}
            return (yield from steps)

        monkeypatch.setattr(cache, "prepare_roster", prepare)
        file.write_bytes(ROSTER.replace(b'["t"]', b'["s"]'))
        reloader.request_reload()
        await until(lambda: others and reloader.reload_task is None)
        assert others[0] == {f"s-{n}": "g0" for n in range(4)} | {f"t-{n}": "g1" for n in range(1, 4)}
        last = parse_roster(file.read_bytes(), "roster")
        assert cache.roster.digest == last.digest
        for n, wait in enumerate(waits):
            told = await wait
            while set(names(told)) != {"t-1", "t-2", "t-3"}:  # however its answers were cut by the two
                told = await one.listed(f"gateway=g{n}", clients[n])
            waits[n] = asyncio.create_task(one.listed(f"gateway=g{n}&from={told['index']}{forever}", clients[n]))
        await until(lambda: sum(connection.pending_request is not None for connection in server.connections) == 2)
        await until(lambda: server.long_polls.notify_task is None)
        one.change(("t-1", "DRAINING"))
        assert [names(await wait) for wait in waits] == [{"t-1": "DRAINING"}] * 2, "found by what it is now before"
