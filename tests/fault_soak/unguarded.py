"""Runs a program of the platform with one of its guards disabled.

``python -m tests.fault_soak.unguarded GUARD entry|control``; a soak that
reports no violation without a guard does not test that guard.
"""

import os
import sys

import msgspec

__all__ = ["GUARDS"]


def _key_withdrawal():
    """Keep accepting keys that a later routing table has removed."""
    from damaskridge.core.gateway.routing import RoutingIndex

    known_workspaces, original_lookup = {}, RoutingIndex.workspace

    def workspace(self, digest):
        found = original_lookup(self, digest) or known_workspaces.get(digest)
        if found is not None:
            known_workspaces[digest] = found
        return found

    RoutingIndex.workspace = workspace


def _one_run():
    """Retry calls that may run at most once."""
    from damaskridge.core.gateway.send_policy import SendPolicy

    original_init = SendPolicy.__init__

    def init_with_retries(self, kind, attempts, *, is_resumable=False):
        original_init(self, kind, max(2, attempts), is_resumable=True)

    SendPolicy.__init__ = init_with_retries


def _event_offsets():
    """Forward events that the caller has already received."""
    from damaskridge.adapters.gateway.relayed_stream import RelayedStream

    def accept_event(self, event_id):
        self.has_events = True
        self.run_events += 1
        return True

    RelayedStream.accept_event = accept_event


def _leaving():
    """Send new requests to servers that are leaving."""
    from damaskridge.core.gateway.instances import InstanceRegistry

    original_candidates = InstanceRegistry.candidates

    def candidates_with_leaving(self, *arguments, **options):
        for name, instance in self._instances.items():
            self._instances[name] = msgspec.structs.replace(instance, is_leaving=False)
        return original_candidates(self, *arguments, **options)

    InstanceRegistry.candidates = candidates_with_leaving


def _durable_log():
    """Keep the log of the control group in memory only."""
    from damaskridge.adapters.disk import folder
    from damaskridge.binaries import platform_control

    platform_control.DiskFolder = lambda path: folder.VolatileFolder()


def _retry_budget():
    """Allow retries beyond the retry budget."""
    from damaskridge.adapters.gateway.retry_gate import RetryGate

    RetryGate.admits = lambda self, admitted, step: True


def _server_limits():
    """Send requests to servers with a limit without permits."""
    from damaskridge.adapters.gateway.server_permits import ServerPermits

    async def acquire(self, instance, admitted, **options):
        return True

    ServerPermits.acquire = acquire
    ServerPermits.use = lambda self, instance: True


def _quarantine():
    """Send requests with a part that crashes servers."""
    from damaskridge.adapters.gateway.crash_monitor import CrashMonitor

    CrashMonitor.failure = lambda self, admitted: None


def _software_versions():
    """Go on with streams at any software version."""
    from damaskridge.core.gateway.instances import InstanceRegistry

    original_candidates = InstanceRegistry.candidates

    def candidates(
        self, service, now_s, stage=None, excluded=frozenset(), software_version=None
    ):
        return original_candidates(self, service, now_s, stage, excluded)

    InstanceRegistry.candidates = candidates


GUARDS = {
    "key_withdrawal": _key_withdrawal,
    "one_run": _one_run,
    "event_offsets": _event_offsets,
    "leaving": _leaving,
    "durable_log": _durable_log,
    "retry_budget": _retry_budget,
    "server_limits": _server_limits,
    "quarantine": _quarantine,
    "software_versions": _software_versions,
}

if __name__ == "__main__":
    from damaskridge.binaries.platform import main

    GUARDS[sys.argv[1]]()
    sys.exit(main(sys.argv[2:], os.environ))
