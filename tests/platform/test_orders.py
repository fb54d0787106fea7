"""Tests the client for orders to model engines.

Guards against orders without a fencing number, and against orders that another engine
at a reused address would accept.
"""

import asyncio

import msgspec

from damaskridge.model.gateway import BackendInstance, EngineStage
from damaskridge.platform.orders import PlatformOrderClient


def send_order(*, report=b'{"Seq":4,"Busy":false}', status=202):
    async def main():
        received = []

        async def handle(reader, writer):
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            length = int(head.split("content-length: ")[1].split("\r\n")[0])
            received.append((head, await reader.readexactly(length)))
            is_order = head.startswith("post")
            body = b"" if is_order else report
            writer.write(
                b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n%s"
                % (status if is_order else 200, len(body), body)
            )

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        instance = BackendInstance(
            instance="i1",
            service="s",
            address=f"127.0.0.1:{server.sockets[0].getsockname()[1]}",
            data_centre="z",
            slots=1,
        )
        result = await PlatformOrderClient().order_stage(
            instance, EngineStage.DECODE, "host-1", 9
        )
        server.close()
        return result, received

    return asyncio.run(main())


def test_order_names_holder_fence_instance_and_precondition():
    result, received = send_order()
    assert result.is_ok()
    head, body = received[1]
    assert "x-expect-instance: i1" in head
    assert msgspec.json.decode(body) == {
        "Op": "Phase",
        "Phase": "decode",
        "Holder": "host-1",
        "Fence": 9,
        "Expected": 4,
    }


def test_busy_engine_receives_no_order():
    result, received = send_order(report=b'{"Seq":4,"Busy":true}')
    assert result.is_err()
    assert len(received) == 1


def test_refusals_and_malformed_reports_are_errors():
    assert send_order(status=412)[0].is_err()
    assert send_order(report=b"{")[0].is_err()


def test_is_busy_returns_the_reported_state():
    async def main(report):
        async def handle(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 X\r\ncontent-length: %d\r\n\r\n" % len(report))
            writer.write(report)

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        instance = BackendInstance(
            instance="i1", service="s", address=address, data_centre="z", slots=1
        )
        busy = await PlatformOrderClient().is_busy(instance)
        server.close()
        return busy

    assert asyncio.run(main(b'{"Seq":4,"Busy":true}')).unwrap()
    assert not asyncio.run(main(b'{"Seq":4,"Busy":false}')).unwrap()
    assert asyncio.run(main(b"{")).is_err()
