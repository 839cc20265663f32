"""Tests of cloverkeel.leases but for those with several processes (tests/fleet)."""
