"""Guards against orders without a fence, and orders to another engine."""

import asyncio

import msgspec

from damaskridge.model.gateway import BackendInstance, EngineStage
from damaskridge.platform.orders import PlatformOrderClient


def order(*, report=b'{"Seq":4,"Busy":false}', status=202):
    async def main():
        seen = []

        async def handle(reader, writer):
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            length = int(head.split("content-length: ")[1].split("\r\n")[0])
            seen.append((head, await reader.readexactly(length)))
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
        return result, seen

    return asyncio.run(main())


def test_an_order_names_holder_fence_engine_and_what_went_before():
    result, seen = order()
    assert result.is_ok()
    head, body = seen[1]
    assert "x-expect-instance: i1" in head
    assert msgspec.json.decode(body) == {
        "Op": "Phase",
        "Phase": "decode",
        "Holder": "host-1",
        "Fence": 9,
        "Expected": 4,
    }


def test_a_busy_engine_gets_no_order():
    result, seen = order(report=b'{"Seq":4,"Busy":true}')
    assert result.is_err()
    assert len(seen) == 1


def test_refusals_and_garbage_are_errors():
    assert order(status=412)[0].is_err()
    assert order(report=b"{")[0].is_err()


def test_a_report_tells_whether_an_engine_carries_out_an_order():
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
