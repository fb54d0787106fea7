"""Shows that the randomised runs find each guard's absence."""

import pytest

from tests.system import guards
from tests.system.driver import run_seed
from tests.system.invariants import Violation

MOST_SEEDS = 16
# Seeds that find a guard's absence late; run first, they spare the others. Beside other
# work the eleven before it took the whole time of the test.
FIRST_SEEDS = {"single_winner": 11}


@pytest.mark.parametrize("name", sorted(guards.NAMES))
def test_a_missing_guard_is_found(name):
    for seed in sorted(range(MOST_SEEDS), key=lambda n: n != FIRST_SEEDS.get(name)):
        try:
            run_seed(seed, disabled_guards=frozenset({name}))
        except Violation as violation:
            if violation.name == guards.FOUND_BY[name]:
                return
    pytest.fail(f"{MOST_SEEDS} seeds pass without {name}")
