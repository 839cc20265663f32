"""Mutants of the connection pool: each takes out one guard."""

from __future__ import annotations


from benchmarks.guards.patching import cut, entry, swap


@entry("cancel-closes")
def _() -> None:
    """The connection of an attempt that was given up is kept."""
    from cloverkeel.upstream.attempt_sender import AttemptSender

    cut(
        AttemptSender, "cancel_attempt",
        ("connection.attempt = None\n        connection.close()",
         "connection.attempt = None\n"
         "        self.pool.release(connection) if connection.transport else connection.close()"),
    )  # fmt: skip


@entry("unasked-closes")
def _() -> None:
    """What a host says unasked is let pass."""
    from cloverkeel.upstream.attempt_sender import AttemptSender
    from cloverkeel.upstream.connection import HostConnection

    cut(
        AttemptSender,
        "on_reply",
        ("if attempt is None:\n        connection.close()", "if attempt is None:\n        pass"),
    )
    cut(HostConnection, "data_received", ("elif self.attempt is None:", "elif False:"))


@entry("reset-may-have-run")
def _() -> None:
    """A connection that breaks was never written to."""
    from cloverkeel.upstream.attempt_sender import AttemptSender

    cut(
        AttemptSender,
        "on_lost",
        ("Outcome.RESET if connection.is_written() else Outcome.CONNECT_FAILED", "Outcome.CONNECT_FAILED"),
    )


@entry("timeout-may-have-run")
def _() -> None:
    """What was not answered in time was never written."""
    from cloverkeel.upstream.attempt import Attempt

    swap(Attempt, "is_written", lambda self: False)


@entry("error-may-have-run")
def _() -> None:
    """Any answer but 200 says that it never ran."""
    from cloverkeel.upstream import outcomes

    cut(outcomes, "classify_reply", ("return Outcome.ERROR", "return Outcome.FULL"))


@entry("garbage-may-have-run")
def _() -> None:
    """What can't be read says that it never ran."""
    from cloverkeel.upstream.attempt_sender import AttemptSender

    cut(AttemptSender, "on_malformed", ("Outcome.ERROR", "Outcome.CONNECT_FAILED"))


@entry("drain-pools")
def _() -> None:
    """Whoever carries attempts sends to hosts that drain."""
    from cloverkeel.upstream.attempt_sender import AttemptSender

    cut(AttemptSender, "find_refusal", ("> self.settings.stop_sending_within_us", "> 10**15"))


@entry("gone-pools")
def _() -> None:
    """Whoever carries attempts keeps hosts that left the list."""
    from cloverkeel.upstream.connection_pool import ConnectionPool

    swap(ConnectionPool, "remove_host", lambda self, id_: None)


@entry("begin-by-check")
def _() -> None:
    """What was to begin by a time is written when its connection comes up."""
    from cloverkeel.upstream.attempt_sender import AttemptSender

    cut(AttemptSender, "find_refusal", ("at_us > attempt.write_deadline_us", "False"))


@entry("begin-by-timer")
def _() -> None:
    """What is not wholly written by that time goes on."""
    from cloverkeel.upstream.attempt_sender import AttemptSender

    swap(AttemptSender, "on_write_deadline", lambda self, attempt: None)


@entry("host-rests")
def _() -> None:
    """A connection is used again in the moment of its answer."""
    from cloverkeel.upstream import connection_pool

    swap(connection_pool, "REUSE_DELAY_US", 0)


@entry("fresh-connections")
def _() -> None:
    """A kept connection is used though its host may have closed it."""
    from cloverkeel.upstream.connection import HostConnection

    cut(HostConnection, "is_reusable", ("and not self.poll.poll(0)", ""))


@entry("idle-share")
def _() -> None:
    """Connections are kept for as long as a host keeps them, and longer."""
    from cloverkeel.upstream import connection_pool

    swap(connection_pool, "MAX_IDLE_FRACTION", 100.0)
    swap(connection_pool, "SPARE_IDLE_TIMEOUT_US", 3_600_000_000)


@entry("answered-late")
def _() -> None:
    """An attempt is given up though its answer has come."""
    from cloverkeel.upstream.attempt_sender import AttemptSender

    cut(AttemptSender, "on_timeout", ("if not attempt.has_rechecked and", "if False and"))


@entry("held-up")
def _() -> None:
    """A host's answer is read however far its client is behind."""
    from cloverkeel.upstream.attempt import Attempt

    swap(Attempt, "pause_reading", lambda self: None)
