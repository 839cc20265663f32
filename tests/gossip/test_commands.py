"""The command `peers` against scripted admin addresses, gossip in the metrics line, and retry tokens at the start."""

from __future__ import annotations

import asyncio
import json
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import pytest

from benchmarks.fleet_logs import FleetMetrics, format_table
from cloverkeel.cli.command_line import main as run_program
from cloverkeel.assembly import assemble
from cloverkeel.core.clock import now_us
from cloverkeel.core.config import ConfigError
from cloverkeel.core.config import parse as parse_config
from cloverkeel.core.options import GossipOptions, Options, parse
from cloverkeel.core.metrics import GatewayMetrics
from cloverkeel.gossip.commands import find_differences, main
from cloverkeel.gossip.retry_tokens import MAX_SAVED_TOKENS
from tests.sockets import configuration, on_loop


def status_of(gateway: int, peers: dict[str, str], hosts: dict[str, bool]) -> dict[str, Any]:
    """Return one gateway's answer to PEERS."""
    return {
        "gateway": gateway, "zone": 0, "incarnation": 7, "health": 0,
        "peers": {n: {"state": state, "heard_ms": 5, "incarnation": 7} for n, state in peers.items()},
        "hosts": [
            {"host": name, "good": 1.0, "bad": 2.0, "tellers": 2, "well": 0, "doubted": doubted, "left_ms": 900,
             "own": [0, 1]}
            for name, doubted in hosts.items()
        ],
        "sent": 3, "sent_bytes": 99, "came": 4, "budget": 16_000, "poor": 0, "dropped": {},
    }  # fmt: skip


@contextmanager
def serve_answers(*lines: str) -> Iterator[str]:
    """Yield admin addresses that each answer PEERS with one line; "" for an address where nothing listens."""
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in lines]
    addresses = ",".join(f"127.0.0.1:{listener.getsockname()[1]}" for listener in listeners)

    def serve(listener: socket.socket, line: str) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with connection:
                if connection.recv(64) == b"PEERS\n":
                    connection.sendall(line.encode() + b"\n")

    threads = [threading.Thread(target=serve, args=pair) for pair in zip(listeners, lines, strict=True) if pair[1]]
    for listener, line in zip(listeners, lines, strict=True):
        if not line:
            listener.close()
    for thread in threads:
        thread.start()
    try:
        yield addresses
    finally:
        for listener in listeners:
            if listener.fileno() >= 0:
                listener.shutdown(socket.SHUT_RDWR)
                listener.close()
        for thread in threads:
            thread.join()


def test_show_lists_differences_between_the_views_of_gateways(capsys: pytest.CaptureFixture[str]) -> None:
    first = status_of(0, {"1": "alive", "2": "gone"}, {"abc": True})
    second = status_of(1, {"0": "alive", "2": "alive"}, {"abc": False})
    with serve_answers(f"ACK {json.dumps(first)}", f"ACK {json.dumps(second)}") as addresses:
        assert main(["show", "--at", addresses]) == 0
    output = capsys.readouterr().out
    assert "gateway 2: gone for 0, heard by 1" in output
    assert "host abc: in doubt at 0, not at 1" in output
    assert find_differences({"a": second}) == []


def test_show_lists_gateways_without_gossip_or_without_an_answer(capsys: pytest.CaptureFixture[str]) -> None:
    with serve_answers("NAK what is PEERS", "") as addresses:
        assert main(["show", "--json", "--at", addresses]) == 1
    failures = json.loads(capsys.readouterr().out)["wrong"]
    assert "nothing is shared here" in failures[0] and "no answer" in failures[1]
    assert run_program(["peers", "show", "--at", "nowhere"]) == 2
    assert "host:port" in capsys.readouterr().err


def test_options_table_accepts_no_keys() -> None:
    assert parse({"sharing": {}}, "o.toml").gossip == GossipOptions()
    with pytest.raises(ConfigError, match="o.toml: sharing: gossip: unknown; expected no keys"):
        parse({"sharing": {"gossip": 1}}, "o.toml")


def test_gossip_figures_of_metrics_lines_are_added_up() -> None:
    fleet_metrics = FleetMetrics()
    for suspected in (1, 2):
        metrics = GatewayMetrics(1)
        metrics.received_by_class[0] = 5
        metrics.gossip = [suspected, 3, 1, 2, 40, 2_000]
        line = metrics.format_line(1_700_000_000_000_000, (0.0, 0.0), 0, 0)
        assert line is not None
        fleet_metrics.read_lines([f"0.100 cloverkeel: {line}"])
        metrics.reset()
        assert metrics.received_before_reset == 5
    ((_, second),) = fleet_metrics.figures_by_second.items()
    assert second.gossip == [3, 6, 2, 4, 80, 4_000] and not fleet_metrics.unreadable_line_count
    assert "suspected hosts 3, unconfirmed reports 6, 4000 bytes sent so far" in "".join(
        format_table(fleet_metrics, False, 0, 9)
    )


@on_loop
async def test_new_process_has_no_tokens_while_the_old_process_holds_the_address() -> None:
    """During an upgrade the old process keeps the address. Guards against two processes saving tokens meanwhile."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as old_socket:
        old_socket.bind(("127.0.0.1", 0))
        address = "{}:{}".format(*old_socket.getsockname())
        raw = configuration("127.0.0.1:9", peers=True) | {"peer_listen": address, "peers": [address, "127.0.0.1:9"]}
        raw["settings"] |= {"balancers": 2, "index": 0}
        program = assemble(parse_config(raw), Options(gossip=GossipOptions()))
        try:
            initial = program.gateway.balancer.retry_token_state(now_us())[0]
            program.start()
            await asyncio.sleep(0)
            assert program.datagrams is not None and program.datagrams.transport is None
            assert initial > MAX_SAVED_TOKENS and program.gateway.balancer.retry_token_state(now_us()) == (0.0, False)
        finally:
            program.close()
