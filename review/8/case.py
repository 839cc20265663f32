"""The process is replaced while discovery is down: a host whose drain the gateway was told gets nothing new."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from parties import (
    LOOPBACK,
    CannotRunError,
    Discovery,
    Gateway,
    Host,
    Message,
    Trial,
    build_response,
    free_port,
    has_trouble,
    main,
    read_message,
    site_settings,
)

DRAIN_S = 3.0
DOWN_S = 5.0
DOWN_FOR_S = 8.0
UPGRADE_S = 5.5
END_S = 16.0
YES_WITHIN_S = 6.0
BINDS_AFTER_YES_S = 2.0
GRACE_S = 1.0 + 0.05  # the settings' grace, and 50 ms on sockets
INTERVAL_S = 0.04
KILL_AFTER_S = 3.7


async def send_requests(trial: Trial, gateway: Gateway) -> None:
    """Send requests one after another, each on a new connection."""
    number = 0
    while True:
        number += 1
        id_ = f"e{number:04d}"
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, gateway.port)
            writer.write(
                f"GET /search/k{number} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id_}\r\n"
                f"X-Call-Class: search\r\nX-Budget-Ms: 750\r\n\r\n".encode()
            )
            reply = await read_message(reader)
            trial.record.add(f"client: answer id={id_} status={reply.status}")
            writer.close()
        except (OSError, asyncio.IncompleteReadError) as error:
            trial.record.add(f"client: no answer id={id_} error={error!r}")
        await asyncio.sleep(INTERVAL_S)


async def replace_process(trial: Trial, old: Gateway) -> float:
    """Replace the process as the operators' page says; return when the new one said yes."""
    new = Gateway(trial, old.config, f"{LOOPBACK}:{free_port()}", old)
    new.start()
    started_s = trial.record.now_s()
    while not (await new.call("STATUS")).startswith("ACK"):
        if trial.record.now_s() > started_s + YES_WITHIN_S:
            raise CannotRunError(new.log_text())
        await asyncio.sleep(0.1)
    yes_s = trial.record.now_s()
    trial.record.add("platform: the new process says yes")
    old.signal(signal.SIGTERM)
    return yes_s


async def case(trial: Trial) -> list[str]:
    """Let a host drain, take discovery down, and replace the process."""
    runs: list[tuple[float, str]] = []

    async def answer(host: Host, request: Message, writer: asyncio.StreamWriter) -> None:
        id_ = request.headers["x-call-id"]
        trial.record.add(f"{host.name}: got id={id_} status={host.status}")
        if host.status == "DRAINING":  # it stays up and answers what comes
            runs.append((trial.record.now_s(), id_))
        await asyncio.sleep(0.03)
        writer.write(build_response(id_.encode()))

    hosts = [Host(trial, f"s-{number}", answer) for number in range(4)]
    for host in hosts:
        await host.start()
    discovery = Discovery(trial, hosts)
    await discovery.start()
    old = Gateway(trial, trial.config(discovery, site_settings()), f"{LOOPBACK}:{free_port()}")
    old.start()
    await old.wait_until_ready()
    client = asyncio.create_task(send_requests(trial, old))
    begun_s = trial.record.now_s()

    async def wait_until(at_s: float) -> None:
        await asyncio.sleep(max(0.0, begun_s + at_s - trial.record.now_s()))

    await wait_until(DRAIN_S)
    discovery.change(hosts[0], "DRAINING")
    await wait_until(DOWN_S)
    told_s = discovery.told.get("s-0 DRAINING")
    if told_s is None:
        raise CannotRunError(old.log_text())
    if has_trouble():
        discovery.go_down(True)
    await wait_until(UPGRADE_S)
    yes_s = await replace_process(trial, old)
    await asyncio.sleep(KILL_AFTER_S)
    old.kill()
    await wait_until(DOWN_S + DOWN_FOR_S)
    if has_trouble():
        discovery.go_down(False)
    await wait_until(END_S)
    client.cancel()
    binds_s = max(told_s, yes_s + BINDS_AFTER_YES_S) + GRACE_S
    late = [(at_s, id_) for at_s, id_ in runs if told_s + GRACE_S < at_s < begun_s + UPGRADE_S or at_s > binds_s]
    trial.record.add(f"told_s={told_s:.2f} yes_s={yes_s:.2f} binds_s={binds_s:.2f} late={len(late)}")
    if not late:
        return []
    return [
        f"s-0 got {len(late)} requests later than its drain binds, the last {late[-1][0] - told_s:.1f} s after it was"
        f" told and {late[-1][0] - yes_s:.1f} s after the new process said yes"
    ]


if __name__ == "__main__":
    main(case, str(Path(__file__).parent))
