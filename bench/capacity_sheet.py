"""Fleet size and limits of section 1.4 of the design, and rows that compare costs."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass

from bench.slope_fit import Slope
from bench.slopes_state import CELLS

__all__ = ["CELLS", "Row", "CapacitySheet"]

HOSTS = 390
BACKEND_SERVERS = 1_700
WORKSPACES = 270
REGIONS = 6
REQUESTS_PER_S = 2_800
TOKENS_PER_S = 1_300_000
KV_BYTES_PER_S = 2.9e12
CHANGES_PER_DAY = 4_600
FAILURES_PER_DAY = 25
REPLACEMENTS_PER_DAY = 240
DAY_S = 86_400
MAX_CORE_PERCENT = 2.7
MAX_MEMORY_MB = 64
MAX_BYTES_PER_S = 12_000
MAX_IN_FORCE_MS = 4_000
MIN_ELECTION_TIMEOUT_MS = 300
CONTROL_HOSTS = 5
MAX_CONTROL_HOSTS = 16
HOST_LOSSES = (("rack", 14), ("data centre", 28), ("region", HOSTS // REGIONS))
STORED_PROPOSALS = 20

# Assumed values that section 1.4 doesn't give; docs/CAPACITY.md lists them.
TOKENS_PER_S_PER_STREAM = 20
LARGE_WORKSPACE_SHARE = 0.3
LEDGER_SHARE = 0.05
GRANT_RETENTION_S = 3600
STORED_VERSIONS = 200
RENEWALS_PER_S = 1 / 0.75
HOST_LIST_READS_PER_S = 2
HOST_LIST_ENTRY_BYTES = len(b'{"name":"engine-00001","state":"live"},')


@dataclass(frozen=True, slots=True)
class Row:
    """One table row of docs/CAPACITY.md: a cost at full size and its limit."""

    role: str
    line: str
    how: str
    value: float
    unit: str
    limit: float | None = None

    @property
    def verdict(self) -> str:
        if self.limit is None:
            return ""
        return "yes" if self.value <= self.limit else "no"

    def to_json(self) -> dict:
        return asdict(self) | {"verdict": self.verdict}

    def __str__(self) -> str:
        return (
            f"row={self.role} line={self.line!r} value={self.value:.4g} "
            f"unit={self.unit} limit={self.limit} held={self.verdict or 'none'}"
        )


class CapacitySheet:
    """Collects rows and computes costs from slopes, which are looked up by name."""

    def __init__(self, slopes: Mapping[str, Slope]) -> None:
        self.slopes = slopes
        self.rows: list[Row] = []

    def cost_per_unit(self, name: str) -> float:
        """Return the cost of each further unit of size, in the unit of the slope."""
        return self.slopes[name].value

    def cost_at(self, name: str, size: float) -> float:
        """Return the fitted cost at a size."""
        return self.slopes[name].cost_at(size)

    def cost_at_largest_size(self, name: str) -> float:
        """Return the measured cost at the largest measured size."""
        return self.slopes[name].points[-1][1]

    def add_row(self, role: str, line: str, how: str, value: float, unit: str) -> None:
        """Add a row without a limit."""
        self.rows.append(Row(role, line, how, value, unit))

    def add_limited(
        self, role: str, line: str, how: str, value: float, unit: str, limit: float
    ) -> None:
        """Add a row with a limit that its value mustn't exceed."""
        self.rows.append(Row(role, line, how, value, unit, limit))

    def state_mb(self, prefix: str) -> float:
        """Return the size of a state at full fleet size, from its three slopes."""
        base = min(
            self.cost_at(f"{prefix}_per_{n}", 0) for n in ("runner", "workspace")
        )
        return (
            base
            + self.cost_per_unit(f"{prefix}_per_runner") * BACKEND_SERVERS
            + self.cost_per_unit(f"{prefix}_per_workspace") * WORKSPACES
            + self.cost_per_unit(f"{prefix}_per_host") * HOSTS
        ) / 1e6
