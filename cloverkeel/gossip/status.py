"""Answer to the admin command PEERS: members, hosts, and counters of gossip. Pure.

Only this module maps the names of the code to the JSON keys that docs/peers.md documents.
"""

from __future__ import annotations

from cloverkeel.gossip.messages import HostProcess, MemberStatus
from cloverkeel.gossip.node import GossipNode
from cloverkeel.gossip.outlier_reports import Assessment
from cloverkeel.gossip.peer_state import PeerState
from cloverkeel.gossip.retry_tokens import RetryTokens

NEVER_RECEIVED_MS = -1  # value of `heard_ms` if the peer has sent no datagram yet
STATE_BY_STATUS = {MemberStatus.ALIVE: "alive", MemberStatus.SUSPECT: "suspect", MemberStatus.DEAD: "gone"}


def peer_state_name(peer: PeerState) -> str:
    """Return the displayed state of a peer."""
    if peer.status is MemberStatus.ALIVE and not peer.last_received_us:
        return "not heard"
    return STATE_BY_STATUS[peer.status]


def node_status(node: GossipNode, now_us: int) -> dict[str, object]:
    """Return the state and counters of a node, ready for JSON."""
    membership, broadcasts = node.membership, node.broadcasts
    outliers, counts = node.outliers, node.counts
    return {
        "gateway": node.gateway,
        "zone": node.zone,
        "incarnation": membership.incarnation,
        "health": membership.health.score,
        "peers": {str(gateway): _peer_status(peer, now_us) for gateway, peer in membership.peers.items()},
        "hosts": [
            _host_status(node, host, assessment, now_us) for host, assessment in outliers.assessment_by_host.items()
        ],
        "suspicions": node.failure_detector.suspicion_count,
        "refutations": membership.refutation_count,
        "returns": membership.recovery_count,
        "sent": counts.sent,
        "sent_bytes": counts.sent_bytes,
        "came": counts.received,
        "first": outliers.counts.unconfirmed_reports,
        "confirmed": outliers.counts.confirmed_hosts,
        "contradicted": outliers.counts.success_reports,
        "ill": outliers.counts.withheld_reports,
        "poor": counts.unaffordable,
        "unknown": counts.unknown_items,
        "heard": outliers.counts.notifications,
        "old": outliers.observations.stale_count,
        "late": outliers.observations.late_count,
        "rights": _token_status(node.retry_tokens) if node.retry_tokens is not None else {},
        "budget": round(broadcasts.bucket.available_bytes),
        "waiting": len(broadcasts.queued),
    }


def _peer_status(peer: PeerState, now_us: int) -> dict[str, object]:
    heard_ms = (now_us - peer.last_received_us) // 1000 if peer.last_received_us else NEVER_RECEIVED_MS
    return {"state": peer_state_name(peer), "incarnation": peer.incarnation, "heard_ms": heard_ms}


def _host_status(node: GossipNode, host: HostProcess, assessment: Assessment, now_us: int) -> dict[str, object]:
    return {
        "host": f"{host.host:x}",
        "good": round(assessment.successes, 1),
        "bad": round(assessment.failures, 1),
        "tellers": assessment.failure_reporters,
        "well": assessment.success_reporters,
        "doubted": assessment.is_suspected_outlier,
        "left_ms": max(0, assessment.expires_us - now_us) // 1000,
        "own": list(node.outliers.local.totals(now_us, host)),
    }


def _token_status(retry_tokens: RetryTokens) -> dict[str, object]:
    counts = retry_tokens.counts
    return {
        "asked": counts.requests,
        "given": counts.granted,
        "taken": counts.accepted,
        "refused": counts.refused,
    }
