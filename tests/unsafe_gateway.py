"""A gateway that violates the checker's rules: it retries any request after any failure, and ignores drains of hosts.

It replaces the real gateway in a scenario run, to show that the checker then finds violations.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
from pathlib import Path


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Return the head and the body of a message with a Content-Length."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.lower().split(b"\r\n")
    length = next((int(line[15:]) for line in lines if line.startswith(b"content-length:")), 0)
    return head, await reader.readexactly(length)


async def main() -> None:
    """Serve with the configuration of the file that LB_CONFIG names."""
    config = json.loads(Path(os.environ["LB_CONFIG"]).read_text())
    hosts = [entry["address"].split(":") for entry in config["known"]["endpoints"]]
    next_hosts = itertools.cycle(hosts)

    async def send_once(head: bytes, body: bytes) -> bytes:
        reader, writer = await asyncio.open_connection(*next(next_hosts))
        try:
            writer.write(head + body)
            async with asyncio.timeout(0.25):
                response_head, response_body = await read_message(reader)
            return response_head + response_body
        finally:
            writer.transport.abort()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head, body = await read_message(reader)
                if head.startswith(b"GET /health/ready"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    continue
                for _ in range(4):
                    try:
                        response = await send_once(head, body)
                        break
                    except (OSError, TimeoutError, asyncio.IncompleteReadError):
                        response = b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
                writer.write(response)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    host, _, port = config["listen"].partition(":")
    server = await asyncio.start_server(serve, host, int(port))
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
