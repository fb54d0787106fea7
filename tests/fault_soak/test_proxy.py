"""Guards against a fault proxy whose effect differs from the selected fault."""

import asyncio

import pytest

from tests.fault_soak.proxy import FaultProxy, LinkFault


async def _echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


async def _send_ping(address, timeout_s=0.1):
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(b"ping")
    try:
        async with asyncio.timeout(timeout_s):
            return await reader.read(100)
    except TimeoutError:
        return None
    except ConnectionError:
        return b""
    finally:
        writer.close()


def send_through_proxy(fault):
    async def main():
        server = await asyncio.start_server(_echo, "127.0.0.1", 0)
        target = server.sockets[0].getsockname()[:2]
        proxy = FaultProxy(lambda: target)
        await proxy.start()
        proxy.fault = fault
        proxy.delay_s = 0.02
        response = await _send_ping(proxy.address)
        await proxy.stop()
        server.close()
        return response

    return asyncio.run(main())


@pytest.mark.parametrize(
    ("fault", "response"),
    [
        (LinkFault.NONE, b"ping"),
        (LinkFault.DELAY, b"ping"),
        (LinkFault.DROP_ALL, None),
        (LinkFault.DROP_RESPONSES, None),
        (LinkFault.CLOSE, b""),
    ],
)
def test_each_fault_has_its_effect(fault, response):
    assert send_through_proxy(fault) == response


def test_no_bytes_arrive_after_dropped_bytes():
    """A proxy that dropped bytes and then delivered later ones would not model TCP."""

    async def main():
        server = await asyncio.start_server(_echo, "127.0.0.1", 0)
        target = server.sockets[0].getsockname()[:2]
        proxy = FaultProxy(lambda: target)
        await proxy.start()
        ip, _, port = proxy.address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        for data, fault in (
            (b"lost", LinkFault.DROP_RESPONSES),
            (b"late", LinkFault.NONE),
        ):
            proxy.fault = fault
            writer.write(data)
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.1):
                    await reader.read(100)
        writer.close()
        await proxy.stop()
        server.close()

    asyncio.run(main())


def test_reset_aborts_open_connections():
    async def main():
        server = await asyncio.start_server(_echo, "127.0.0.1", 0)
        target = server.sockets[0].getsockname()[:2]
        proxy = FaultProxy(lambda: target)
        await proxy.start()
        ip, _, port = proxy.address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(b"ping")
        assert await reader.read(100) == b"ping"
        proxy.reset()
        with pytest.raises(ConnectionResetError):
            await reader.read(100)
        writer.close()
        await proxy.stop()
        server.close()

    asyncio.run(main())
