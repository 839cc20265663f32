"""A planned restart while a client takes a large answer: the gateway does not cut off what the host still gives."""

from __future__ import annotations

import asyncio
import signal
import socket
from pathlib import Path

from parties import (
    LOOPBACK,
    MIB,
    Discovery,
    Gateway,
    Host,
    Message,
    Trial,
    has_trouble,
    main,
    read_head,
    site_settings,
)

ANSWER_BYTES = 20 * MIB
PIECE_BYTES = 128 * 1024
RECEIVE_BUFFER_BYTES = 64 * 1024
PIECE_PAUSE_S = 0.0625  # 2 MiB a second
TERM_AFTER_S = 2.0  # from the first byte of the answer
KILL_AFTER_S = 10.0  # from SIGTERM; no sooner than 3.7 s with a longest deadline of 3 s


async def answer(host: Host, request: Message, writer: asyncio.StreamWriter) -> None:
    """Answer with a large body, as fast as it is taken."""
    id_ = request.headers["x-call-id"]
    host.trial.record.add(f"{host.name}: run id={id_}")
    await asyncio.sleep(0.06)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % ANSWER_BYTES)
    sent = 0
    try:
        while sent < ANSWER_BYTES:
            writer.write(b"a" * PIECE_BYTES)
            sent += PIECE_BYTES
            await writer.drain()
    except OSError:
        host.trial.record.add(f"{host.name}: connection ended id={id_} sent={sent} of {ANSWER_BYTES}")
        raise
    host.trial.record.add(f"{host.name}: answered id={id_}")


async def take_answer(trial: Trial, gateway: Gateway, begun: asyncio.Event) -> int:
    """Ask for a large answer, take it evenly, and return how many bytes of its body came."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (LOOPBACK, gateway.port))
    reader, writer = await asyncio.open_connection(sock=sock, limit=PIECE_BYTES)
    writer.write(
        b"GET /search/k1 HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: 5c2e\r\nX-Call-Class: search\r\n"
        b"X-Budget-Ms: 750\r\n\r\n"
    )
    trial.record.add("client: sent id=5c2e")
    head = await read_head(reader)
    trial.record.add(f"client: head id=5c2e status={head.status} length={head.headers.get('content-length')}")
    begun.set()
    received = 0
    try:
        while received < ANSWER_BYTES:
            data = await reader.read(PIECE_BYTES)
            if not data:
                break
            received += len(data)
            await asyncio.sleep(PIECE_PAUSE_S * len(data) / PIECE_BYTES)
    except OSError as error:
        trial.record.add(f"client: connection ended error={error!r}")
    trial.record.add(f"client: received={received} of {ANSWER_BYTES}")
    writer.close()
    return received


async def case(trial: Trial) -> list[str]:
    """Send SIGTERM in the middle of an answer."""
    hosts = [Host(trial, f"s-{number}", answer) for number in range(3)]
    for host in hosts:
        await host.start()
    discovery = Discovery(trial, hosts)
    await discovery.start()
    gateway = Gateway(trial, trial.config(discovery, site_settings()))
    gateway.start()
    await gateway.wait_until_ready()
    begun = asyncio.Event()
    client = asyncio.create_task(take_answer(trial, gateway, begun))
    await asyncio.wait_for(begun.wait(), TERM_AFTER_S)
    await asyncio.sleep(TERM_AFTER_S)
    loop = asyncio.get_running_loop()
    term_s = loop.time()
    if has_trouble():
        gateway.signal(signal.SIGTERM)
    while loop.time() < term_s + KILL_AFTER_S and not gateway.has_ended:
        await asyncio.sleep(0.01)
    ended_s = loop.time() - term_s
    trial.record.add(f"platform: gateway ended={gateway.has_ended} after_s={ended_s:.2f}")
    if has_trouble() and not gateway.has_ended:
        gateway.signal(signal.SIGKILL)
        return []  # what SIGKILL finds of a request that came before SIGTERM is not the gateway's loss
    received = await client
    if received < ANSWER_BYTES:
        return [f"the gateway ended {ended_s:.1f} s after SIGTERM with {ANSWER_BYTES - received} bytes not passed on"]
    return []


if __name__ == "__main__":
    main(case, str(Path(__file__).parent))
