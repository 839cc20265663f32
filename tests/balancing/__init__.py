"""Tests of cloverkeel.balancing: which server a proxy sends each request to, and when it retries or refuses one."""
