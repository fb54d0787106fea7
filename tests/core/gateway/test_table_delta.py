"""The table on a host must not differ from the published one."""

from hypothesis import given, strategies as st
from tests.core.gateway.tables import route, table, workspace

from damaskridge.core.gateway.table_delta import apply_table_delta, table_difference

prefixes = st.sets(st.sampled_from("abcdef"))
timeouts = st.integers(1, 3)


@st.composite
def tables(draw, version):
    routes = [route(f"/{p}/", timeout_ms=draw(timeouts)) for p in draw(prefixes)]
    names = draw(st.sets(st.sampled_from("uvw")))
    workspaces = tuple(workspace(name, f"k{name}") for name in sorted(names))
    return table(version, *routes, workspaces=workspaces)


@given(tables(1), tables(2))
def test_applied_difference_yields_the_new_table(old, new):
    changed, removed = table_difference(old, new)
    result = apply_table_delta(old, changed, removed)
    assert result.version == 2
    assert set(result.routes) == set(new.routes)
    assert set(result.workspaces) == set(new.workspaces)


def test_routes_with_the_same_name_are_distinct():
    new = table(2, route("/a/", name="r"), route("/b/", name="r"))
    changed, removed = table_difference(table(1), new)
    assert set(apply_table_delta(table(1), changed, removed).routes) == set(new.routes)
