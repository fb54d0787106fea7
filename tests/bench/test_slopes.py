"""Guards against wrong fits and verdicts, and tables written outside their block."""

import pytest
from bench.capacity_sheet import Row
from bench.slope_fit import fit_line
from bench.slopes import replace_block


def test_fit_is_exact_for_a_line_and_r_squared_is_zero_for_a_bend():
    line = fit_line("x", "B", "host", [(10, 25), (20, 45), (40, 85)])
    assert (line.value, line.at_zero, line.r_squared) == pytest.approx((2, 5, 1))
    assert line.cost_at(100) == pytest.approx(205)
    bent = fit_line("x", "B", "host", [(0, 0), (1, 1), (2, 0)])
    assert bent.r_squared == pytest.approx(0)


def test_only_the_named_block_is_replaced_and_a_missing_one_raises():
    page = "a\n<!-- t begin -->\nold\n<!-- t end -->\nb\n"
    new = replace_block(page, "t", ["new"])
    assert new == "a\n<!-- t begin -->\n\nnew\n\n<!-- t end -->\nb\n"
    assert replace_block(new, "t", ["new"]) == new
    with pytest.raises(ValueError, match="no block"):
        replace_block(page, "u", [])


@pytest.mark.parametrize(("value", "verdict"), [(64.0, "yes"), (64.1, "no")])
def test_a_cost_above_its_limit_has_the_verdict_no(value, verdict):
    assert Row("front", "memory", "", value, "MB", 64.0).verdict == verdict
