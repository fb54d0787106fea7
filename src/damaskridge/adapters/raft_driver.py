"""Runs a Raft node on a store: what it saves is synced before it acts on it."""

import random
from collections.abc import Iterable

from damaskridge.adapters.disk.store import LogStore, StoredState
from damaskridge.core.consensus.messages import (
    Action,
    EntriesSynced,
    Event,
    Guards,
    Persist,
)
from damaskridge.core.consensus.node import RaftNode

__all__ = ["RaftDriver", "member_id"]

# Batches between two syncs if `Guards.sync_before_ack` is off.
LATE_SYNC_RUNS = 50


def member_id(host: str, disk_id: str, guards: Guards) -> str:
    """Return the id of a member: a host with a new disk is a new member."""
    return f"{host}#{disk_id}" if guards.member_id_per_disk else host


class RaftDriver:
    """
    The Raft node of one member, together with its store.

    Parameters
    ----------
    host : str
        Name of the host.
    store : LogStore
        The opened store.
    stored : StoredState
        What the store contained when it was opened.
    rng : random.Random
        Source of the election timeouts.
    now_s : float
        The present time.
    hosts : tuple of str
        Names of all hosts in the settings.
    may_bootstrap : bool
        Whether this member may bootstrap a new group.
    max_entries : int
        Most entries of one message.
    guards : Guards
        Safety rules; all of them are on outside tests.
    tolerated_losses : int or None
        Number of hosts that may be lost at a time; None if it is unknown.
    is_added : bool
        Whether the host was added after the first start of the group.
    data_centre : str
        Data centre of the host; empty if it is unknown.
    """

    def __init__(
        self,
        host: str,
        store: LogStore,
        stored: StoredState,
        rng: random.Random,
        now_s: float,
        hosts: tuple[str, ...],
        may_bootstrap: bool = True,
        max_entries: int = 64,
        guards: Guards | None = None,
        tolerated_losses: int | None = None,
        is_added: bool = False,
        data_centre: str = "",
    ) -> None:
        self._guards = guards or Guards()
        self._store = store
        self._unsynced_runs = 0
        self.node = RaftNode(
            member_id(host, stored.disk_id, self._guards),
            stored.log,
            stored.hard_state,
            rng,
            now_s,
            hosts,
            may_bootstrap,
            max_entries,
            self._guards,
            tolerated_losses,
            is_added,
            data_centre,
        )

    def run(self, events: Iterable[Event], now_s: float) -> list[Action]:
        """
        Process a batch of events with a single sync.

        Returns
        -------
        list of Action
            All actions except the saves, which are durable on return.
        """
        self._sync_late()
        actions: list[Action] = []
        for event in events:
            actions += self.node.step(event, now_s)
        saves = [action for action in actions if isinstance(action, Persist)]
        others = [action for action in actions if not isinstance(action, Persist)]
        if saves:
            self._save(saves)
            log = self.node.log
            synced = EntriesSynced(log.last_index, log.last_term)
            others += self.node.step(synced, now_s)
        return others

    def _sync_late(self) -> None:
        """Without the guard, sync periodically, as a kernel's write-back would."""
        if self._guards.sync_before_ack:
            return
        self._unsynced_runs += 1
        if self._unsynced_runs >= LATE_SYNC_RUNS:
            self._unsynced_runs = 0
            self._store.sync()

    def _save(self, saves: list[Persist]) -> None:
        if any(save.snapshot is not None for save in saves):
            # The node's log and hard state already include the whole batch. Entries
            # that follow a new snapshot would leave a gap in the old segment.
            self._store.save_snapshot(self.node.log, self.node.hard_state)
            return
        for save in saves:
            if save.hard_state is not None:
                self._store.save_hard_state(save.hard_state)
            if save.entries:
                self._store.save_entries(save.entries)
        if self._guards.sync_before_ack:
            self._store.sync()
