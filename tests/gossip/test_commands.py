"""`python -m cloverkeel peers`, against scripted second addresses, and what the metrics line tells of gossip."""

from __future__ import annotations

import asyncio
import json
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import pytest

from benchmarks.fleet_logs import Count, table
from cloverkeel.cli.command_line import main as program
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
    """Return the answer of one gateway to PEERS."""
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
def answering(*lines: str) -> Iterator[str]:
    """Second addresses that each give one line to any call; "" where nobody listens."""
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in lines]
    at = ",".join(f"127.0.0.1:{one.getsockname()[1]}" for one in listeners)

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
    for one, line in zip(listeners, lines, strict=True):
        if not line:
            one.close()
    for thread in threads:
        thread.start()
    try:
        yield at
    finally:
        for one in listeners:
            if one.fileno() >= 0:
                one.shutdown(socket.SHUT_RDWR)
                one.close()
        for thread in threads:
            thread.join()


def test_show_lists_who_hears_whom_and_where_gateways_differ(capsys: pytest.CaptureFixture[str]) -> None:
    one = status_of(0, {"1": "alive", "2": "gone"}, {"abc": True})
    other = status_of(1, {"0": "alive", "2": "alive"}, {"abc": False})
    with answering(f"ACK {json.dumps(one)}", f"ACK {json.dumps(other)}") as at:
        assert main(["show", "--at", at]) == 0
    said = capsys.readouterr().out
    assert "gateway 2: gone for 0, heard by 1" in said
    assert "host abc: in doubt at 0, not at 1" in said
    assert find_differences({"a": other}) == []


def test_a_gateway_that_shares_nothing_or_does_not_answer_is_named(capsys: pytest.CaptureFixture[str]) -> None:
    with answering("NAK what is PEERS", "") as at:
        assert main(["show", "--json", "--at", at]) == 1
    wrong = json.loads(capsys.readouterr().out)["wrong"]
    assert "nothing is shared here" in wrong[0] and "no answer" in wrong[1]
    assert program(["peers", "show", "--at", "nowhere"]) == 2
    assert "host:port" in capsys.readouterr().err


def test_the_table_has_no_keys_and_says_so() -> None:
    assert parse({"sharing": {}}, "o.toml").gossip == GossipOptions()
    with pytest.raises(ConfigError, match="o.toml: sharing: gossip: unknown; expected no keys"):
        parse({"sharing": {"gossip": 1}}, "o.toml")


def test_metrics_of_a_fleet_are_added_up() -> None:
    count = Count()
    for suspected in (1, 2):
        tally = GatewayMetrics(1)
        tally.received_by_class[0] = 5
        tally.gossip = [suspected, 3, 1, 2, 40, 2_000]
        line = tally.format_line(1_700_000_000_000_000, (0.0, 0.0), 0, 0)
        assert line is not None
        count.read([f"0.100 cloverkeel: {line}"])
        tally.reset()
        assert tally.received_before_reset == 5
    ((_, second),) = count.seconds.items()
    assert second.sharing == [3, 6, 2, 4, 80, 4_000] and not count.unread
    assert "in doubt 3, told 6, 4000 bytes so far" in "".join(table(count, False, 0, 9))


@on_loop
async def test_a_process_that_begins_has_no_tokens_though_its_socket_is_anothers() -> None:
    """While its gateway is replaced the old process has the address: nothing is saved up twice meanwhile."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as old:
        old.bind(("127.0.0.1", 0))
        at = "{}:{}".format(*old.getsockname())
        raw = configuration("127.0.0.1:9", peers=True) | {"peer_listen": at, "peers": [at, "127.0.0.1:9"]}
        raw["settings"] |= {"balancers": 2, "index": 0}
        program = assemble(parse_config(raw), Options(gossip=GossipOptions()))
        try:
            before = program.gateway.balancer.retry_token_state(now_us())[0]
            program.start()
            await asyncio.sleep(0)
            assert program.datagrams is not None and program.datagrams.transport is None
            assert before > MAX_SAVED_TOKENS and program.gateway.balancer.retry_token_state(now_us()) == (0.0, False)
        finally:
            program.close()
