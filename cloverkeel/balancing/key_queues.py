"""Order by key: requests of an in-order class wait in their key's queue; one at a time has its turn."""

from __future__ import annotations

from collections import deque

from cloverkeel.balancing.attempts import Request


class KeyQueues:
    """Hold the queue of each key; the first of a queue has its turn."""

    def __init__(self) -> None:
        self.queue_by_key: dict[int, deque[Request]] = {}

    def length(self, key: int) -> int:
        """Return how many requests of a key are queued, the one whose turn it is among them."""
        queue = self.queue_by_key.get(key)
        return len(queue) if queue is not None else 0

    def append(self, key: int, request: Request) -> bool:
        """Queue a request; tell whether its turn is now."""
        queue = self.queue_by_key.setdefault(key, deque())
        queue.append(request)
        return queue[0] is request

    def contains(self, request: Request) -> bool:
        """Tell whether a request is queued."""
        queue = self.queue_by_key.get(request.key) if request.key is not None else None
        return queue is not None and request in queue

    def remove(self, key: int, request: Request) -> Request | None:
        """Remove a queued request; return the one whose turn begins by that, if any."""
        queue = self.queue_by_key[key]
        had_turn = queue[0] is request
        queue.remove(request)
        if not queue:
            del self.queue_by_key[key]
            return None
        return queue[0] if had_turn else None
