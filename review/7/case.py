"""Clients pipeline requests, a large one last, and pause: the gateway stays within its memory limit."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from pathlib import Path

from parties import LOOPBACK, MIB, Discovery, Gateway, Host, Message, Trial, has_trouble, main, site_settings

MEMORY_MB = 128
CLIENTS = 10
SMALL_BYTES = 56 * 1024  # returned whole, as any body of at most 64 KiB
LARGE_BYTES = 32 * MIB
PIECE_BYTES = 64 * 1024
RECEIVE_BUFFER_BYTES = 64 * 1024
PROBE_REQUESTS = 120
QUIET_S = 1.0  # with no further request of the probing client
SMALL_BEFORE_LARGE = (1, 2)  # fewer small answers than the probing client got before its connection was full
UNREAD_S = 6.0  # less than the 10 s for which a client may read nothing
READ_TIMEOUT_S = 3.0
WATCH_INTERVAL_S = 0.02


async def answer(host: Host, request: Message, writer: asyncio.StreamWriter) -> None:
    """Answer with as many bytes as the target asks for."""
    size = int(request.target.rpartition("=")[2])
    host.trial.record.add(f"{host.name}: run id={request.headers['x-call-id']} bytes={size}")
    await asyncio.sleep(0.01)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
    piece = b"a" * min(size, PIECE_BYTES)
    for _ in range(size // len(piece)):
        writer.write(piece)
        await writer.drain()


def build_request(id_: str, size: int) -> bytes:
    """Return a request of the class that is safe to repeat."""
    return (
        f"GET /search/k1?bytes={size} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id_}\r\n"
        f"X-Call-Class: search\r\nX-Budget-Ms: 750\r\n\r\n"
    ).encode()


async def connect(gateway: Gateway) -> socket.socket:
    """Return a client's connection."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (LOOPBACK, gateway.port))
    return sock


async def count_until_full(gateway: Gateway, ran: list[str]) -> int:
    """Return after how many small answers the gateway handles no more requests of a client that reads none."""
    loop = asyncio.get_running_loop()
    sock = await connect(gateway)
    with sock:
        requests = b"".join(build_request(f"f{number:04x}", SMALL_BYTES) for number in range(PROBE_REQUESTS))
        sending = asyncio.create_task(loop.sock_sendall(sock, requests))
        count, changed_s = 0, loop.time()
        while loop.time() - changed_s < QUIET_S:
            if len(ran) != count:
                count, changed_s = len(ran), loop.time()
            await asyncio.sleep(WATCH_INTERVAL_S)
        sending.cancel()
    return count


async def run_client(trial: Trial, gateway: Gateway, number: int, small_answers: int) -> None:
    """Ask for small answers and a large one at once; read nothing for a while if there is trouble, then all."""
    loop = asyncio.get_running_loop()
    sock = await connect(gateway)
    with sock:
        requests = [build_request(f"{number:04x}{count:04x}", SMALL_BYTES) for count in range(small_answers)]
        requests.append(build_request(f"{number:04x}ffff", LARGE_BYTES))
        await loop.sock_sendall(sock, b"".join(requests))
        trial.record.add(f"client {number}: sent requests={len(requests)}")
        if has_trouble():
            await asyncio.sleep(UNREAD_S)
        received = 0
        while received < small_answers * SMALL_BYTES + LARGE_BYTES:
            try:
                data = await asyncio.wait_for(loop.sock_recv(sock, PIECE_BYTES), READ_TIMEOUT_S)
            except TimeoutError:
                break
            if not data:
                break
            received += len(data)
        trial.record.add(f"client {number}: read bytes={received}")


async def case(trial: Trial) -> list[str]:
    """Run the clients and watch the memory of the gateway."""
    ran: list[str] = []

    async def run(host: Host, request: Message, writer: asyncio.StreamWriter) -> None:
        ran.append(request.headers["x-call-id"])
        await answer(host, request, writer)

    hosts = [Host(trial, f"s-{number}", run) for number in range(4)]
    for host in hosts:
        await host.start()
    discovery = Discovery(trial, hosts)
    await discovery.start()
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 384}
    gateway = Gateway(trial, trial.config(discovery, site_settings(), limits=limits))
    gateway.start()
    await gateway.wait_until_ready()
    full = await count_until_full(gateway, ran)
    trial.record.add(f"client: a connection is full after small_answers={full}")
    clients = [
        asyncio.create_task(run_client(trial, gateway, number, full - SMALL_BEFORE_LARGE[number % 2]))
        for number in range(CLIENTS)
    ]
    peak_mb, logged_mb = 0.0, 0.0
    while peak_mb <= MEMORY_MB and not all(client.done() for client in clients):
        peak_mb = max(peak_mb, gateway.resident_mb())
        if peak_mb > logged_mb + 8:
            logged_mb = peak_mb
            trial.record.add(f"platform: resident_mb={peak_mb:.0f} limit_mb={MEMORY_MB}")
        await asyncio.sleep(WATCH_INTERVAL_S)
    for client in clients:
        client.cancel()
        with contextlib.suppress(asyncio.CancelledError, OSError):
            await client
    trial.record.add(f"platform: peak resident_mb={peak_mb:.1f} limit_mb={MEMORY_MB}")
    if peak_mb > MEMORY_MB:
        return [f"the gateway holds {peak_mb:.0f} MB, its limit is {MEMORY_MB} MB: the platform kills it"]
    if gateway.has_ended:
        return ["the gateway has ended"]
    return []


if __name__ == "__main__":
    main(case, str(Path(__file__).parent))
