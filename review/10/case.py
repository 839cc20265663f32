"""Clients that pause for some seconds while they take a large answer: each gets all of it."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

from parties import LOOPBACK, MIB, Discovery, Gateway, Host, Message, Trial, has_trouble, main, site_settings

ANSWER_BYTES = 12 * MIB
PIECE_BYTES = 64 * 1024
RECEIVE_BUFFER_BYTES = 64 * 1024
GROUPS, GROUP_CLIENTS = 6, 24
UNREAD_FROM_BYTES = 5 * MIB // 2
UNREAD_STEP_BYTES = 24 * 1024  # each client pauses with so many bytes more to read than the one before
PAUSE_S = 8.0  # the client may read nothing for 10 s
START_INTERVAL_S = 0.06
READ_TIMEOUT_S = 20.0


async def answer(host: Host, request: Message, writer: asyncio.StreamWriter) -> None:
    """Answer with a large body, as fast as it is taken."""
    id_ = request.headers["x-call-id"]
    host.trial.record.add(f"{host.name}: run id={id_}")
    await asyncio.sleep(0.02)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % ANSWER_BYTES)
    for _ in range(ANSWER_BYTES // PIECE_BYTES):
        writer.write(b"a" * PIECE_BYTES)
        await writer.drain()
    host.trial.record.add(f"{host.name}: answered id={id_}")


async def take_answer(trial: Trial, gateway: Gateway, number: int) -> str:
    """Ask for a large answer and take it with one pause; return what is wrong with what came."""
    loop = asyncio.get_running_loop()
    id_, pause_at = f"c{number:03d}", ANSWER_BYTES - UNREAD_FROM_BYTES - number * UNREAD_STEP_BYTES
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        await loop.sock_connect(sock, (LOOPBACK, gateway.port))
        request = (
            f"GET /search/k1 HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id_}\r\nX-Call-Class: search\r\n"
            f"X-Budget-Ms: 750\r\n\r\n"
        )
        await loop.sock_sendall(sock, request.encode())
        trial.record.add(f"client: sent id={id_}")
        received, body_bytes, head = 0, -1, b""
        is_paused, wrong = False, ""
        while body_bytes < 0 or received < body_bytes:
            try:
                data = await asyncio.wait_for(loop.sock_recv(sock, PIECE_BYTES), READ_TIMEOUT_S)
            except (OSError, TimeoutError) as error:
                wrong = f"id={id_}: {received} of {body_bytes} bytes came, then {type(error).__name__}"
                break
            if not data:
                wrong = f"id={id_}: {received} of {body_bytes} bytes came, then the connection was closed"
                break
            received += len(data)
            if body_bytes < 0:
                head, _, data = (head + data).partition(b"\r\n\r\n")
                trial.record.add(f"client: head id={id_} {head.splitlines()[0].decode()}")
                if not head.startswith(b"HTTP/1.1 200"):
                    return ""  # refused or failed: a final answer
                received, body_bytes = len(data), ANSWER_BYTES
            if has_trouble() and not is_paused and received >= pause_at:
                is_paused = True
                trial.record.add(f"client: pauses id={id_} received={received}")
                await asyncio.sleep(PAUSE_S)
        trial.record.add(f"client: received={received} id={id_}")
        return wrong


async def case(trial: Trial) -> list[str]:
    """Run the clients."""
    hosts = [Host(trial, f"s-{number}", answer) for number in range(4)]
    for host in hosts:
        await host.start()
    discovery = Discovery(trial, hosts)
    await discovery.start()
    gateway = Gateway(trial, trial.config(discovery, site_settings()))
    gateway.start()
    await gateway.wait_until_ready()
    wrong: list[str] = []
    for group in range(GROUPS):
        clients = []
        for position in range(GROUP_CLIENTS):
            number = position * GROUPS + group
            clients.append(asyncio.create_task(take_answer(trial, gateway, number)))
            await asyncio.sleep(START_INTERVAL_S)
        wrong += filter(None, await asyncio.gather(*clients))
    return wrong


if __name__ == "__main__":
    main(case, str(Path(__file__).parent))
