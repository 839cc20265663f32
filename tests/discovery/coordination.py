"""A scripted coordination service, and backends' nodes in it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any


from cloverkeel.discovery.backend import Backend
from cloverkeel.discovery.node_codec import encode_backend

from standins.parties.zookeeper.ensemble import Session
from standins.parties.zookeeper.jute import Create, Mode
from standins.parties.zookeeper.threaded import Threaded


FOLDER = "/cloverkeel/boxes"


class Service:
    """The ensemble, and backends' nodes put there by hand, each in a session of its own."""

    def __init__(self) -> None:
        self.keeper = Threaded(servers=2, timeouts_ms=(200, 40_000))
        self.ensemble = self.keeper.ensemble
        self.session_by_backend: dict[str, Session] = {}
        self.do(Create("/cloverkeel"))
        self.do(Create(FOLDER))

    def call(self, what: Callable[[], Any]) -> Any:
        return self.keeper.call(what)

    def do(self, request: Any, session: int = 0) -> None:
        self.call(lambda: self.ensemble.commit(self.ensemble.tree.prepare(request, session)))

    def register(self, name: str, address: str, data: bytes | None = None, **fields: Any) -> None:
        host, _, port = address.rpartition(":")
        member = replace(Backend(name, (host, int(port))), **fields)
        session = self.call(lambda: self.ensemble.open_session(40_000, 0))
        self.session_by_backend[name] = session
        content = encode_backend(member) if data is None else data
        self.do(Create(f"{FOLDER}/{name}", content, flags=Mode.EPHEMERAL), session.id)

    def expire(self, name: str) -> None:
        self.call(lambda: self.ensemble.expire(self.session_by_backend[name].id))

    def gateways(self) -> list[Session]:
        return [s for s in self.ensemble.sessions.values() if s not in self.session_by_backend.values()]

    def close(self) -> None:
        self.keeper.close()
