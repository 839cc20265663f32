"""Random hosts and clients around one gateway: each client must get exactly its own response, and all of it.

    .venv-dev/bin/python -m benchmarks.response_soak [--seeds 1-10] [--requests 2000]

The hosts draw status, size and framing of each response, interim responses before it, bytes behind it and how all of
it is divided into writes. The clients draw whether they pipeline, read slowly, send a request in parts, expect
`100 Continue`, or leave. All draws come from the seed and the request's id. Bytes behind a response begin in its last
write: HTTP/1.1 cannot tell bytes that come later from the response to the next request.

Prints a line for each seed and each fault; exit code 1 if there is any fault.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
from collections import Counter
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Final

import uvloop

from tests.sockets import (
    Client,
    Exchange,
    RunningGateway,
    configuration,
    reply,
    request,
    running_gateway,
    scripted_server,
)

HOSTS: Final = 3
CLIENTS: Final = 8
MAX_REQUESTS_PER_CONNECTION: Final = 4
BODY_BYTES: Final = (0, 1, 1_000, 65_535, 65_536, 65_537, 200_000, 1_000_000)
BODY_WEIGHTS: Final = (1, 1, 4, 1, 1, 1, 4, 1)
FRAMINGS: Final = ("length", "length", "chunked", "chunked", "until-close")
STATUSES: Final = (200, 204, 304, 500)
STATUS_WEIGHTS: Final = (97, 1, 1, 1)  # few errors, so that no circuit breaker opens
MAX_CHUNK_BYTES: Final = 60_000
SLOW_READ_BYTES: Final = 50_000
SLOW_READ_INTERVAL_S: Final = 0.002
WRITE_INTERVAL_S: Final = 0.001
RESPONSE_TIMEOUT_S: Final = 20.0
REJECTED: Final = 503
ERROR_STATUSES: Final = (502, REJECTED, 504)
MIN_COMPLETE_FRACTION: Final = 0.5  # of the requests, so that a run of rejections does not pass
INTERIM: Final = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
OTHER_BODY: Final = b"#" * 150_000


@dataclass(slots=True)
class Result:
    """Counts of what was drawn and seen, and the faults found, one line each."""

    counts: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)


def chunked(body: bytes, rng: random.Random) -> bytes:
    """Return a body in chunks of random sizes."""
    framed = []
    begin = 0
    while begin < len(body):
        end = begin + rng.randint(1, MAX_CHUNK_BYTES)
        framed.append(b"%x\r\n%b\r\n" % (len(body[begin:end]), body[begin:end]))
        begin = end
    return b"".join(framed) + b"0\r\n\r\n"


class HostResponse:
    """The response that any host gives to a request, drawn from the seed and the request's id."""

    def __init__(self, seed: int, request_id: str) -> None:
        self.rng = rng = random.Random(f"{seed} {request_id}")
        self.status = rng.choices(STATUSES, STATUS_WEIGHTS)[0]
        size = rng.choices(BODY_BYTES, BODY_WEIGHTS)[0]
        pattern = request_id.encode()
        self.body = (pattern * (size // len(pattern) + 1))[:size]
        self.framing = rng.choice(FRAMINGS)
        self.interim_count = rng.choice((0, 0, 0, 1, 2))
        self.after = b"" if self.framing == "until-close" else self._draw_bytes_after()

    def _draw_bytes_after(self) -> bytes:
        other_chunked = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(OTHER_BODY, self.rng)
        choices = (
            b"", b"", self.encode(), self.encode(), reply(200, OTHER_BODY), other_chunked, reply(200, b"other"),
            reply(500, OTHER_BODY), INTERIM, b"HTTP/1.1 204 X\r\n\r\n", b"HTTP/1.1 200 X\r\nContent-Le", b"\x00~~",
        )  # fmt: skip
        return self.rng.choice(choices)

    def encode(self) -> bytes:
        """Return the response's own bytes."""
        if self.status in (204, 304):
            return b"HTTP/1.1 %d X\r\n\r\n" % self.status
        if self.framing == "length":
            return reply(self.status, self.body)
        head = b"HTTP/1.1 %d X\r\n" % self.status
        if self.framing == "chunked":
            return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(self.body, self.rng)
        return head + b"Connection: close\r\n\r\n" + self.body

    def writes(self) -> list[bytes]:
        """Return the response and the bytes behind it, divided at random; these begin in the last write of it."""
        own = INTERIM * self.interim_count + self.encode()
        cuts = sorted(self.rng.randrange(len(own)) for _ in range(self.rng.choice((0, 0, 1, 3))))
        late_bytes = self.rng.choice((0, 0, len(self.after) // 2))
        early_end = len(own) + len(self.after) - late_bytes
        data = own + self.after
        bounds = [0, *cuts, early_end, len(data)]
        return [data[begin:end] for begin, end in pairwise(bounds) if begin < end]


async def respond(seed: int, exchange: Exchange) -> None:
    """Write the drawn response of a request."""
    response = HostResponse(seed, exchange.message.headers["x-call-id"])
    for index, data in enumerate(response.writes()):
        if index and response.rng.random() < 0.5:
            await asyncio.sleep(WRITE_INTERVAL_S)
        if exchange.writer.is_closing():
            return  # the gateway has closed the connection because of earlier bytes
        exchange.respond(data)
    if response.framing == "until-close":
        exchange.writer.close()


class SoakClient:
    """One client connection that sends some requests and checks their responses."""

    def __init__(self, seed: int, number: int, result: Result) -> None:
        self.seed, self.number, self.result = seed, number, result
        self.rng = random.Random(f"{seed} client {number}")
        self.is_slow = self.rng.random() < 0.2
        self.leaves = self.rng.random() < 0.1
        self.pipelines = self.rng.random() < 0.5
        self.expects_continue = self.rng.random() < 0.3
        self.ids = [
            f"{seed:04x}{number:06x}{index:06x}" for index in range(self.rng.randint(1, MAX_REQUESTS_PER_CONNECTION))
        ]

    def encode_request(self, id_: str) -> bytes:
        """Return a request with this id."""
        if self.rng.random() < 0.5:
            return request("search", x_call_id=id_)
        body = b"b" * self.rng.choice((0, 3, 100_000))
        expect = "100-continue" if self.expects_continue and body else ""
        return request("transfer", body, x_call_id=id_, expect=expect)

    async def run(self, run: RunningGateway) -> None:
        """Send the requests and check the responses."""
        client = await run.connect()
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await self.exchange(client)
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError, ValueError) as error:
            self.result.faults.append(f"client {self.number}: {error!r}")
        finally:
            client.close()

    async def exchange(self, client: Client) -> None:
        """Send and receive, all requests at once or one after another."""
        sending = asyncio.create_task(self.send(client, self.ids)) if self.pipelines else None
        for index, id_ in enumerate(self.ids):
            if sending is None:
                await self.send(client, [id_])
            if self.leaves and index == len(self.ids) - 1:
                await asyncio.sleep(self.rng.random() * 0.01)
                self.result.counts["left"] += 1
                break
            await self.check_response(client, id_)
        if sending is not None:
            await sending

    async def send(self, client: Client, ids: list[str]) -> None:
        """Write requests, divided at random."""
        data = b"".join(self.encode_request(id_) for id_ in ids)
        cut = self.rng.randrange(len(data)) if self.rng.random() < 0.5 else len(data)
        client.send(data[:cut])
        if data[cut:]:
            await asyncio.sleep(WRITE_INTERVAL_S)
            client.send(data[cut:])

    async def check_response(self, client: Client, id_: str) -> None:
        """Read the final response to a request and compare it with the one that hosts give."""
        status, body = await self.read_response(client)
        expected = HostResponse(self.seed, id_)
        self.result.counts[f"status {status}"] += 1
        if status == REJECTED and expected.status == 200:
            self.result.counts["rejected"] += 1  # shed: a final response, which says that nothing was done
        elif expected.status == 200 and (status != 200 or body != expected.body):
            self.result.faults.append(
                f"{id_}: status {status}, {len(body)} of {len(expected.body)} bytes, or others'"
            )
        elif expected.status != 200 and status not in ERROR_STATUSES:
            self.result.faults.append(f"{id_}: status {status} for a host's {expected.status}")

    async def read_response(self, client: Client) -> tuple[int, bytes]:
        """Read a final response; `100 Continue` may come before it, if expected."""
        while True:
            head = (await client.reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            status = int(head.split(" ")[1])
            if status >= 200:
                break
            if not self.expects_continue:
                raise ValueError(head)
        if "transfer-encoding: chunked" not in head:
            length = int(head.partition("content-length: ")[2].partition("\r\n")[0])
            return status, await self.read_bytes(client, length)
        body = b""
        while size := int(await client.reader.readuntil(b"\r\n"), 16):
            body += (await self.read_bytes(client, size + 2))[:-2]
        await client.reader.readexactly(2)
        return status, body

    async def read_bytes(self, client: Client, count: int) -> bytes:
        """Read bytes, slowly if the client is slow."""
        if not self.is_slow:
            return await client.reader.readexactly(count)
        parts = []
        while count:
            parts.append(await client.reader.readexactly(min(count, SLOW_READ_BYTES)))
            count -= len(parts[-1])
            await asyncio.sleep(SLOW_READ_INTERVAL_S)
        return b"".join(parts)


async def soak(seed: int, requests: int) -> Result:
    """Run clients until about `requests` requests were sent; return what was seen."""
    result = Result()
    numbers = iter(range(1, requests))
    sent = 0

    async def run_clients(run: RunningGateway) -> None:
        nonlocal sent
        while sent < requests:
            client = SoakClient(seed, next(numbers), result)
            sent += len(client.ids)
            await client.run(run)

    def script(exchange: Exchange) -> asyncio.Future[None]:
        return asyncio.ensure_future(respond(seed, exchange))

    async with scripted_server(script) as a, scripted_server(script) as b, scripted_server(script) as c:
        config = configuration(a, b, c, secondCopies=False, maxAttempts=HOSTS)
        async with running_gateway(config) as run:
            await asyncio.gather(*(run_clients(run) for _ in range(CLIENTS)))
            while run.gateway.requests.by_key:
                await asyncio.sleep(WRITE_INTERVAL_S)
            result.counts["host connections"] = run.pool.counts.opened
            result.counts["reused"] = run.pool.counts.reused
    if result.counts["status 200"] < requests * MIN_COMPLETE_FRACTION:
        result.faults.append(f"only {result.counts['status 200']} of {sent} requests got a host's response")
    return result


def parse_seeds(text: str) -> range:
    """Return the seeds of `N` or `N-M`."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def main() -> int:
    """Run each seed and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=parse_seeds, default=parse_seeds("1-10"))
    parser.add_argument("--requests", type=int, default=2000)
    options = parser.parse_args()
    fault_count = 0
    for seed in options.seeds:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            result = runner.run(soak(seed, options.requests))
        fault_count += len(result.faults)
        print(f"seed {seed}: {len(result.faults)} faults, {dict(sorted(result.counts.items()))}")
        for fault in result.faults:
            print(f"  {fault}")
    return 1 if fault_count else 0


if __name__ == "__main__":
    sys.exit(main())
