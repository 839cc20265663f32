"""Load on a gateway from a process of its own, so that it does not delay the clients whose answers a test times.

    python -m tests.resource_limits.load KIND PORT CLIENTS

Runs until it is terminated. The kinds are the functions of LOADS: what one client does, again and again.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import cache
from typing import Final

import uvloop

KIB: Final = 1024
PIPELINED: Final = 20
STAY_S: Final = 0.002
SOUND_HEAD: Final = (
    "GET /search/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: b\r\nX-Call-Id: %016x\r\nX-Call-Class: search\r\n"
    "X-Caller: acme\r\nX-Budget-Ms: 750\r\n"
)
BODY_HEAD: Final = (
    "POST /transfer/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: b\r\nX-Call-Id: %016x\r\nX-Call-Class: transfer\r\n"
    "X-Caller: acme\r\nX-Budget-Ms: 3000\r\n"
)
UNSOUND: Final = b"unsound\r\n\r\n"


def new_id() -> int:
    """Return an id that no other request has."""
    return random.getrandbits(64)


@cache
def tiny_chunks(size: int, body_bytes: int) -> bytes:
    """Return a chunked body in chunks of `size` bytes, without the last chunk."""
    return (b"%x\r\n" % size + b"x" * size + b"\r\n") * (body_bytes // size)


class LoadClient:
    """One connection of the load."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.loop = asyncio.get_running_loop()
        self.sock = socket.socket()
        self.sock.setblocking(False)

    async def connect(self) -> None:
        """Connect to the gateway."""
        await self.loop.sock_connect(self.sock, ("127.0.0.1", self.port))

    async def send(self, data: bytes) -> None:
        """Send all bytes."""
        await self.loop.sock_sendall(self.sock, data)

    async def read_until_end(self) -> None:
        """Read until the gateway ends the connection."""
        while await self.loop.sock_recv(self.sock, 64 * KIB):
            pass


@asynccontextmanager
async def connected(port: int) -> AsyncIterator[LoadClient]:
    """Yield a connected client, which is closed at the end."""
    client = LoadClient(port)
    try:
        await client.connect()
        yield client
    finally:
        client.sock.close()


async def send_chunks_and_stop(port: int, size: int) -> None:
    """Send 60 kB in chunks of `size` bytes, stop before the end and stay until the error."""
    async with connected(port) as client:
        head = (BODY_HEAD % new_id()).encode() + b"Transfer-Encoding: chunked\r\n\r\n"
        await client.send(head + tiny_chunks(size, 60_000))
        await client.read_until_end()


async def send_chunks_endlessly(port: int, size: int) -> None:
    """Send chunks of `size` bytes at full speed until the gateway ends the connection."""
    async with connected(port) as client:
        await client.send((BODY_HEAD % new_id()).encode() + b"Transfer-Encoding: chunked\r\n\r\n")
        reading = asyncio.create_task(client.read_until_end())
        try:
            while not reading.done():
                await client.send(tiny_chunks(size, 60_000))
        finally:
            reading.cancel()


async def send_and_leave(port: int, is_reset: bool) -> None:
    """Pipeline sound requests and an unsound line on a new connection, and leave."""
    async with connected(port) as client:
        if is_reset:
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        sound = b"".join((SOUND_HEAD % new_id()).encode() + b"\r\n" for _ in range(PIPELINED))
        await client.send(sound + UNSOUND)
        await asyncio.sleep(STAY_S)


async def send_half_body(port: int) -> None:
    """Send half of a large body and stay until the error."""
    async with connected(port) as client:
        await client.send((BODY_HEAD % new_id()).encode() + b"Content-Length: 1048576\r\n\r\n" + bytes(512 * KIB))
        await client.read_until_end()


async def read_slowly(port: int) -> None:
    """Read a response at 64 KiB a second."""
    async with connected(port) as client:
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 * KIB)
        await client.send((SOUND_HEAD % new_id()).encode() + b"\r\n")
        while await client.loop.sock_recv(client.sock, 6 * KIB):
            await asyncio.sleep(0.1)


async def pipeline_unsound(port: int) -> None:
    """Pipeline requests that are rejected, under ever new names, until the gateway ends the connection."""
    async with connected(port) as client:
        reading = asyncio.create_task(client.read_until_end())
        try:
            while not reading.done():
                lines = (f"GET /nowhere-{new_id()} HTTP/1.1\r\nHost: b\r\n\r\n" for _ in range(PIPELINED))
                await client.send("".join(lines).encode())
        finally:
            reading.cancel()


LOADS: Final[dict[str, Callable[[int], Awaitable[None]]]] = {
    "single-bytes-stopped": lambda port: send_chunks_and_stop(port, 1),
    "byte-pairs-stopped": lambda port: send_chunks_and_stop(port, 2),
    "single-bytes-endless": lambda port: send_chunks_endlessly(port, 1),
    "byte-pairs-endless": lambda port: send_chunks_endlessly(port, 2),
    "leave": lambda port: send_and_leave(port, False),
    "leave-by-reset": lambda port: send_and_leave(port, True),
    "half-body": send_half_body,
    "slow-reader": read_slowly,
    "unsound": pipeline_unsound,
}


async def repeat(kind: str, port: int) -> None:
    """Do the same again and again."""
    while True:
        with contextlib.suppress(OSError):
            await LOADS[kind](port)
        await asyncio.sleep(0.001)


async def main(kind: str, port: int, clients: int) -> None:
    """Run all clients until the process is terminated."""
    async with asyncio.TaskGroup() as group:
        for _ in range(clients):
            group.create_task(repeat(kind, port))


@asynccontextmanager
async def running_load(kind: str, port: int, clients: int) -> AsyncIterator[None]:
    """Run a load in a process of its own while in the context."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "tests.resource_limits.load", kind, str(port), str(clients)
    )
    try:
        yield
    finally:
        process.kill()
        await process.wait()


if __name__ == "__main__":
    uvloop.run(main(sys.argv[1], int(sys.argv[2]), int(sys.argv[3])))
