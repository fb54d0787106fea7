"""Tests that an invalid bundle file is refused with the path of every fault."""

import json

from tests.core.state.fleet import bundle

from damaskridge.adapters.bundle_file import format_bundle, parse_bundle


def faults_after(change):
    content = json.loads(format_bundle(bundle()))
    change(content)
    return parse_bundle(json.dumps(content)).unwrap_err()


def test_valid_file_with_comments_is_read_unchanged():
    text = "// fleet\n" + format_bundle(bundle())
    assert parse_bundle(text).unwrap() == bundle()


def test_every_fault_is_reported_with_its_path():
    def break_values(content):
        content["backend_servers"][1].update(slots=0, address="db:x", role="prefill")
        content["backend_servers"][0]["serves"] = "other"
        content["workspaces"][2]["name"] = "w1"
        content["workspaces"][0]["rate_tokens_per_s"] = -1
        content["keys"][0]["workspace"] = "nobody"
        content["operators"].pop()

    assert sorted(faults_after(break_values)) == [
        "backend_servers[0].serves: unknown model 'other'",
        "backend_servers[1].address: must be ip:port, not 'db:x'",
        "backend_servers[1].cell: cell 'c2' has no backend server for decode",
        "backend_servers[1].slots: must be at least 1, not 0",
        "keys[0].workspace: unknown workspace 'nobody'",
        "operators: must be at least 2, a change needs two",
        "workspaces[0].rate_tokens_per_s: must be above 0, not -1",
        "workspaces[2].name: same as workspaces[0]",
    ]

    def mix_models_in_cell(content):
        content["backend_servers"][1].update(cell="c1", serves="other")

    assert (
        "backend_servers[1].serves: cell 'c1' serves 'm', not 'other'"
        in faults_after(mix_models_in_cell)
    )


def test_all_schema_faults_are_reported():
    def break_schema(content):
        content["models"][0]["context_tokens"] = "many"
        content["backend_servers"][0]["role"] = "both"
        content["workspaces"][1]["rate"] = 3
        del content["keys"][0]["digest"]

    paths = sorted(fault.split(":")[0] for fault in faults_after(break_schema))
    assert paths == [
        "backend_servers[0].role",
        "keys[0].digest",
        "models[0].context_tokens",
        "workspaces[1].rate",
    ]
    assert parse_bundle("{").unwrap_err()[0].startswith("not JSON")
