"""The relay's configuration file, and the relay command as a process."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
from dataclasses import replace
from pathlib import Path

import pytest

from cloverkeel.control_plane.config import Limits, load
from cloverkeel.core.clock import now_us
from cloverkeel.core.config import ConfigError
from standins.event_log import EventLog
from standins.parties.network import reserve_port
from standins.parties.registry import Registry
from tests import sockets
from tests.control_plane.relay_harness import ROSTER, allow_all, entry
from tests.sockets import on_loop

FILE = 'name = "relay-1"\nlisten = "127.0.0.1:1"\ndiscovery = "127.0.0.1:2"\nroster = "roster.json"\n'


def test_file_sets_addresses_and_limits(tmp_path: Path) -> None:
    file = tmp_path / "relay.toml"
    file.write_text(FILE + "[limits]\nwholes_per_s = 7\n")
    config = load(str(file))
    assert (config.listen, config.discovery) == (("127.0.0.1", 1), ("127.0.0.1", 2))
    assert config.roster == str(tmp_path / "roster.json")
    assert config.limits == replace(Limits(), snapshots_per_s=7)


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ('name = "relay-1"', 'name = ""', "name: expected 1 to 64 printable characters, found ''"),
        ('listen = "127.0.0.1:1"', 'listen = "here"', "listen: expected host:port, found 'here'"),
        ('discovery = "127.0.0.1:2"\n', "", "discovery: expected host:port, found None"),
        ('roster = "roster.json"', "roster = 3", "roster: expected the path of a file, found 3"),
        ("roster =", "rooster =", "rooster: unknown; expected one of name, listen"),
        ("name =", "limits = 3\nname =", "limits: expected a table, found 3"),
        ("name =", "limits.slow_s = 0\nname =", "limits: slow_s: expected a whole number from 1 to 60, found 0"),
        ("name =", "limits.fast_s = 0\nname =", "limits: fast_s: unknown; expected one of connections"),
        ("name =", "=", "not TOML"),
    ],
)
def test_error_names_file_key_and_what_was_expected(tmp_path: Path, old: str, new: str, message: str) -> None:
    file = tmp_path / "relay.toml"
    file.write_text(FILE.replace(old, new))
    with pytest.raises(ConfigError) as raised:
        load(str(file))
    assert str(raised.value).startswith(f"{file}: ") and message in str(raised.value)


@on_loop
async def test_relay_process_starts_shows_its_state_and_exits(tmp_path: Path) -> None:
    registry = Registry(EventLog())
    registry.add_entry(entry(0))
    listener = await registry.open_listener("relay", lambda name: ("127.0.0.1", 9000), allow_all)
    assert listener.address is not None
    reserved = reserve_port()
    here = f"127.0.0.1:{reserved.getsockname()[1]}"
    file, roster = tmp_path / "relay.toml", tmp_path / "roster.json"
    text = FILE.replace("127.0.0.1:1", here).replace("127.0.0.1:2", f"127.0.0.1:{listener.address[1]}")
    file.write_text(text + "[limits]\nconnections = 100\n")

    def command(*words: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run([*sockets.GATEWAY_COMMAND, "relay", *words], capture_output=True, text=True, timeout=20)

    before_us = now_us()
    missing = await asyncio.to_thread(command, str(file))
    assert missing.returncode == 2 and f"{roster}: No such file" in missing.stderr
    assert (await asyncio.to_thread(command, "show")).returncode == 2
    roster.write_bytes(ROSTER)
    process = await asyncio.create_subprocess_exec(
        *sockets.GATEWAY_COMMAND, "relay", str(file), stderr=asyncio.subprocess.PIPE
    )
    try:
        assert process.stderr is not None
        line = (await process.stderr.readline()).decode()
        assert "relay: started, name=relay-1 roster=" in line and "gateways=3" in line
        while '"ready": true' not in (shown := await asyncio.to_thread(command, "show", here)).stdout:
            await asyncio.sleep(0.02)
        state = json.loads(shown.stdout)
        assert (state["name"], state["hosts"], state["roster"] in line) == ("relay-1", 1, True)
        assert state["version"] >= before_us, "an earlier process may have had the same index"
        roster.write_bytes(ROSTER.replace(b"g2", b"g3"))
        process.send_signal(signal.SIGHUP)
        assert "gateways=3" in (await process.stderr.readline()).decode()
        process.send_signal(signal.SIGTERM)
        rest = await process.stderr.read()
        assert await process.wait() == 0 and b"relay ends" in rest and b"Traceback" not in rest
        after_exit = await asyncio.to_thread(command, "show", here)
        assert after_exit.returncode == 1 and here in after_exit.stderr
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
        registry.close()
        reserved.close()
