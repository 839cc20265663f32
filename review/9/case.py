"""A client that sends its requests at once: each gets its final answer within its time and half a second."""

from __future__ import annotations

import asyncio
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

REQUESTS = 16  # the page of limits: 16 on a connection
BUDGET_MS = 750
LATE_S = 0.5 + 0.05  # half a second after its time, and 50 ms on sockets
WORK_S = 0.1  # of the site's 57 to 105 ms
WARM_REQUESTS = 40


def build_request(id_: str) -> bytes:
    """Return a request of the class that is safe to repeat."""
    return (
        f"GET /search/k{id_} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id_}\r\nX-Call-Class: search\r\n"
        f"X-Call-Cost: 50000\r\nX-Budget-Ms: {BUDGET_MS}\r\n\r\n"
    ).encode()


async def case(trial: Trial) -> list[str]:
    """Send the requests at once, or one after another."""
    sent_s: dict[str, float] = {}  # when the client wrote the last byte, by id
    broken: list[str] = []

    async def answer(host: Host, request: Message, writer: asyncio.StreamWriter) -> None:
        id_, told_ms = request.headers["x-call-id"], int(request.headers["x-budget-ms"])
        left_s = sent_s[id_] + BUDGET_MS / 1000 - time.monotonic()
        trial.record.add(f"{host.name}: run id={id_} told_ms={told_ms} left_ms={left_s * 1000:.0f}")
        await asyncio.sleep(WORK_S)
        writer.write(build_response(f"answer to {id_}".encode()))

    hosts = [Host(trial, f"s-{number}", answer) for number in range(4)]
    for host in hosts:
        await host.start()
    discovery = Discovery(trial, hosts)
    await discovery.start()
    gateway = Gateway(trial, trial.config(discovery, site_settings()))
    gateway.start()
    await gateway.wait_until_ready()
    reader, writer = await asyncio.open_connection(LOOPBACK, gateway.port)

    async def read_answer(id_: str) -> None:
        reply = await read_message(reader)
        took_s = time.monotonic() - sent_s[id_]
        trial.record.add(f"client: answer id={id_} status={reply.status} after_ms={took_s * 1000:.0f}")
        if took_s > BUDGET_MS / 1000 + LATE_S:
            broken.append(
                f"id={id_}: answered {reply.status} after {took_s * 1000:.0f} ms, its time is {BUDGET_MS} ms"
            )

    def send(ids: list[str]) -> None:
        for id_ in ids:
            sent_s[id_] = time.monotonic()
        writer.write(b"".join(build_request(id_) for id_ in ids))
        trial.record.add(f"client: sent ids={','.join(ids)}")

    ids = [f"b{number:03d}" for number in range(REQUESTS)]
    batches = [[f"a{number:03d}"] for number in range(WARM_REQUESTS)]
    batches += [ids] if has_trouble() else [[id_] for id_ in ids]
    for batch in batches:
        send(batch)
        for id_ in batch:
            await read_answer(id_)
    writer.close()
    return broken


if __name__ == "__main__":
    main(case, str(Path(__file__).parent))
