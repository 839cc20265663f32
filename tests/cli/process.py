"""Helpers for tests that run the gateway as a separate process: start, readiness, client connections."""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, Final

from standins.parties.network import reserve_port
from tests import sockets
from tests.sockets import Client

ROOT: Final = Path(__file__).parent.parent.parent
READY: Final = b"GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n"


async def start(environment: dict[str, str], stderr: int = asyncio.subprocess.PIPE) -> asyncio.subprocess.Process:
    """Start the gateway process."""
    return await asyncio.create_subprocess_exec(
        *sockets.GATEWAY_COMMAND,
        cwd=ROOT,
        env=os.environ | environment,
        stdout=asyncio.subprocess.PIPE,
        stderr=stderr,
    )


@asynccontextmanager
async def program(
    folder: Path, config: dict[str, Any], stderr: int = asyncio.subprocess.PIPE, **environment: str
) -> AsyncIterator[tuple[asyncio.subprocess.Process, int]]:
    """Yield the gateway process, once it is ready, and its port."""
    with reserve_port() as reserved:
        port: int = reserved.getsockname()[1]
        file = folder / "config.json"
        file.write_text(json.dumps(config | {"listen": f"127.0.0.1:{port}"}))
        process = await start({"LB_CONFIG": str(file)} | environment, stderr)
        try:
            while (await ask(port, READY)) != 200:
                assert process.returncode is None
                await asyncio.sleep(0.01)
            yield process, port
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()


async def connect(port: int) -> Client:
    """Open a client connection to this port."""
    return Client(*await asyncio.open_connection("127.0.0.1", port))


async def ask(port: int, data: bytes) -> int:
    """Send one request on a new connection; return the HTTP status, or 0 if the connection fails."""
    try:
        client = await connect(port)
        status = (await client.send_request(data)).status
    except OSError:
        return 0
    client.close()
    return status
