"""The answer to the admin word PEERS: who is there, hosts in doubt, and what it costs. Pure."""

from __future__ import annotations

from dataclasses import asdict

from cloverkeel.gossip.node import GossipNode


def node_status(node: GossipNode, now_us: int) -> dict[str, object]:
    """JSON-able: who is there, hosts in doubt and why, and what it costs."""
    counts, presence = node.counts, node.presence
    return {
        "gateway": node.number, "zone": node.zone, "incarnation": presence.incarnation, "health": presence.health,
        "peers": {
            str(n): {"state": other.state, "incarnation": other.incarnation,
                     "heard_ms": (now_us - other.heard_us) // 1000 if other.heard_us else -1}
            for n, other in presence.others.items()
        },
        "hosts": [
            {"host": f"{host[0]:x}", "good": round(known.good, 1), "bad": round(known.bad, 1),
             "tellers": known.reporters, "well": known.well, "doubted": known.doubted,
             "left_ms": max(0, known.until_us - now_us) // 1000,
             "own": list(node.watch.sums(now_us, host))}
            for host, known in node.passed.items()
        ],
        "suspicions": presence.suspicions, "refutations": presence.refutations, "returns": presence.returns,
        "sent": counts.sent, "sent_bytes": counts.sent_bytes, "came": counts.came, "first": counts.first,
        "confirmed": counts.confirmed, "contradicted": counts.contradicted, "ill": counts.ill,
        "poor": counts.poor, "unknown": counts.unknown, "heard": counts.heard, "old": node.told.old,
        "late": node.told.late, "rights": asdict(node.rights.counts) if node.rights is not None else {},
        "budget": round(node.rumours.bucket.left), "waiting": len(node.rumours.waiting),
    }  # fmt: skip
