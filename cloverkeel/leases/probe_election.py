"""Half-open probes of hosts whose circuit is open: one gateway of a zone probes, the others wait. Pure.

Invariants:
- to suspend probes is a restriction, and ends by itself SUSPEND_US after the report that was answered, by one's own
  clock;
- word that a host has recovered counts only under the newest token (the manager sees to that), and brings a probe of
  one's own, no verdict;
- a holder that does not probe says so, and suspends nobody's probes.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final

from cloverkeel.leases.manager import LeaseManager
from cloverkeel.leases.reports import REPORT_INTERVAL_US

SUSPEND_US: Final = 3 * REPORT_INTERVAL_US  # two replies may be lost
RECOVERED_NOTICE_US: Final = (
    3_000_000  # for so long a holder says that a host has recovered, after its circuit closed
)
PROBING, RECOVERED, IDLE = b"\x01", b"\x02", b"\x03"  # what a holder replies
PROBE_REPORT: Final = b"\x01"
# In place of a moment until which probes are suspended.
PROBE_AT_ONCE: Final = 0  # the host has recovered
RESUME_PROBES: Final = 1  # a moment that is past: nothing is suspended, and no cooldown ends

SuspendProbes = Callable[[int, int], None]  # server, and until when


def lease_name(zone: int, server: int) -> str:
    """Return the name of the lease for a host's probes; `trier` is its word on the wire and for staff."""
    return f"trier/{zone}/{server}"


@dataclass(slots=True)
class OpenCircuit:
    """One host whose circuit is not closed here, or was not a moment ago."""

    server: int
    is_probed: bool = True
    closed_us: int = 0  # when its circuit was seen closed; 0: it is not
    notified_us: int = 0  # when the balancer was last told that the host has recovered


@dataclass(slots=True)
class ProbeElection:
    """The `LeasedTask` of half-open probes."""

    zone: int
    suspend_probes: SuspendProbes
    circuit_by_lease: dict[int, OpenCircuit] = field(default_factory=dict)
    held_leases: set[int] = field(default_factory=set)
    suspensions: int = 0  # replies that suspended probes
    recoveries: int = 0  # replies that a host has recovered

    def update(self, now_us: int, open_circuits: Sequence[tuple[int, bool]], manager: LeaseManager) -> None:
        """Ask for the leases of the hosts that the balancer names, and for no others.

        `open_circuits`: server, and whether the balancer probes it.
        """
        found = set()
        for server, is_probed in open_circuits:
            lease_id = manager.request_lease(now_us, lease_name(self.zone, server), self)
            found.add(lease_id)
            circuit = self.circuit_by_lease.get(lease_id)
            if circuit is None:
                circuit = self.circuit_by_lease[lease_id] = OpenCircuit(server)
            circuit.is_probed = is_probed
            circuit.closed_us = 0
        for lease_id in [lease_id for lease_id in self.circuit_by_lease if lease_id not in found]:
            self.on_circuit_closed(now_us, lease_id, manager)

    def on_circuit_closed(self, now_us: int, lease_id: int, manager: LeaseManager) -> None:
        """Say for a while that the host has recovered if the lease is held here, then withdraw the request."""
        circuit = self.circuit_by_lease[lease_id]
        circuit.closed_us = circuit.closed_us or now_us
        if lease_id not in self.held_leases or now_us - circuit.closed_us > RECOVERED_NOTICE_US:
            del self.circuit_by_lease[lease_id]
            manager.withdraw_request(now_us, lease_id)

    def build_report(self, now_us: int, lease_id: int, holder_process: int) -> bytes | None:  # noqa: ARG002 (it lends nothing)
        """Report while the circuit is open."""
        circuit = self.circuit_by_lease.get(lease_id)
        return PROBE_REPORT if circuit is not None and not circuit.closed_us else None

    def on_report(self, now_us: int, lease_id: int, reporter: int, echoed_us: int, payload: bytes) -> bytes:  # noqa: ARG002 (all get the same reply)
        """Reply whether the host is probed here, or has recovered."""
        circuit = self.circuit_by_lease.get(lease_id)
        if circuit is None:
            return IDLE
        if circuit.closed_us:
            return RECOVERED
        return PROBING if circuit.is_probed else IDLE

    def on_reply(self, now_us: int, lease_id: int, reported_us: int, payload: bytes) -> None:
        """Suspend or resume this gateway's own probes."""
        circuit = self.circuit_by_lease.get(lease_id)
        if circuit is None or circuit.closed_us or lease_id in self.held_leases:
            return
        if payload == PROBING and reported_us + SUSPEND_US > now_us:
            self.suspensions += 1
            self.suspend_probes(circuit.server, reported_us + SUSPEND_US)
        elif payload == RECOVERED:
            self.on_recovered(now_us, circuit)
        elif payload == IDLE:
            self.suspend_probes(circuit.server, RESUME_PROBES)

    def on_recovered(self, now_us: int, circuit: OpenCircuit) -> None:
        """Probe at once, once for each recovery: a probe that fails here stays a verdict of one's own."""
        self.recoveries += 1
        if now_us - circuit.notified_us > RECOVERED_NOTICE_US:
            circuit.notified_us = now_us
            self.suspend_probes(circuit.server, PROBE_AT_ONCE)

    def on_acquired(self, lease_id: int, state: bytes) -> None:  # noqa: ARG002 (nothing is handed over)
        """Probe from now on: whoever held the lease probed for this gateway until now."""
        self.held_leases.add(lease_id)
        circuit = self.circuit_by_lease.get(lease_id)
        if circuit is not None:
            self.suspend_probes(circuit.server, RESUME_PROBES)

    def on_ended(self, lease_id: int) -> None:
        """Probe for the others no more."""
        self.held_leases.discard(lease_id)

    def handover_state(self, lease_id: int) -> bytes:  # noqa: ARG002 (nothing is handed over)
        """Return nothing."""
        return b""

    def describe(self) -> list[dict[str, object]]:
        """Return the open circuits, for staff. The keys are those of `duties show --json`, which stay."""
        return [
            {
                "host": f"{circuit.server:x}",
                "tried_here": lease_id in self.held_leases and circuit.is_probed,
                "well": circuit.closed_us > 0,
            }
            for lease_id, circuit in self.circuit_by_lease.items()
        ]
