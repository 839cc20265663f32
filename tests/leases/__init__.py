"""Tests of cloverkeel.leases; those with several processes are in tests/fleet."""
