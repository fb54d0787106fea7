"""Guards against a proxy that harms connections in another way than it is told."""

import asyncio

import pytest

from tests.fault_soak.proxy import FaultProxy, LinkFault


async def _echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


async def _ask(address, wait_s=0.1):
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(b"ping")
    try:
        async with asyncio.timeout(wait_s):
            return await reader.read(100)
    except TimeoutError:
        return None
    except ConnectionError:
        return b""
    finally:
        writer.close()


def play(fault):
    async def main():
        server = await asyncio.start_server(_echo, "127.0.0.1", 0)
        target = server.sockets[0].getsockname()[:2]
        proxy = FaultProxy(lambda: target)
        await proxy.start()
        proxy.fault = fault
        proxy.delay_s = 0.02
        answer = await _ask(proxy.address)
        await proxy.stop()
        server.close()
        return answer

    return asyncio.run(main())


@pytest.mark.parametrize(
    ("fault", "answer"),
    [
        (LinkFault.NONE, b"ping"),
        (LinkFault.DELAY, b"ping"),
        (LinkFault.SILENCE, None),
        (LinkFault.MUTE, None),
        (LinkFault.REFUSE, b""),
    ],
)
def test_each_fault_does_what_it_says(fault, answer):
    assert play(fault) == answer


def test_nothing_follows_what_a_connection_has_lost():
    """A proxy that lost only the middle would show faults that no network has."""

    async def main():
        server = await asyncio.start_server(_echo, "127.0.0.1", 0)
        target = server.sockets[0].getsockname()[:2]
        proxy = FaultProxy(lambda: target)
        await proxy.start()
        ip, _, port = proxy.address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        for data, fault in ((b"lost", LinkFault.MUTE), (b"late", LinkFault.NONE)):
            proxy.fault = fault
            writer.write(data)
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.1):
                    await reader.read(100)
        writer.close()
        await proxy.stop()
        server.close()

    asyncio.run(main())


def test_a_reset_ends_open_connections():
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
