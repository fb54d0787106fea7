"""Guards against Nagle's algorithm, which delayed the first event by 40 ms."""

import socket

from examples.demo_settings import free_ports

from damaskridge.binaries.http_server import listen


def test_listener_has_an_explicit_protocol_so_that_asyncio_sets_tcp_nodelay():
    with listen("caller_address", f"127.0.0.1:{free_ports(1)[0]}").unwrap() as listener:
        assert listener.proto == socket.IPPROTO_TCP
