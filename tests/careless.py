"""A gateway that breaks the rules, as a program: it sends anything again after any failure, and hears of no drain.

Started in place of the real one to show that a play with it is not passed.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
from pathlib import Path


async def read(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.lower().split(b"\r\n")
    length = next((int(line[15:]) for line in lines if line.startswith(b"content-length:")), 0)
    return head, await reader.readexactly(length)


async def main() -> None:
    config = json.loads(Path(os.environ["LB_CONFIG"]).read_text())
    hosts = [entry["address"].split(":") for entry in config["known"]["endpoints"]]
    turn = itertools.cycle(hosts)

    async def once(head: bytes, body: bytes) -> bytes:
        reader, writer = await asyncio.open_connection(*next(turn))
        try:
            writer.write(head + body)
            async with asyncio.timeout(0.25):
                answer, rest = await read(reader)
            return answer + rest
        finally:
            writer.transport.abort()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head, body = await read(reader)
                if head.startswith(b"GET /health/ready"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    continue
                for _ in range(4):
                    try:
                        answer = await once(head, body)
                        break
                    except (OSError, TimeoutError, asyncio.IncompleteReadError):
                        answer = b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
                writer.write(answer)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    host, _, port = config["listen"].partition(":")
    server = await asyncio.start_server(serve, host, int(port))
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
