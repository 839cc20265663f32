"""Claims of request ids: a request that is not safe to repeat runs once, whichever connection its id comes on."""

from __future__ import annotations

from cloverkeel.balancing.settings import Effect, Settings

from cloverkeel.core.calls import Call
from cloverkeel.core.clock import boottime_ms
from cloverkeel.core.recent_ids import ClaimResult, RecentIds


class RequestIds:
    """Claims ids in a table, which the processes of an upgrade share if there is an admin address."""

    def __init__(self, settings: Settings, table: RecentIds) -> None:
        self.settings = settings
        self.table = table

    def claim(self, call: Call) -> ClaimResult:
        """Claim the id of a call that is about to be admitted; a call that is safe to repeat needs no claim."""
        if self._is_safe(call):
            return ClaimResult.ACCEPTED
        return self.table.claim(call.id_, boottime_ms())

    def release(self, call: Call) -> None:
        """Release the id of a call that was refused: its client may send it again."""
        if not self._is_safe(call):
            self.table.release(call.id_)

    def _is_safe(self, call: Call) -> bool:
        return self.settings.classes[call.class_index].effect is Effect.SAFE
