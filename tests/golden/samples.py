"""All samples, by the kind that names their data file."""

from __future__ import annotations

from typing import Final

from tests.golden import admin, control_plane, core, discovery, gossip, leases, simulator
from tests.golden.store import SamplesByName

SAMPLES_BY_KIND: Final[dict[str, SamplesByName]] = {
    kind: samples
    for package in (core, leases, discovery, admin, control_plane, gossip, simulator)
    for kind, samples in package.SAMPLES_BY_KIND.items()
}
