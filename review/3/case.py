"""Hosts send a second copy right behind a large good answer; the client must get the good answer whole."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Final

FOLDER: Final = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

ANSWERS: Final = 40
ANSWER_BYTES: Final = 2_000_000  # answers reach 32 MB
CHUNK_BYTES: Final = 64 * 1024
BUDGET_MS: Final = 750
LAST_BYTE_S: Final = 10.0


async def answer_twice(writer: asyncio.StreamWriter, request: standins.Message) -> None:
    """Answer with a large chunked body; with trouble, a second copy follows right behind."""
    call_id = request.headers["x-call-id"].encode()
    body = (call_id * (ANSWER_BYTES // len(call_id) + 1))[:ANSWER_BYTES]
    chunks = [body[first : first + CHUNK_BYTES] for first in range(0, ANSWER_BYTES, CHUNK_BYTES)]
    framed = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + framed + b"0\r\n\r\n"
    writer.write(answer * 2 if standins.has_trouble() else answer)


async def read_chunked(reader: asyncio.StreamReader) -> tuple[int, bool]:
    """Return the size of a chunked body, and whether it came whole."""
    size = 0
    while True:
        line = await reader.readline()
        if not line:
            return size, False
        length = int(line, 16)
        try:
            await reader.readexactly(length + len(b"\r\n"))
        except asyncio.IncompleteReadError as error:
            return size + len(error.partial), False
        if length == 0:
            return size, True
        size += length


async def ask(record: standins.Record, port: int, name: str) -> str | None:
    """Ask once; return how the answer was not whole, None if it was."""
    reader, writer = await asyncio.open_connection(standins.LOOPBACK, port, limit=4 * CHUNK_BYTES)
    try:
        writer.write(standins.request("search", name, BUDGET_MS))
        async with asyncio.timeout(LAST_BYTE_S):
            start, headers = await standins.read_head(reader)
            if headers.get("transfer-encoding") != "chunked":
                raise standins.CouldNotRunError(start)
            size, is_whole = await read_chunked(reader)
    except (OSError, asyncio.IncompleteReadError) as error:
        return f"{name}: {error!r}"
    finally:
        writer.close()
    record.add("client", "got", id=name, answer=start.split(" ")[1], bytes=size, whole=int(is_whole))
    return None if is_whole else f"{name}: the answer was cut off after {size} of {ANSWER_BYTES} bytes"


async def scenario(folder: Path, record: standins.Record) -> list[str]:
    """Play the case."""
    hosts = [standins.Host(f"s-{number}", record, answer=answer_twice) for number in range(4)]
    for host in hosts:
        await host.start()
    registry = standins.Registry(hosts)
    discovery = standins.Discovery("discovery", registry, record)
    await discovery.start()
    gateway = standins.Gateway(folder, record, discovery.address, registry.body(None))
    try:
        await gateway.start()
        faults = [await ask(record, gateway.port, f"call-{number:04d}") for number in range(ANSWERS)]
    finally:
        await gateway.stop()
    return [fault for fault in faults if fault is not None]


if __name__ == "__main__":
    sys.exit(standins.play(FOLDER, scenario))
