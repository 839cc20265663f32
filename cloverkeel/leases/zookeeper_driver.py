"""Carries out what leases ask of the coordination service, through kazoo. Imported only where it is the store.

One session of its own. Calls are asynchronous and of one session, so the service does them in the order in which they
were asked for; answers go to the loop. Nothing is tried again here.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any, Final

from kazoo.client import KazooClient
from kazoo.exceptions import KazooException, NodeExistsError, NoNodeError
from kazoo.retry import KazooRetry

from cloverkeel.core.log import log
from cloverkeel.leases.messages import LEASE_ID_BITS
from cloverkeel.leases.zookeeper_lease import CREATE, DELETE, NodeOutcome, NodeResponse

CONNECT: Final = {"max_tries": -1, "delay": 0.2, "backoff": 2, "max_jitter": 0.5, "max_delay": 2.0}
READ_PART: Final = 1.5  # kazoo reads for two thirds of the time-out that the service has granted

OnAnswer = Callable[[int, NodeResponse], None]


class LeaseNodeClient:
    def __init__(
        self, hosts: str, path: str, session_ms: int, number: int, nonce: int, on_answer: OnAnswer,
        on_lost: Callable[[], None],
    ) -> None:  # fmt: skip
        self.loop = asyncio.get_running_loop()
        self.path, self.session_ms = path, session_ms
        self.text = f"{number} {nonce:08x}".encode()
        self.on_answer, self.on_lost = on_answer, on_lost
        self.closed = False
        self.granted_ms = 0  # the session's time-out as the service granted it
        logging.getLogger("kazoo").setLevel(logging.CRITICAL)
        self.client = KazooClient(
            hosts, timeout=session_ms / 1000, connection_retry=KazooRetry(**CONNECT),
            command_retry=KazooRetry(max_tries=0),
        )  # fmt: skip
        self.client.add_listener(self.on_state)
        self.note_granted()

    def note_granted(self) -> None:
        """Guards against a service that grants less than was asked for: kazoo tells of it nowhere else."""
        connection: Any = self.client._connection
        connect = connection._connect

        def noted(*arguments: Any) -> Any:
            read_s, connect_s = connect(*arguments)
            self.granted_ms = round(read_s * READ_PART)
            return read_s, connect_s

        connection._connect = noted

    def start(self) -> None:
        self.client.start_async()

    def close(self) -> None:
        """End the session, and its nodes with it; nothing waits for that."""
        self.closed = True

        def end() -> None:
            try:
                self.client.stop()
                self.client.close()
            except Exception as error:
                log(f"duties: the session's end: {error!r}")

        import threading

        threading.Thread(target=end, name="duties-end", daemon=True).start()

    def node(self, duty: int) -> str:
        return f"{self.path}/{duty:0{LEASE_ID_BITS // 4}x}"

    # From kazoo's threads

    def on_state(self, state: str) -> None:
        if state == "LOST":
            self.post(self.on_lost)

    def post(self, what: Callable[..., None], *values: Any) -> None:
        if not self.closed:
            try:
                self.loop.call_soon_threadsafe(what, *values)
            except RuntimeError:
                self.closed = True  # the loop has ended

    def tell(self, duty: int, answer: NodeResponse) -> None:
        self.post(self.on_answer, duty, answer)

    # Asked on the loop

    def ask(self, duty: int, what: str, round_: int) -> None:
        path = self.node(duty)
        try:
            if what == CREATE:
                made = self.client.create_async(path, self.text, ephemeral=True, makepath=True, include_data=True)
                made.rawlink(lambda found: self.on_created(duty, round_, found))
            elif what == DELETE:
                self.client.get_async(path).rawlink(lambda found: self.on_found_to_delete(duty, found))
            else:
                self.client.set_async(path, self.text).rawlink(lambda found: self.on_written(duty, round_, found))
        except KazooException:
            self.tell(duty, NodeResponse(round_, NodeOutcome.FAILED))

    def on_created(self, duty: int, round_: int, found: Any) -> None:
        try:
            _, stat = found.get()
            self.tell(duty, self.judged(round_, self.text, stat))
        except NodeExistsError:
            self.client.get_async(self.node(duty)).rawlink(lambda read: self.on_read(duty, round_, read))
        except Exception:
            self.tell(duty, NodeResponse(round_, NodeOutcome.FAILED))

    def on_read(self, duty: int, round_: int, found: Any) -> None:
        """Somebody's node is there: perhaps our own, made by a create whose answer was lost. A write tells."""
        try:
            data, stat = found.get()
        except NoNodeError:
            self.tell(duty, NodeResponse(round_, NodeOutcome.NONE))
            return
        except Exception:
            self.tell(duty, NodeResponse(round_, NodeOutcome.FAILED))
            return
        answer = self.judged(round_, data, stat)
        if answer.node is NodeOutcome.MINE:
            self.client.set_async(self.node(duty), self.text).rawlink(
                lambda written: self.on_written(duty, round_, written)
            )
        else:
            self.tell(duty, answer)

    def on_written(self, duty: int, round_: int, found: Any) -> None:
        try:
            self.tell(duty, self.judged(round_, self.text, found.get()))
        except NoNodeError:
            self.tell(duty, NodeResponse(round_, NodeOutcome.NONE))
        except Exception:
            self.tell(duty, NodeResponse(round_, NodeOutcome.FAILED))

    def on_found_to_delete(self, duty: int, found: Any) -> None:
        """Only our own, and only as it was read."""
        try:
            data, stat = found.get()
            if self.judged(0, data, stat).node is NodeOutcome.MINE:
                self.client.delete_async(self.node(duty), version=stat.version)
        except Exception:
            return  # it is gone, or ends with the session

    def judged(self, round_: int, data: bytes, stat: Any) -> NodeResponse:
        session = self.client.client_id[0] if self.client.client_id else 0
        number, _, _ = data.partition(b" ")
        if stat.ephemeralOwner == session and data == self.text and self.granted_ms >= self.session_ms:
            return NodeResponse(round_, NodeOutcome.MINE, stat.czxid)
        return NodeResponse(round_, NodeOutcome.OTHERS, stat.czxid, int(number) if number.isdigit() else -1)
