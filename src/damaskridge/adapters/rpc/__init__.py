"""RPC services between the processes of a fleet, built on grpclib."""
