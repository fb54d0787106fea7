"""Invalid tables must be refused, and valid ones accepted."""

import pytest
from tests.core.gateway.tables import route, table, workspace

from damaskridge.core.gateway.table_checks import table_faults
from damaskridge.model.gateway import RouteTarget


def test_valid_table_has_no_faults():
    assert table_faults(table(3, route("/a/"), route("/a/b/"))) == []


@pytest.mark.parametrize(
    ("faulty", "expected"),
    [
        (table(0), "version"),
        (table(1, route(targets=(RouteTarget("other"),))), "unknown service"),
        (table(1, route("/a/"), route("/a/")), "same host name"),
        (table(1, route(targets=(RouteTarget("app", 0),))), "add up to 0"),
        (table(1, route(targets=())), "add up to 0"),
        (table(1, route(timeout_ms=0)), "timeout_ms"),
        (table(1, route("/a")), "path_prefix"),
        (table(1, workspaces=(workspace("a", "k"), workspace("b", "k"))), "share"),
    ],
)
def test_each_fault_is_reported(faulty, expected):
    faults = table_faults(faulty)
    assert len(faults) == 1
    assert expected in faults[0]
