"""Bodies in small chunks among plain traffic: each request gets its final answer in its time and half a second."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from pathlib import Path

from parties import (
    LOOPBACK,
    Discovery,
    Gateway,
    Host,
    Message,
    Trial,
    build_response,
    has_trouble,
    main,
    read_message,
    site_settings,
)

PLAIN_PER_S = 320.0  # the platform's 200 to 320 for a gateway
IDLE_CONNECTIONS = 30
SEED = 64
BODY_BYTES = 64 * 1024  # the most that a body holds
CHUNK_BYTES = 1
BODIES = 15
BODY_INTERVAL_S = 6.0  # plain traffic before each body
BUDGET_MS = 100  # a request with very little time left
LATE_S = 0.5 + 0.05  # half a second after its time, and 50 ms on sockets
WAIT_S = 3.0

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def answer(host: Host, request: Message, writer: asyncio.StreamWriter) -> None:
    """Answer after a short time."""
    id_ = request.headers["x-call-id"]
    if id_.startswith("p"):
        host.trial.record.add(f"{host.name}: run id={id_} body_bytes={len(request.body)}")
    await asyncio.sleep(0.03)
    writer.write(build_response(id_.encode()))


class PlainTraffic:
    """Clients that send small requests, one at a time on a connection, a fixed number a second."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.idle: list[Streams] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.sent = 0

    async def run(self) -> None:
        """Send until cancelled."""
        rng, loop = random.Random(SEED), asyncio.get_running_loop()
        next_s = loop.time()
        while True:
            next_s += rng.expovariate(PLAIN_PER_S)
            await asyncio.sleep(max(0.0, next_s - loop.time()))
            self.sent += 1
            task = asyncio.create_task(self.send(self.sent))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def send(self, number: int) -> None:
        """Send one request."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = (
                self.idle.pop() if self.idle else await asyncio.open_connection(LOOPBACK, self.gateway.port)
            )
            writer.write(
                f"GET /search/k{number % 500} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: q{number:06d}\r\n"
                f"X-Call-Class: search\r\nX-Budget-Ms: 750\r\n\r\n".encode()
            )
            await read_message(reader)
            if len(self.idle) < IDLE_CONNECTIONS:
                self.idle.append((reader, writer))
            else:
                writer.close()


async def send_body(trial: Trial, gateway: Gateway, number: int) -> str:
    """Send one request with a body, in small chunks if there is trouble; return what is wrong with its answer."""
    id_ = f"p{number}"
    size = CHUNK_BYTES if has_trouble() else BODY_BYTES
    chunk = b"%x\r\n%s\r\n" % (size, b"a" * size)
    head = (
        f"POST /hold/k{number} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id_}\r\nX-Call-Class: hold\r\n"
        f"X-Budget-Ms: {BUDGET_MS}\r\nIdempotency-Key: key{number}\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    request = head.encode() + chunk * (BODY_BYTES // size) + b"0\r\n\r\n"
    reader, writer = await asyncio.open_connection(LOOPBACK, gateway.port)
    writer.transport.set_write_buffer_limits(high=0)
    writer.write(request)
    await writer.drain()  # the kernel has taken the last byte
    sent_s = time.monotonic()
    trial.record.add(f"client: sent id={id_} bytes={len(request)} chunks={BODY_BYTES // size}")
    try:
        reply = await asyncio.wait_for(read_message(reader), WAIT_S)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        trial.record.add(f"client: no answer id={id_} error={error!r}")
        return f"id={id_}: no answer within {time.monotonic() - sent_s:.1f} s"
    took_s = time.monotonic() - sent_s
    trial.record.add(f"client: answer id={id_} status={reply.status} after_ms={took_s * 1000:.0f}")
    writer.close()
    if took_s > BUDGET_MS / 1000 + LATE_S:
        return f"id={id_}: answered {reply.status} after {took_s * 1000:.0f} ms, its time is {BUDGET_MS} ms"
    return ""


async def case(trial: Trial) -> list[str]:
    """Send plain traffic, and now and then a request with a body."""
    hosts = [Host(trial, f"s-{number}", answer) for number in range(6)]
    for host in hosts:
        await host.start()
    discovery = Discovery(trial, hosts)
    await discovery.start()
    gateway = Gateway(trial, trial.config(discovery, site_settings()))
    gateway.start()
    await gateway.wait_until_ready()
    traffic = PlainTraffic(gateway)
    running = asyncio.create_task(traffic.run())
    broken = []
    for number in range(BODIES):
        await asyncio.sleep(BODY_INTERVAL_S)
        broken.append(await send_body(trial, gateway, number))
    running.cancel()
    trial.record.add(f"clients: sent plain requests={traffic.sent}")
    return [wrong for wrong in broken if wrong]


if __name__ == "__main__":
    main(case, str(Path(__file__).parent))
