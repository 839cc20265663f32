"""Election of the prober: for each host with an open circuit, one gateway per zone sends the half-open probes. Pure.

The lease holder probes the host; the other gateways suspend their probes while the holder replies that it probes.

Invariants:
- a suspension ends without further messages SUSPEND_US after the report that was answered, measured by the clock of
  the gateway that suspended its probes;
- a notice that a host has recovered counts only under the newest token (LeaseManager checks it); it triggers a probe
  by the receiving gateway, and does not close its circuit;
- a holder that does not probe replies IDLE, upon which other gateways resume their probes.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final

from cloverkeel.leases.manager import LeaseManager
from cloverkeel.leases.reports import REPORT_INTERVAL_US

SUSPEND_US: Final = 3 * REPORT_INTERVAL_US  # two replies may be lost
RECOVERED_NOTICE_US: Final = 3_000_000  # time after its circuit closed for which a holder replies RECOVERED
PROBING, RECOVERED, IDLE = b"\x01", b"\x02", b"\x03"  # payloads of a holder's replies
PROBE_REPORT: Final = b"\x01"
# Special values of the time until which probes are suspended:
PROBE_AT_ONCE: Final = 0  # the host has recovered
RESUME_PROBES: Final = 1  # a time in the past: ends the suspension, but not the circuit's cooldown

SuspendProbes = Callable[[int, int], None]  # arguments: server, end of the suspension in microseconds


def lease_name(zone: int, server: int) -> str:
    """Return the name of the lease for a host's probes; lease ids on the wire and operators' commands use it."""
    return f"trier/{zone}/{server}"


@dataclass(slots=True)
class OpenCircuit:
    """A host whose circuit at this gateway is not closed, or was closed recently."""

    server: int
    is_probed: bool = True  # this gateway's balancer probes the host
    closed_us: int = 0  # when the circuit was first seen closed; 0 if it is not closed
    notified_us: int = 0  # when the balancer was last notified that the host has recovered; 0 if never


@dataclass(slots=True)
class ProbeElection:
    """The `LeasedTask` of half-open probes."""

    zone: int
    suspend_probes: SuspendProbes
    circuit_by_lease: dict[int, OpenCircuit] = field(default_factory=dict)
    held_leases: set[int] = field(default_factory=set)
    suspensions: int = 0  # replies that suspended probes
    recoveries: int = 0  # replies that a host had recovered

    def update(self, now_us: int, open_circuits: Sequence[tuple[int, bool]], manager: LeaseManager) -> None:
        """Request the leases of the hosts in `open_circuits`, and withdraw the requests for other hosts.

        `open_circuits`: pairs of a server and whether the balancer probes it.
        """
        open_lease_ids = set()
        for server, is_probed in open_circuits:
            lease_id = manager.request_lease(now_us, lease_name(self.zone, server), self)
            open_lease_ids.add(lease_id)
            circuit = self.circuit_by_lease.get(lease_id)
            if circuit is None:
                circuit = self.circuit_by_lease[lease_id] = OpenCircuit(server)
            circuit.is_probed = is_probed
            circuit.closed_us = 0
        for lease_id in [lease_id for lease_id in self.circuit_by_lease if lease_id not in open_lease_ids]:
            self.on_circuit_closed(now_us, lease_id, manager)

    def on_circuit_closed(self, now_us: int, lease_id: int, manager: LeaseManager) -> None:
        """Withdraw the request; a holder does so only after it has replied RECOVERED for RECOVERED_NOTICE_US."""
        circuit = self.circuit_by_lease[lease_id]
        circuit.closed_us = circuit.closed_us or now_us
        if lease_id not in self.held_leases or now_us - circuit.closed_us > RECOVERED_NOTICE_US:
            del self.circuit_by_lease[lease_id]
            manager.withdraw_request(now_us, lease_id)

    def build_report(self, now_us: int, lease_id: int, holder_process: int) -> bytes | None:  # noqa: ARG002 (LeasedTask's signature)
        """Return a report while the circuit is not closed."""
        circuit = self.circuit_by_lease.get(lease_id)
        return PROBE_REPORT if circuit is not None and not circuit.closed_us else None

    def on_report(self, now_us: int, lease_id: int, reporter: int, echoed_us: int, payload: bytes) -> bytes:  # noqa: ARG002 (all reporters get the same reply)
        """Reply whether this gateway probes the host, or that the host has recovered."""
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
        """Probe at once, but only once per recovery: if the probe fails, this gateway's circuit stays open."""
        self.recoveries += 1
        if now_us - circuit.notified_us > RECOVERED_NOTICE_US:
            circuit.notified_us = now_us
            self.suspend_probes(circuit.server, PROBE_AT_ONCE)

    def on_acquired(self, lease_id: int, state: bytes) -> None:  # noqa: ARG002 (nothing is handed over)
        """Resume this gateway's probes: until now it relied on those of the former holder."""
        self.held_leases.add(lease_id)
        circuit = self.circuit_by_lease.get(lease_id)
        if circuit is not None:
            self.suspend_probes(circuit.server, RESUME_PROBES)

    def on_ended(self, lease_id: int) -> None:
        """Stop being the prober."""
        self.held_leases.discard(lease_id)

    def handover_state(self, lease_id: int) -> bytes:  # noqa: ARG002 (nothing is handed over)
        """Return no state."""
        return b""

    def describe(self) -> list[dict[str, object]]:
        """Return the open circuits, for operators; the keys are part of the output of `duties show --json`."""
        return [
            {
                "host": f"{circuit.server:x}",
                "tried_here": lease_id in self.held_leases and circuit.is_probed,
                "well": circuit.closed_us > 0,
            }
            for lease_id, circuit in self.circuit_by_lease.items()
        ]
