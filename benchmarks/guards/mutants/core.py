"""Mutants of the core: each takes out one guard."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from benchmarks.guards.patching import cut, entry, swap


@entry("answers-module-error")
def _() -> None:
    """An event that the module fails at ends the turn; nobody is answered."""
    from cloverkeel.core.gateway import Gateway

    cut(Gateway, "_decide", ("except Exception:\n        # Guards against one bad", "except MemoryError:\n        #"))


@entry("answers-action-error")
def _() -> None:
    """An action that can't be carried out ends the turn, and the actions after it are lost."""
    from cloverkeel.core.gateway import Gateway

    cut(
        Gateway, "handle_event",
        ("except Exception:\n            # Guards the client", "except MemoryError:\n            #"),
    )  # fmt: skip


@entry("answer-owed")
def _() -> None:
    """A final answer is carried out for a request that is over."""
    from cloverkeel.core.request_table import RequestTable

    cut(RequestTable, "claim_response", ("not request.awaits_response()", "request.stream is not None"))


@entry("deadline-gateway")
def _() -> None:
    """The gateway waits for as long as the module says, past the client's deadline too."""
    from cloverkeel.core.dispatcher import ActionDispatcher

    cut(ActionDispatcher, "send_attempt", ("min(action.timeout_us, left_us)", "action.timeout_us"))


@entry("ids-in-use")
def _() -> None:
    """A request with the id of one that is open is taken."""
    from cloverkeel.core.gateway import Gateway

    cut(Gateway, "admit_request", ("if self.requests.has_client_id(call.id_):", "if False:"))


@entry("tickets")
def _() -> None:
    """The module knows a request by its client's id."""
    from cloverkeel.core.request_table import RequestTable

    cut(RequestTable, "add", ("str(next(self.keys))", "call.id_"))


def other_way_out(**changes: Any) -> None:
    from cloverkeel.core import draining as emptying
    from cloverkeel.frontends.http1 import server

    old = emptying.shutdown_schedule
    for owner in (emptying, server):
        swap(owner, "shutdown_schedule", lambda longest_s: replace(old(longest_s), **changes))


@entry("way-out-ends")
def _() -> None:
    """On SIGTERM the program goes on as long as any client is connected."""
    from cloverkeel.core.draining import DrainSchedule

    swap(DrainSchedule, "can_close_idle", lambda *args: False)


@entry("way-out-bound")
def _() -> None:
    """Nothing bounds the way out."""
    from cloverkeel.core import draining as emptying

    swap(emptying, "MAX_SHUTDOWN_S", 3600.0)


@entry("idle-first")
def _() -> None:
    """On the way out a connection is closed before its first request had time to come."""
    other_way_out(first_request_timeout_s=0.0)


@entry("way-out-keeps")
def _() -> None:
    """On the way out each answer ends its connection at once."""
    other_way_out(keep_alive_until_s=0.0)


@entry("way-out-hurry")
def _() -> None:
    """On the way out half a request is waited for to the end."""
    other_way_out(abort_stalled_from_s=3600.0)


@entry("budget-as-written")
def _() -> None:
    """A host is told the time that was left when its connection was asked for."""
    from cloverkeel.core.dispatcher import RequestAttempt

    cut(RequestAttempt, "build_payload", ("self.timeout_us - (at_us - self.started_us)", "self.timeout_us"))


@entry("attempts-gateway")
def _() -> None:
    """The gateway counts no attempts."""
    from cloverkeel.core.dispatcher import ActionDispatcher

    cut(ActionDispatcher, "send_attempt", ("or index >= self.settings.max_attempts", ""))


@entry("wanted")
def _() -> None:
    """An attempt whose connection comes up goes out, whoever waits for it."""
    from cloverkeel.core.dispatcher import RequestAttempt

    cut(
        RequestAttempt, "may_start",
        ("return request.awaits_response() and not request.call.client.has_disconnected()", "return True"),
    )  # fmt: skip


@entry("list-before-all")
def _() -> None:
    """A list waits behind what came before it was read."""
    from cloverkeel.core.gateway import Gateway

    cut(
        Gateway, "on_endpoint_list",
        ("self.queue.post_endpoint_list(kind, entries)",
         "self.queue.post(lambda: self.endpoint_updates.apply_list(kind, entries))"),
    )  # fmt: skip


@entry("still")
def _() -> None:
    """A process that stood still goes on with what comes first."""
    from cloverkeel.core.gateway import Gateway

    swap(Gateway, "check_stall", lambda self, at_us: True)


@entry("broken-is-told")
def _() -> None:
    """An answer that breaks off is ended as if it were whole."""
    from cloverkeel.core.dispatcher import ActionDispatcher

    cut(ActionDispatcher, "_end_stream", ("stream.on_aborted()", "stream.on_complete()"))


@entry("begun-gateway")
def _() -> None:
    """What has an answer on its way to the client may be tried again."""
    from cloverkeel.core.dispatcher import ActionDispatcher

    cut(ActionDispatcher, "_end_stream", ("self.requests.mark_responded(request)", "pass"))
    cut(ActionDispatcher, "end_attempt", ("request.is_responded, result", "False, result"))


@entry("room")
def _() -> None:
    """Large bodies are held without a bound."""
    from cloverkeel.core.body_budget import BodyReservation

    cut(BodyReservation, "try_grow", ("if self.budget.used_bytes + size > self.budget.limit_bytes:", "if False:"))


@entry("room-returns")
def _() -> None:
    """What a body held is not given back."""
    from cloverkeel.core.body_budget import BodyReservation

    swap(BodyReservation, "__del__", lambda self: None)


@entry("pause-empties")
def _() -> None:
    """A paused gateway keeps its clients."""
    from cloverkeel.core.draining import DrainSchedule

    swap(DrainSchedule, "can_close_idle", lambda *args: False)


@entry("list-parts")
def _() -> None:
    """A long list is told in one piece."""
    from cloverkeel.core import list_batches as slices

    swap(slices, "MAX_UNSPLIT_ENTRIES", 10**9)


@entry("list-parts-restrict")
def _() -> None:
    """What restricts waits with the rest of a long list."""
    from cloverkeel.core.list_batches import ListBatches

    cut(ListBatches, "split", ("listed.status is not ServerStatus.READY or has_changed(endpoint)", "False"))


@entry("list-parts-known")
def _() -> None:
    """A list of two hundred hosts is told in one piece, however many are known."""
    from cloverkeel.core.list_batches import ListBatches

    cut(
        ListBatches,
        "split",
        ("MAX_UNSPLIT_ENTRIES if known_hosts <= MAX_UNSPLIT_ENTRIES else BATCH_ENTRIES", "MAX_UNSPLIT_ENTRIES"),
    )


@entry("gzip-limit")
def _() -> None:
    """What comes as gzip may be of any length once read."""
    from cloverkeel.core import incremental_gzip as gzip_steps
    from cloverkeel.discovery import relay_client as relayed

    cut(gzip_steps, "decompress_gzip", ("if size > limit:", "if False:"))
    swap(relayed, "decompress_gzip", gzip_steps.decompress_gzip)


@entry("gzip-end")
def _() -> None:
    """What comes after the end of gzip is left unsaid."""
    from cloverkeel.core import incremental_gzip as gzip_steps
    from cloverkeel.discovery import relay_client as relayed

    cut(gzip_steps, "decompress_gzip", ("if decompressor.unused_data or offset < len(body):", "if False:"))
    swap(relayed, "decompress_gzip", gzip_steps.decompress_gzip)


@entry("way-out-accepts")
def _() -> None:
    """On SIGTERM no connection is taken any more."""
    from cloverkeel.frontends.http1.listener import Listener

    other_way_out(accept_until_s=0.0)
    cut(Listener, "close", ("self.accept(LISTEN_BACKLOG)", "pass"))
