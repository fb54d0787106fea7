"""Services between the system's processes, on grpclib."""
