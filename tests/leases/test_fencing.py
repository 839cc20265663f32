"""The receiver's check of fencing tokens."""

from __future__ import annotations

from cloverkeel.leases.fencing import FencingTokenCheck


def test_an_older_token_is_rejected_and_the_least_recently_used_lease_is_evicted() -> None:
    check = FencingTokenCheck(max_leases=2)
    assert (
        check.admit(1, 10, 7) and check.admit(1, 10, 7) and not check.admit(1, 9, 8) and check.newest_token(1) == 10
    )
    assert not check.admit(1, 10, 8)  # each token belongs to one process
    assert check.rejected == 2
    assert check.admit(2, 5, 7) and check.admit(3, 5, 7)
    assert check.newest_token(1) == 0 and len(check.seen_by_lease) == 2
