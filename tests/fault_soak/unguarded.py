"""Runs a program of the platform with one of its guards switched off.

``python -m tests.fault_soak.unguarded GUARD entry|control``; a soak that does not find
the missing guard does not prove the guard.
"""

import os
import sys

import msgspec

__all__ = ["GUARDS"]


def _key_withdrawal():
    """Accept the keys of older tables."""
    from damaskridge.core.gateway.routing import RoutingIndex

    known, lookup = {}, RoutingIndex.workspace

    def workspace(self, digest):
        found = lookup(self, digest) or known.get(digest)
        if found is not None:
            known[digest] = found
        return found

    RoutingIndex.workspace = workspace


def _one_run():
    """Send calls again that may run once."""
    from damaskridge.core.gateway.send_policy import SendPolicy

    begin = SendPolicy.__init__

    def forgiving(self, kind, attempts, *, is_resumable=False):
        begin(self, kind, max(2, attempts), is_resumable=True)

    SendPolicy.__init__ = forgiving


def _event_offsets():
    """Pass on events that the caller has already."""
    from damaskridge.adapters.gateway.generation import Generation

    def accept_event(self, event_id):
        self.has_events = True
        return True

    Generation.accept_event = accept_event


def _leaving():
    """Send new requests to servers that leave."""
    from damaskridge.core.gateway.instances import InstanceRegistry

    candidates = InstanceRegistry.candidates

    def all_candidates(self, *arguments, **options):
        for name, item in self._instances.items():
            self._instances[name] = msgspec.structs.replace(item, is_leaving=False)
        return candidates(self, *arguments, **options)

    InstanceRegistry.candidates = all_candidates


def _durable_log():
    """Keep the log of the control group in memory."""
    from damaskridge.adapters.disk import folder
    from damaskridge.binaries import platform_control

    platform_control.DiskFolder = lambda path: folder.VolatileFolder()


def _retry_budget():
    """Send repeats that nobody pays for."""
    from damaskridge.adapters.gateway.retry_gate import RetryGate

    RetryGate.admits = lambda self, admitted, step: True


GUARDS = {
    "key_withdrawal": _key_withdrawal,
    "one_run": _one_run,
    "event_offsets": _event_offsets,
    "leaving": _leaving,
    "durable_log": _durable_log,
    "retry_budget": _retry_budget,
}

if __name__ == "__main__":
    from damaskridge.binaries.platform import main

    GUARDS[sys.argv[1]]()
    sys.exit(main(sys.argv[2:], os.environ))
