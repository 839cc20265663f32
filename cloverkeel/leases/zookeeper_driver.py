"""ZooKeeper client of the leases, based on kazoo. Imported only if ZooKeeper is the configured store.

The client has a session of its own. Calls are asynchronous and belong to one session, so the service executes them in
the order in which they were made. Responses are passed to the event loop; the client does not retry calls.
"""

from __future__ import annotations

import asyncio
import logging
import threading
from collections.abc import Callable
from typing import Any, Final

from kazoo.client import KazooClient
from kazoo.exceptions import KazooException, NodeExistsError, NoNodeError
from kazoo.retry import KazooRetry

from cloverkeel.core.log import log
from cloverkeel.core.options import LeaseOptions
from cloverkeel.leases.lease import NO_GATEWAY, NodeOperation, NodeRequest
from cloverkeel.leases.messages import LEASE_ID_BITS
from cloverkeel.leases.process import ProcessId
from cloverkeel.leases.zookeeper_lease import NO_ROUND, NodeOutcome, NodeResponse

CONNECTION_RETRY: Final = {"max_tries": -1, "delay": 0.2, "backoff": 2, "max_jitter": 0.5, "max_delay": 2.0}
SESSION_PER_READ_TIMEOUT: Final = 1.5  # kazoo's read timeout is two thirds of the granted session timeout

OnResponse = Callable[[int, NodeResponse], None]


class LeaseNodeClient:
    """Client that creates, renews and deletes the nodes of leases."""

    def __init__(
        self, options: LeaseOptions, process: ProcessId, on_response: OnResponse, on_session_lost: Callable[[], None]
    ) -> None:
        """Initialize without connecting; the two callbacks are called on the running event loop."""
        self.loop = asyncio.get_running_loop()
        self.path = options.path
        self.session_ms = options.lease_ms
        self.node_data = f"{process.gateway} {process.nonce:08x}".encode()
        self.on_response = on_response
        self.on_session_lost = on_session_lost
        self.is_closed = False
        self.granted_session_ms = 0  # session timeout granted by the service; 0 before the first connection
        logging.getLogger("kazoo").setLevel(logging.CRITICAL)
        self.client = KazooClient(
            options.hosts, timeout=options.lease_ms / 1000, connection_retry=KazooRetry(**CONNECTION_RETRY),
            command_retry=KazooRetry(max_tries=0),
        )  # fmt: skip
        self.client.add_listener(self.on_session_state)
        self.observe_granted_timeout()

    def observe_granted_timeout(self) -> None:
        """Record the session timeout that the service grants, which may be shorter than the requested one.

        kazoo exposes it only as the read timeout returned by its private connect method.
        """
        connection: Any = self.client._connection
        connect = connection._connect

        def connect_and_observe(*arguments: Any) -> Any:
            read_s, connect_s = connect(*arguments)
            self.granted_session_ms = round(read_s * SESSION_PER_READ_TIMEOUT)
            return read_s, connect_s

        connection._connect = connect_and_observe

    def start(self) -> None:
        """Start to connect, without blocking."""
        self.client.start_async()

    def close(self) -> None:
        """End the session, which deletes its nodes, in a background thread."""
        self.is_closed = True
        threading.Thread(target=self.end_session, name="leases-session-end", daemon=True).start()

    def end_session(self) -> None:
        """Stop the client; blocks."""
        try:
            self.client.stop()
            self.client.close()
        except Exception as error:
            log(f"leases: session not closed cleanly, error={error!r}")

    def path_of(self, lease_id: int) -> str:
        """Return the path of a lease's node."""
        return f"{self.path}/{lease_id:0{LEASE_ID_BITS // 4}x}"

    # Callbacks on kazoo's threads

    def on_session_state(self, state: str) -> None:
        """Pass the loss of the session to the event loop; a suspended session is ignored, as it may resume."""
        if state == "LOST":
            self.call_on_loop(self.on_session_lost)

    def call_on_loop(self, callback: Callable[..., None], *values: Any) -> None:
        """Call a function on the event loop, unless the client or the loop is closed."""
        if self.is_closed:
            return
        try:
            self.loop.call_soon_threadsafe(callback, *values)
        except RuntimeError:
            self.is_closed = True  # the event loop is closed

    def respond(self, lease_id: int, response: NodeResponse) -> None:
        """Pass a response to the event loop."""
        self.call_on_loop(self.on_response, lease_id, response)

    # Requests, on the event loop

    def send(self, request: NodeRequest) -> None:
        """Send a request; its response is passed to `on_response`."""
        lease_id, round_ = request.lease_id, request.round
        path = self.path_of(lease_id)
        try:
            if request.operation is NodeOperation.CREATE:
                call = self.client.create_async(
                    path, self.node_data, ephemeral=True, makepath=True, include_data=True
                )
                call.rawlink(lambda result: self.on_created(lease_id, round_, result))
            elif request.operation is NodeOperation.DELETE:
                self.client.get_async(path).rawlink(lambda result: self.on_read_to_delete(lease_id, result))
            else:
                call = self.client.set_async(path, self.node_data)
                call.rawlink(lambda result: self.on_written(lease_id, round_, result))
        except KazooException:
            self.respond(lease_id, NodeResponse(round_, NodeOutcome.FAILED))

    # Results, on kazoo's threads

    def on_created(self, lease_id: int, round_: int, result: Any) -> None:
        """Respond to a create; if the node already exists, read it to find its owner."""
        try:
            _, stat = result.get()
            self.respond(lease_id, self.classify(round_, self.node_data, stat))
        except NodeExistsError:
            read = self.client.get_async(self.path_of(lease_id))
            read.rawlink(lambda found: self.on_read(lease_id, round_, found))
        except Exception:
            self.respond(lease_id, NodeResponse(round_, NodeOutcome.FAILED))

    def on_read(self, lease_id: int, round_: int, result: Any) -> None:
        """Classify an existing node.

        One of our own was left by a create whose response was lost; it is confirmed by a write.
        """
        try:
            data, stat = result.get()
        except NoNodeError:
            self.respond(lease_id, NodeResponse(round_, NodeOutcome.MISSING))
            return
        except Exception:
            self.respond(lease_id, NodeResponse(round_, NodeOutcome.FAILED))
            return
        response = self.classify(round_, data, stat)
        if response.outcome is not NodeOutcome.OWNED:
            self.respond(lease_id, response)
            return
        write = self.client.set_async(self.path_of(lease_id), self.node_data)
        write.rawlink(lambda written: self.on_written(lease_id, round_, written))

    def on_written(self, lease_id: int, round_: int, result: Any) -> None:
        """Respond to a write, which renews a lease or confirms an existing node."""
        try:
            self.respond(lease_id, self.classify(round_, self.node_data, result.get()))
        except NoNodeError:
            self.respond(lease_id, NodeResponse(round_, NodeOutcome.MISSING))
        except Exception:
            self.respond(lease_id, NodeResponse(round_, NodeOutcome.FAILED))

    def on_read_to_delete(self, lease_id: int, result: Any) -> None:
        """Delete a node if it is our own and its version has not changed since it was read."""
        try:
            data, stat = result.get()
            if self.classify(NO_ROUND, data, stat).outcome is NodeOutcome.OWNED:
                self.client.delete_async(self.path_of(lease_id), version=stat.version)
        except Exception:
            return  # the node does not exist any more, or is deleted when the session ends

    def classify(self, round_: int, data: bytes, stat: Any) -> NodeResponse:
        """Return whose node it is, according to its data and its owning session.

        It counts as our own only if the granted session timeout is not shorter than the lease.
        """
        session = self.client.client_id[0] if self.client.client_id else 0
        is_own = stat.ephemeralOwner == session and data == self.node_data
        if is_own and self.granted_session_ms >= self.session_ms:
            return NodeResponse(round_, NodeOutcome.OWNED, stat.czxid)
        owner, _, _ = data.partition(b" ")
        return NodeResponse(round_, NodeOutcome.TAKEN, stat.czxid, int(owner) if owner.isdigit() else NO_GATEWAY)
