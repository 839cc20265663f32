"""A stand-in coordination service that speaks the published ZooKeeper client protocol.

`jute` has the protocol's records, `tree` the nodes and the ephemerals of each session, `watches` the watches of one
server; these three do no I/O. `ensemble` has the servers on loopback, which share one state, and their faults.
`threaded` runs an ensemble in a thread, for clients that block.
"""
