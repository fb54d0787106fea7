"""Small packets held back by Nagle's algorithm: 40 ms on each answer's first event."""

import socket

from examples.demo_settings import free_ports

from damaskridge.binaries.http_server import listen


def test_listener_names_the_protocol_so_that_asyncio_sets_no_delay():
    with listen("caller_address", f"127.0.0.1:{free_ports(1)[0]}").unwrap() as listener:
        assert listener.proto == socket.IPPROTO_TCP
