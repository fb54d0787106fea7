"""Guards against documents from outside that end a process instead of being refused."""

import msgspec
import pytest
from hypothesis import given, settings, strategies as st
from tests.platform.test_orders import send_order

from damaskridge.platform.config_document import decode_document
from damaskridge.platform.dialect import PlatformDialect

DEEP = b"[" * 3000 + b"]" * 3000
DOCUMENT = {"Version": 7, "Routes": [], "Services": [], "Tenants": []}
BODIES = [
    b'{"HandleId":%s}' % DEEP,
    b'{"HandleId":"h","Other":%s}' % DEEP,
    b'{"HandleId":"h\xff"}',
    rb'{"HandleId":"\ud800"}',
    b'{"HandleId":"a/b c"}',
    '{"HandleId":"\u2603"}'.encode(),
    b'{"HandleId":""}',
    b'{"HandleId":"h","Tokens":%s}' % (b"9" * 400),
]


@pytest.mark.parametrize("body", BODIES, ids=range(len(BODIES)))
def test_odd_response_of_an_engine_is_an_error(body):
    dialect = PlatformDialect()
    assert dialect.decode_prefill_response(body).is_err()
    reservation = body.replace(b"HandleId", b"Hold")
    if b"Tokens" not in body:
        assert dialect.decode_reservation_response(reservation).is_err()


@pytest.mark.parametrize("digits", [19, 30, 400, 5000])
def test_document_with_a_number_out_of_range_is_refused(digits):
    number = "9" * digits
    body = msgspec.json.encode(DOCUMENT).replace(b":7", f":{number}".encode(), 1)
    assert decode_document(body).is_err()


@pytest.mark.parametrize("value", ["1e308", "1e999", "-1e999"])
def test_document_with_a_time_out_of_range_is_refused(value):
    route = b'{"Name":"r","Hostname":"h","PathPrefix":"/a/","Kind":"stream",'
    route += b'"Service":"s","TimeoutMs":%s}' % value.encode()
    body = b'{"Version":7,"Routes":[%s],"Services":[{"Name":"s"}]}' % route
    decoded = decode_document(body)
    assert decoded.is_err()


@pytest.mark.parametrize("seq", [b"9" * 400, DEEP, b'"\xff"'])
def test_odd_report_of_an_engine_is_an_error(seq):
    assert send_order(report=b'{"Seq":%s}' % seq)[0].is_err()


@given(st.binary(max_size=80))
@settings(max_examples=200)
def test_any_bytes_are_decoded_or_refused(data):
    dialect = PlatformDialect()
    for result in (
        decode_document(data),
        dialect.decode_prefill_response(data),
        dialect.decode_reservation_response(data),
    ):
        assert result.is_ok() or result.is_err()
