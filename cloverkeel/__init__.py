"""HTTP gateway with client-side load balancing; the balancing decisions are pure code without I/O."""
