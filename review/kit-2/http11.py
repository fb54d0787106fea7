"""A small HTTP/1.1 server and client for the stand-ins, on asyncio streams."""

import asyncio

MAX_HEAD_BYTES = 65_536


class Request:
    """A request that a stand-in has read."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        return self.headers.get(name, default)


async def read_head(reader):
    """Return the first line and the headers; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader):
    """Yield the chunks of a body; raises `ConnectionError` if it is cut."""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise ConnectionResetError("the body is cut")
        size = int(line.split(b";")[0], 16)
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return
        yield data


async def serve(ip, port, handle, writers=None):
    """
    Listen and call `handle(request, writer)` for each request.

    The writers of the open connections are kept in the set `writers`.
    """
    writers = set() if writers is None else writers

    async def on_connection(reader, writer):
        writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ", 2)
                length = int(head[1].get("content-length", "0"))
                body = await reader.readexactly(length)
                await handle(Request(method, target, head[1], body), writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writers.discard(writer)
            writer.close()

    return await asyncio.start_server(on_connection, ip, port, limit=MAX_HEAD_BYTES)


def answer(status, body=b"", headers=()):
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def call(address, method, target, headers=(), body=b"", timeout_s=1.0):
    """Return status, headers and body; status 0 if there is no whole answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=MAX_HEAD_BYTES
            )
            lines = [f"{method} {target} HTTP/1.1", f"Host: {address}", *headers]
            lines += [f"Content-Length: {len(body)}", "Connection: close"]
            writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
            head = await read_head(reader)
            if head is None:
                return 0, {}, b""
            status = int(head[0].split(" ")[1])
            if "content-length" in head[1]:
                data = await reader.readexactly(int(head[1]["content-length"]))
            else:
                data = await reader.read()
            return status, head[1], data
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()
