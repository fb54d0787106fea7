"""The size of section 1.4 and the rows that hold costs against its limits."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass

from bench.slope_fit import Slope
from bench.slopes_state import CELLS

__all__ = ["CELLS", "Row", "Sheet"]

HOSTS = 390
RUNNERS = 1_700
WORKSPACES = 270
REGIONS = 6
REQUESTS_PER_S = 2_800
TOKENS_PER_S = 1_300_000
KV_BYTES_PER_S = 2.9e12
CHANGES_PER_DAY = 4_600
FAILURES_PER_DAY = 25
REPLACEMENTS_PER_DAY = 240
DAY_S = 86_400
CORE_LIMIT_PERCENT = 2.7
MEMORY_LIMIT_MB = 64
BYTES_LIMIT_PER_S = 12_000
IN_FORCE_LIMIT_MS = 4_000
LEAST_ELECTION_MS = 300
CONTROL_HOSTS = 5
CONTROL_HOSTS_LIMIT = 16
LOSSES = (("rack", 14), ("data centre", 28), ("region", HOSTS // REGIONS))
KEPT_PROPOSALS = 20

# Assumptions that section 1.4 leaves open; the page names them.
TOKENS_PER_S_PER_STREAM = 20
LARGE_WORKSPACE_SHARE = 0.3
LEDGER_SHARE = 0.05
GRANT_RETENTION_S = 3600
KEPT_VERSIONS = 200
RENEWALS_PER_S = 1 / 0.75
LIST_READS_PER_S = 2
NAME_BYTES = len(b'{"name":"engine-00001","state":"live"},')


@dataclass(frozen=True, slots=True)
class Row:
    """One line of the page: a cost at full size against its limit."""

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


class Sheet:
    """Collects rows; a slope's value is read by its name."""

    def __init__(self, slopes: Mapping[str, Slope]) -> None:
        self.slopes = slopes
        self.rows: list[Row] = []

    def per(self, name: str) -> float:
        return self.slopes[name].value

    def at(self, name: str, size: float) -> float:
        return self.slopes[name].at(size)

    def largest(self, name: str) -> float:
        return self.slopes[name].points[-1][1]

    def add(self, role: str, line: str, how: str, value: float, unit: str) -> None:
        self.rows.append(Row(role, line, how, value, unit))

    def hold(
        self, role: str, line: str, how: str, value: float, unit: str, limit: float
    ) -> None:
        self.rows.append(Row(role, line, how, value, unit, limit))

    def state_mb(self, prefix: str) -> float:
        base = min(self.at(f"{prefix}_per_{n}", 0) for n in ("runner", "workspace"))
        return (
            base
            + self.per(f"{prefix}_per_runner") * RUNNERS
            + self.per(f"{prefix}_per_workspace") * WORKSPACES
            + self.per(f"{prefix}_per_host") * HOSTS
        ) / 1e6
