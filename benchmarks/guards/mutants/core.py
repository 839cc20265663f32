"""Mutants of the core: each disables one guard."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from benchmarks.guards.patching import mutant, patch_attribute, patch_source


@mutant("answers-module-error")
def _() -> None:
    """An exception of the balancer ends event processing; no request is answered."""
    from cloverkeel.core.gateway import Gateway

    patch_source(
        Gateway, "_decide", ("except Exception:\n        # Guards against one bad", "except MemoryError:\n        #")
    )


@mutant("answers-action-error")
def _() -> None:
    """A failing action ends event processing; the actions after it are lost."""
    from cloverkeel.core.gateway import Gateway

    patch_source(
        Gateway, "handle_event",
        ("except Exception:\n            # Guards the client", "except MemoryError:\n            #"),
    )  # fmt: skip


@mutant("answer-owed")
def _() -> None:
    """A final response is sent for a request that already has one."""
    from cloverkeel.core.request_table import RequestTable

    patch_source(RequestTable, "claim_response", ("not request.awaits_response()", "request.stream is not None"))


@mutant("deadline-gateway")
def _() -> None:
    """An attempt gets the timeout that the balancer sets, even past the client's deadline."""
    from cloverkeel.core.dispatcher import ActionDispatcher

    patch_source(ActionDispatcher, "send_attempt", ("min(action.timeout_us, left_us)", "action.timeout_us"))


@mutant("ids-in-use")
def _() -> None:
    """A request is accepted whose id belongs to a request in flight."""
    from cloverkeel.core.gateway import Gateway

    patch_source(Gateway, "admit_request", ("if self.requests.has_client_id(call.id_):", "if False:"))


@mutant("tickets")
def _() -> None:
    """The balancer identifies a request by the client's id, which may be reused."""
    from cloverkeel.core.request_table import RequestTable

    patch_source(RequestTable, "add", ("str(next(self.keys))", "call.id_"))


def change_shutdown_schedule(**changes: Any) -> None:
    from cloverkeel.core import draining
    from cloverkeel.frontends.http1 import server

    original = draining.shutdown_schedule
    for owner in (draining, server):
        patch_attribute(owner, "shutdown_schedule", lambda timeout_s: replace(original(timeout_s), **changes))


@mutant("way-out-ends")
def _() -> None:
    """After SIGTERM the program keeps running while any client is connected."""
    from cloverkeel.core.draining import DrainSchedule

    patch_attribute(DrainSchedule, "can_close_idle", lambda *args: False)


@mutant("way-out-bound")
def _() -> None:
    """The time limit of the deliveries after a drain is one hour."""
    from cloverkeel.cli import serving

    patch_source(serving, "_shut_down", ("draining.MAX_DELIVERY_S", "3600.0"))


@mutant("idle-first")
def _() -> None:
    """During shutdown a new connection is closed before its first request can arrive."""
    change_shutdown_schedule(first_request_timeout_s=0.0)


@mutant("way-out-keeps")
def _() -> None:
    """During shutdown each response closes its connection immediately."""
    change_shutdown_schedule(keep_alive_until_s=0.0)


@mutant("way-out-hurry")
def _() -> None:
    """During shutdown a stalled request is never aborted."""
    change_shutdown_schedule(abort_stalled_from_s=3600.0)


@mutant("delivery-after-drain")
def _() -> None:
    """The process ends with the drain, whatever is still being read."""
    from cloverkeel.core import draining

    patch_attribute(draining, "MAX_DELIVERY_S", 0.0)


@mutant("last-read")
def _() -> None:
    """Connections are read for as long as the process lives."""
    from cloverkeel.frontends.http1.drain import DrainState

    patch_attribute(DrainState, "is_over", lambda self: False)


@mutant("incomplete-abort")
def _() -> None:
    """During shutdown a request that keeps arriving is never aborted."""
    change_shutdown_schedule(abort_incomplete_from_s=3600.0)


@mutant("wait-of-input")
def _() -> None:
    """A postponed connection waits for as long as all input since the metrics line took."""
    from cloverkeel.core import input_scheduler

    patch_source(
        input_scheduler.InputScheduler,
        "_end_iteration",
        ("self._resume_after(spent_us)", "self._resume_after(self.total_us)"),
    )
    patch_attribute(input_scheduler, "MAX_RESUME_DELAY_S", 3600.0)


@mutant("budget-as-written")
def _() -> None:
    """A host is sent the time that remained when its connection was requested."""
    from cloverkeel.core.dispatcher import RequestAttempt

    patch_source(RequestAttempt, "build_payload", ("self.timeout_us - (at_us - self.started_us)", "self.timeout_us"))


@mutant("attempts-gateway")
def _() -> None:
    """The gateway does not enforce the maximum number of attempts."""
    from cloverkeel.core.dispatcher import ActionDispatcher

    patch_source(ActionDispatcher, "send_attempt", ("or index >= self.settings.max_attempts", ""))


@mutant("wanted")
def _() -> None:
    """An attempt is sent when its connection is established, even if no client waits for it."""
    from cloverkeel.core.dispatcher import RequestAttempt

    patch_source(
        RequestAttempt, "may_start",
        ("return request.awaits_response() and not request.call.client.has_disconnected()", "return True"),
    )  # fmt: skip


@mutant("list-before-all")
def _() -> None:
    """An endpoint list waits behind the events that were queued before it."""
    from cloverkeel.core.gateway import Gateway

    patch_source(
        Gateway, "on_endpoint_list",
        ("self.queue.post_endpoint_list(kind, entries)",
         "self.queue.post(lambda: self.endpoint_updates.apply_list(kind, entries))"),
    )  # fmt: skip


@mutant("still")
def _() -> None:
    """A process handles events after a stall without catching up first."""
    from cloverkeel.core.gateway import Gateway

    patch_attribute(Gateway, "check_stall", lambda self, at_us: True)


@mutant("broken-is-told")
def _() -> None:
    """A truncated response is ended as if it were complete."""
    from cloverkeel.core.dispatcher import ActionDispatcher

    patch_source(ActionDispatcher, "_end_stream", ("stream.on_aborted()", "stream.on_complete()"))


@mutant("begun-gateway")
def _() -> None:
    """A request may be retried while its response is being streamed to the client."""
    from cloverkeel.core.dispatcher import ActionDispatcher

    patch_source(ActionDispatcher, "_end_stream", ("self.requests.mark_responded(request)", "pass"))
    patch_source(ActionDispatcher, "end_attempt", ("request.is_responded, result", "False, result"))


@mutant("room")
def _() -> None:
    """Large bodies are buffered without a limit."""
    from cloverkeel.core.body_budget import BodyReservation

    patch_source(
        BodyReservation, "try_grow", ("if self.budget.used_bytes + size > self.budget.limit_bytes:", "if False:")
    )


@mutant("room-returns")
def _() -> None:
    """The reservation of a body is never released."""
    from cloverkeel.core.body_budget import BodyReservation

    patch_attribute(BodyReservation, "__del__", lambda self: None)


@mutant("pause-empties")
def _() -> None:
    """A paused gateway keeps its idle client connections."""
    from cloverkeel.core.draining import DrainSchedule

    patch_attribute(DrainSchedule, "can_close_idle", lambda *args: False)


@mutant("list-parts")
def _() -> None:
    """A long list is applied in one piece."""
    from cloverkeel.core import list_batches

    patch_attribute(list_batches, "MAX_UNSPLIT_ENTRIES", 10**9)


@mutant("list-parts-restrict")
def _() -> None:
    """Restricting entries of a long list wait in the batches."""
    from cloverkeel.core.list_batches import ListBatches

    patch_source(ListBatches, "split", ("listed.status is not ServerStatus.READY or has_changed(endpoint)", "False"))


@mutant("list-parts-known")
def _() -> None:
    """A list of two hundred hosts is applied in one piece regardless of the number of known hosts."""
    from cloverkeel.core.list_batches import ListBatches

    patch_source(
        ListBatches,
        "split",
        ("MAX_UNSPLIT_ENTRIES if known_hosts <= MAX_UNSPLIT_ENTRIES else BATCH_ENTRIES", "MAX_UNSPLIT_ENTRIES"),
    )


@mutant("gzip-limit")
def _() -> None:
    """The size of decompressed data is not limited."""
    from cloverkeel.core import incremental_gzip
    from cloverkeel.discovery import relay_client

    patch_source(incremental_gzip, "decompress_gzip", ("if size > limit:", "if False:"))
    patch_attribute(relay_client, "decompress_gzip", incremental_gzip.decompress_gzip)


@mutant("gzip-end")
def _() -> None:
    """Trailing data after the gzip member is ignored."""
    from cloverkeel.core import incremental_gzip
    from cloverkeel.discovery import relay_client

    patch_source(
        incremental_gzip, "decompress_gzip", ("if decompressor.unused_data or offset < len(body):", "if False:")
    )
    patch_attribute(relay_client, "decompress_gzip", incremental_gzip.decompress_gzip)


@mutant("way-out-accepts")
def _() -> None:
    """After SIGTERM no connection is accepted."""
    from cloverkeel.frontends.http1.listener import Listener

    change_shutdown_schedule(accept_until_s=0.0)
    patch_source(Listener, "close", ("self.accept(LISTEN_BACKLOG)", "pass"))


@mutant("recent-ids")
def _() -> None:
    """An id is known only while its request is in flight."""
    from cloverkeel.core.recent_ids import ClaimResult
    from cloverkeel.core.request_ids import RequestIds

    patch_attribute(RequestIds, "claim", lambda self, call: ClaimResult.ACCEPTED)
