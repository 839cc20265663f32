"""Reload of a relay's roster (SIGHUP)."""

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
from tests.control_plane.relay_harness import HOLD, ROSTER, relay_with_registry, status_by_name
from tests.sockets import on_loop, wait_until


@on_loop
async def test_roster_is_reloaded_and_an_invalid_one_changes_nothing(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "roster.json"
    async with relay_with_registry() as harness:
        client, reloader = await harness.client(), RosterReloader(str(file), harness.server)
        held = await harness.listed("gateway=g0", client)
        poll = asyncio.create_task(harness.listed(f"gateway=g0&from={held['index']}{HOLD}", client))
        await wait_until(lambda: any(connection.pending_request for connection in harness.server.connections))
        digest = harness.server.cache.roster.digest
        file.write_bytes(b"{}")
        reloader.request_reload()
        await wait_until(lambda: reloader.is_idle)
        assert harness.server.cache.roster.digest == digest and "stays as it is" in capsys.readouterr().err
        file.write_bytes(ROSTER.replace(b'["s"]', b'["s", "t"]'))
        reloader.request_reload()
        assert set(status_by_name(await poll)) == {f"t-{n}" for n in range(4)}
        assert (await harness.state())["roster"] != digest


@on_loop
async def test_change_and_reload_during_a_roster_switch_are_not_lost(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    file = tmp_path / "roster.json"
    async with relay_with_registry() as harness:
        server, cache = harness.server, harness.server.cache
        reloader, original = RosterReloader(str(file), server), cache.prepare_roster
        clients = [await harness.client() for _ in range(2)]
        held = [await harness.listed(f"gateway=g{n}", client) for n, client in enumerate(clients)]
        long_hold = "&hold_ms=60000"  # longer than this test may take
        polls = [
            asyncio.create_task(harness.listed(f"gateway=g{n}&from={held[n]['index']}{long_hold}", clients[n]))
            for n in range(2)
        ]
        await wait_until(
            lambda: sum(connection.pending_request is not None for connection in server.connections) == 2
        )
        observed: list[dict[str, str]] = []  # gateway by host name, once the change was applied

        def prepare(roster: FleetRoster) -> Generator[None, None, GroupsByService]:
            steps = original(roster)
            next(steps)
            if not observed:
                observed.append({})
                server.apply_list(
                    False, [{"name": "t-0", "status": "DELETED", "address": "127.0.0.1:1", "service": "t"}]
                )
                file.write_bytes(ROSTER.replace(b'["s"]', b'["t"]'))
                reloader.request_reload()
                for gateway in ("g0", "g1"):  # answered with the old roster, though the new one is partly prepared
                    answer = cache.respond(Subscriber(gateway), None)
                    assert answer is not None
                    observed[0] |= {json.loads(each)["name"]: gateway for each in answer.entries}
            return (yield from steps)

        monkeypatch.setattr(cache, "prepare_roster", prepare)
        file.write_bytes(ROSTER.replace(b'["t"]', b'["s"]'))
        reloader.request_reload()
        await wait_until(lambda: observed and reloader.is_idle)
        assert observed[0] == {f"s-{n}": "g0" for n in range(4)} | {f"t-{n}": "g1" for n in range(1, 4)}
        last = parse_roster(file.read_bytes(), "roster")
        assert cache.roster.digest == last.digest
        for n, poll in enumerate(polls):
            sent = await poll
            while set(status_by_name(sent)) != {"t-1", "t-2", "t-3"}:  # the two rosters may take several responses
                sent = await harness.listed(f"gateway=g{n}", clients[n])
            polls[n] = asyncio.create_task(
                harness.listed(f"gateway=g{n}&from={sent['index']}{long_hold}", clients[n])
            )
        await wait_until(
            lambda: sum(connection.pending_request is not None for connection in server.connections) == 2
        )
        await wait_until(lambda: server.long_polls.notify_task is None)
        harness.change(("t-1", "DRAINING"))
        assert [status_by_name(await poll) for poll in polls] == [
            {"t-1": "DRAINING"}
        ] * 2, "a poll is not indexed by the new roster's keys"
