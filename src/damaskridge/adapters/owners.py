"""The owners that this host may run: rate owners and cell owners."""

import anyio

from damaskridge.adapters.cell_runtime import CellRuntime
from damaskridge.adapters.rate_runtime import RateRuntime

__all__ = ["OwnerRuntimes"]


class OwnerRuntimes:
    """Runs the rate owners and the cell owners of one host."""

    def __init__(self, rates: RateRuntime, cells: CellRuntime) -> None:
        self.rates = rates
        self.cells = cells

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.rates.run)
            group.start_soon(self.cells.run)

    def sync_ownership(self) -> None:
        """Apply a change of the fleet view."""
        self.rates.sync_ownership()
        self.cells.sync_ownership()

    async def release_all(self) -> None:
        """Release the ownership of every resource that this host owns."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.rates.release_all)
            group.start_soon(self.cells.release_all)
