"""ZooKeeper stand-in whose backends' nodes are created and expired by the tests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from cloverkeel.discovery.backend import Backend
from cloverkeel.discovery.node_codec import encode_backend

from standins.parties.zookeeper.ensemble import Session
from standins.parties.zookeeper.jute import Create, Mode
from standins.parties.zookeeper.threaded import ThreadedEnsemble

FOLDER = "/cloverkeel/boxes"


class Service:
    """A stand-in ensemble; the node of each registered backend belongs to its own session."""

    def __init__(self) -> None:
        self.stand_in = ThreadedEnsemble(servers=2, timeouts_ms=(200, 40_000))
        self.ensemble = self.stand_in.ensemble
        self.session_by_backend: dict[str, Session] = {}
        self.commit_request(Create("/cloverkeel"))
        self.commit_request(Create(FOLDER))

    def call(self, function: Callable[[], Any]) -> Any:
        return self.stand_in.call(function)

    def commit_request(self, request: Any, session: int = 0) -> None:
        self.call(lambda: self.ensemble.commit(self.ensemble.tree.prepare(request, session)))

    def register(self, name: str, address: str, data: bytes | None = None, **fields: Any) -> None:
        host, _, port = address.rpartition(":")
        backend = replace(Backend(name, (host, int(port))), **fields)
        session = self.call(lambda: self.ensemble.open_session(40_000, 0))
        self.session_by_backend[name] = session
        content = encode_backend(backend) if data is None else data
        self.commit_request(Create(f"{FOLDER}/{name}", content, flags=Mode.EPHEMERAL), session.id)

    def expire(self, name: str) -> None:
        self.call(lambda: self.ensemble.expire(self.session_by_backend[name].id))

    def gateway_sessions(self) -> list[Session]:
        return [s for s in self.ensemble.sessions.values() if s not in self.session_by_backend.values()]

    def close(self) -> None:
        self.stand_in.close()
