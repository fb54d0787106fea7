"""
Raft consensus for the replicated log of the control group.

`RaftNode` turns events into actions without I/O; `adapters.log_driver` performs them.
"""
