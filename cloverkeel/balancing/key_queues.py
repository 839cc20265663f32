"""Queues of in-order requests: the requests of a key are sent one at a time, in order of arrival."""

from __future__ import annotations

from collections import deque

from cloverkeel.balancing.attempts import Request


class KeyQueues:
    """FIFO queue of requests for each key; only the request at the head may be sent."""

    def __init__(self) -> None:
        self.queue_by_key: dict[int, deque[Request]] = {}

    def length(self, key: int) -> int:
        """Return the number of requests in a key's queue, including the one at the head."""
        queue = self.queue_by_key.get(key)
        return len(queue) if queue is not None else 0

    def append(self, key: int, request: Request) -> bool:
        """Append a request to its key's queue; return whether it is at the head."""
        queue = self.queue_by_key.setdefault(key, deque())
        queue.append(request)
        return queue[0] is request

    def contains(self, request: Request) -> bool:
        """Return whether a request is in its key's queue."""
        queue = self.queue_by_key.get(request.key) if request.key is not None else None
        return queue is not None and request in queue

    def remove(self, key: int, request: Request) -> Request | None:
        """Remove a queued request; return the request that this moves to the head, if any."""
        queue = self.queue_by_key[key]
        was_head = queue[0] is request
        queue.remove(request)
        if not queue:
            del self.queue_by_key[key]
            return None
        return queue[0] if was_head else None
