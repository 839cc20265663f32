"""Mutants of the upstream package: each removes one guard."""

from __future__ import annotations


from benchmarks.guards.patching import mutant, patch_attribute, patch_source


@mutant("cancel-closes")
def _() -> None:
    """The connection of a cancelled attempt is kept."""
    from cloverkeel.upstream.attempt_sender import AttemptSender

    patch_source(
        AttemptSender, "cancel_attempt",
        ("connection.attempt = None\n        connection.close()",
         "connection.attempt = None\n"
         "        self.pool.release(connection) if connection.transport else connection.close()"),
    )  # fmt: skip


@mutant("unasked-closes")
def _() -> None:
    """Unsolicited bytes from a host are ignored, and the connection is kept."""
    from cloverkeel.upstream.attempt_sender import AttemptSender
    from cloverkeel.upstream.connection import HostConnection

    patch_source(
        AttemptSender,
        "on_reply",
        ("if attempt is None:\n        connection.close()", "if attempt is None:\n        pass"),
    )
    patch_source(HostConnection, "data_received", ("elif self.attempt is None:", "elif False:"))


@mutant("reset-may-have-run")
def _() -> None:
    """The request on a lost connection counts as never written."""
    from cloverkeel.upstream.attempt_sender import AttemptSender

    patch_source(
        AttemptSender,
        "on_lost",
        ("Outcome.RESET if connection.is_written() else Outcome.CONNECT_FAILED", "Outcome.CONNECT_FAILED"),
    )


@mutant("timeout-may-have-run")
def _() -> None:
    """A request without a response in time counts as never written."""
    from cloverkeel.upstream.attempt import Attempt

    patch_attribute(Attempt, "is_written", lambda self: False)


@mutant("error-may-have-run")
def _() -> None:
    """Any response but 200 counts as a rejection: the request has not run."""
    from cloverkeel.upstream import outcomes

    patch_source(outcomes, "classify_reply", ("return Outcome.ERROR", "return Outcome.FULL"))


@mutant("garbage-may-have-run")
def _() -> None:
    """After a malformed response the request counts as not run."""
    from cloverkeel.upstream.attempt_sender import AttemptSender

    patch_source(AttemptSender, "on_malformed", ("Outcome.ERROR", "Outcome.CONNECT_FAILED"))


@mutant("drain-pools")
def _() -> None:
    """Attempts are written to draining hosts after the grace period."""
    from cloverkeel.upstream.attempt_sender import AttemptSender

    patch_source(AttemptSender, "find_refusal", ("> self.settings.stop_sending_within_us", "> 10**15"))


@mutant("gone-pools")
def _() -> None:
    """Hosts that are removed from the list stay in the pool."""
    from cloverkeel.upstream.connection_pool import ConnectionPool

    patch_attribute(ConnectionPool, "remove_host", lambda self, id_: None)


@mutant("begin-by-check")
def _() -> None:
    """An attempt whose write deadline has passed is written when its connection is established."""
    from cloverkeel.upstream.attempt_sender import AttemptSender

    patch_source(AttemptSender, "find_refusal", ("at_us > attempt.write_deadline_us", "False"))


@mutant("begin-by-timer")
def _() -> None:
    """An attempt that is only partly written at its write deadline is not cancelled."""
    from cloverkeel.upstream.attempt_sender import AttemptSender

    patch_attribute(AttemptSender, "on_write_deadline", lambda self, attempt: None)


@mutant("host-rests")
def _() -> None:
    """A connection is reused immediately after a response."""
    from cloverkeel.upstream import connection_pool

    patch_attribute(connection_pool, "REUSE_DELAY_US", 0)


@mutant("fresh-connections")
def _() -> None:
    """An idle connection is reused without checking whether its host has closed it."""
    from cloverkeel.upstream.connection import HostConnection

    patch_source(HostConnection, "is_reusable", ("and not self.poll.poll(0)", ""))


@mutant("idle-share")
def _() -> None:
    """Connections are kept idle beyond the host's idle timeout."""
    from cloverkeel.upstream import connection_pool

    patch_attribute(connection_pool, "MAX_IDLE_FRACTION", 100.0)
    patch_attribute(connection_pool, "SPARE_IDLE_TIMEOUT_US", 3_600_000_000)


@mutant("answered-late")
def _() -> None:
    """An attempt times out although its response has arrived."""
    from cloverkeel.upstream.attempt_sender import AttemptSender

    patch_source(AttemptSender, "on_timeout", ("if not attempt.has_rechecked and", "if False and"))


@mutant("held-up")
def _() -> None:
    """A host's response is read even if its client does not read it."""
    from cloverkeel.upstream.attempt import Attempt

    patch_attribute(Attempt, "pause_reading", lambda self: None)


@mutant("late-body")
def _() -> None:
    """A response counts as large only by its body bytes."""
    from cloverkeel.upstream.attempt_sender import AttemptSender

    patch_attribute(AttemptSender, "begin_stream", lambda self, attempt: False)


@mutant("replaced-host")
def _() -> None:
    """The process that a connection leads to is never compared with the listed one."""
    from cloverkeel.upstream.connection_pool import ConnectionPool

    patch_attribute(ConnectionPool, "is_replaced", lambda self, host, connection: False)
