"""Guards against acknowledgements of what is not in force, and readers misled."""

import asyncio

import msgspec
import pytest
from result import Err, Ok
from tests.platform.test_config_document import DOCUMENT

from damaskridge.model.errors import ErrorKind, Failure
from damaskridge.platform.apps import directory_app, operators_app, ready_app


class Routing:
    def __init__(self, answer=None, document=b"", leader="10.0.0.9"):
        self.answer = answer if answer is not None else Ok(7)
        self.document = document
        self.leader = leader
        self.published = []

    async def publish(self, table, source):
        self.published.append((table.version, source))
        return self.answer

    async def read(self):
        return (
            self.document if not isinstance(self.document, bytes) else Ok(self.document)
        )

    def leader_ip(self):
        return self.leader


def call(app, method, path, body=b"", query=b""):
    sent = []

    async def receive():
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message):
        sent.append(message)

    scope = {"type": "http", "method": method, "path": path, "query_string": query}
    asyncio.run(app(scope, receive, send))
    return sent[0]["status"], dict(sent[0]["headers"]), sent[1]["body"]


def put(routing, body=None):
    body = msgspec.json.encode(DOCUMENT) if body is None else body
    return call(operators_app(routing, 8229), "PUT", "/api/config", body)


NOT_LEADER = Err(Failure(ErrorKind.NOT_LEADER))


def test_a_document_is_acknowledged_once_it_is_committed():
    routing = Routing()
    assert put(routing)[0] == 200
    assert routing.published == [(7, msgspec.json.encode(DOCUMENT))]


@pytest.mark.parametrize(
    ("answer", "status"),
    [
        (Err(Failure(ErrorKind.INVALID_BUNDLE, "why")), 400),
        (Err(Failure(ErrorKind.VERSION_CONFLICT)), 409),
        (Err(Failure(ErrorKind.CONTROL_UNAVAILABLE)), 503),
        (NOT_LEADER, 307),
    ],
)
def test_a_refusal_says_whether_to_ask_again(answer, status):
    assert put(Routing(answer))[0] == status


def test_operators_are_sent_to_the_leader_or_told_to_wait():
    _, headers, _ = put(Routing(NOT_LEADER))
    assert headers[b"location"] == b"http://10.0.0.9:8229/api/config"
    assert put(Routing(NOT_LEADER, leader=""))[0] == 503


def test_an_unreadable_document_is_never_proposed():
    routing = Routing()
    assert put(routing, b"{")[0] == 400
    assert routing.published == []


def test_the_document_is_read_back_as_it_was_sent():
    app = operators_app(Routing(document=b'{"Version":7}'), 8229)
    assert call(app, "GET", "/api/config")[::2] == (200, b'{"Version":7}')


def test_without_a_quorum_or_a_document_nothing_is_read():
    for document in (b"", Err(Failure(ErrorKind.CONTROL_UNAVAILABLE))):
        app = operators_app(Routing(document=document), 8229)
        assert call(app, "GET", "/api/config")[0] == 503


def test_other_paths_and_methods():
    app = operators_app(Routing(), 8229)
    assert call(app, "GET", "/other")[0] == 404
    assert call(app, "DELETE", "/api/config")[0] == 405


def test_callers_get_addresses_for_their_data_centre():
    app = directory_app(lambda place: [f"{place}:1"], 1.0)
    status, _, body = call(app, "GET", "/api/resolve", query=b"Name=h&Zone=west")
    assert status == 200
    assert msgspec.json.decode(body) == {"Addresses": ["west:1"], "TtlS": 1.0}
    assert call(directory_app(lambda _: [], 1.0), "GET", "/api/resolve")[0] == 503


def test_readiness():
    assert call(ready_app(lambda: True), "GET", "/api/ready")[0] == 200
    assert call(ready_app(lambda: False), "GET", "/api/ready")[0] == 503
