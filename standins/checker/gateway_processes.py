"""Check gateway processes: each exits only when signalled to, and stays within its memory and descriptor limits."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from standins.checker.observations import Observations
from standins.checker.process_history import ProcessLifetime
from standins.checker.violations import Rule, Violation
from standins.event_log import ResourceUsage
from standins.site import Rules

KIB_PER_MIB: Final = 1024


def check_exits(observations: Observations) -> Iterator[Violation]:
    """Yield a violation for each process that exited unexpectedly, or with an error although it was not killed."""
    for exit_ in observations.processes.exits:
        event = exit_.event
        has_failed = event.code != 0 and not exit_.was_killed
        if event.was_requested and not has_failed:
            continue
        description = f"exited with code {event.code}"
        if not event.was_requested:
            description += " without being signalled to exit"
        yield Violation(Rule.CRASH, event.at_us, event.gateway, description)


def check_resources(observations: Observations) -> Iterator[Violation]:
    """Yield one violation for each process that exceeded its limits: in production it would be killed."""
    for gateway, samples in observations.usage_by_gateway.items():
        reported: set[ProcessLifetime | None] = set()
        for sample in samples:
            excesses = find_excesses(sample, observations.rules)
            process = observations.processes.process_at(gateway, sample.at_us)
            if not excesses:
                continue
            if process in reported:
                continue
            reported.add(process)
            yield Violation(Rule.RESOURCES, sample.at_us, gateway, "; ".join(excesses))


def find_excesses(sample: ResourceUsage, rules: Rules) -> list[str]:
    """Return a line for each limit that the sample exceeds."""
    excesses: list[str] = []
    memory_mib = max(sample.rss_kib, sample.peak_kib) // KIB_PER_MIB
    if memory_mib > rules.memory_mib:
        excesses.append(f"{memory_mib} MiB of memory, {rules.memory_mib} at most")
    if sample.descriptors > rules.sockets:
        excesses.append(f"{sample.descriptors} descriptors, {rules.sockets} at most")
    return excesses
