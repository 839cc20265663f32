"""All samples by kind. The kind is the name of the data file."""

from __future__ import annotations

from typing import Final

from tests.golden import admin, control_plane, core, discovery, gossip, leases, simulator
from tests.golden.store import SamplesByName

SAMPLES_BY_KIND: Final[dict[str, SamplesByName]] = {
    kind: samples
    for module in (core, leases, discovery, admin, control_plane, gossip, simulator)
    for kind, samples in module.SAMPLES_BY_KIND.items()
}
