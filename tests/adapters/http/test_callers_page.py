"""Checks that the error table in `docs/callers.md` matches `ERROR_SPECS`."""

from pathlib import Path

from damaskridge.model.errors import ERROR_SPECS

CALLERS_PAGE = Path(__file__).parents[3] / "docs" / "callers.md"


def test_error_table_matches_the_error_specs():
    rows = [
        line for line in CALLERS_PAGE.read_text().splitlines() if line.startswith("| `")
    ]
    assert rows == [
        f"| `{kind.value}` | {spec.status} | `{spec.run_state.value}` | "
        f"{'yes' if spec.retryable else 'no'} |"
        for kind, spec in ERROR_SPECS.items()
    ]
