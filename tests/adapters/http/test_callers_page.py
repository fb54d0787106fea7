"""Guards against a page on callers' errors that differs from the program."""

from pathlib import Path

from damaskridge.model.errors import ERROR_SPECS

PAGE = Path(__file__).parents[3] / "docs" / "callers.md"


def test_the_table_of_errors_is_that_of_the_program():
    rows = [line for line in PAGE.read_text().splitlines() if line.startswith("| `")]
    assert rows == [
        f"| `{kind.value}` | {answer.status} | `{answer.run_state.value}` | "
        f"{'yes' if answer.retryable else 'no'} |"
        for kind, answer in ERROR_SPECS.items()
    ]
