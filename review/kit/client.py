"""A client that keeps its connection open from one request to the next."""

import asyncio

from kit.configs import HOST_NAME
from kit.fleet import read_head

__all__ = ["Client"]

CONNECT_TIMEOUT_S = 1.0


class Client:
    """
    A client with one connection to one machine.

    Parameters
    ----------
    record : Record
        What is sent and answered.
    address : tuple of (str, int)
        The machine's `Front` address.
    """

    def __init__(self, record, address):
        self.record, self.address = record, address
        self.reader = self.writer = None

    async def connect(self):
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            self.reader, self.writer = await asyncio.open_connection(*self.address)

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
            self.writer = None

    async def request(self, method, target, headers, body=b"", timeout_s=14.0):
        """
        Send a request; return status, headers, body and whether it is complete.

        The status is 0 if the connection ends, or nothing comes, before a head.
        """
        status, found, received, complete = 0, {}, b"", False
        attempt = headers["X-Attempt-Id"]
        try:
            if self.writer is None:
                await self.connect()
            lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST_NAME}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines.append(f"Content-Length: {len(body)}")
            self.record.add(
                "sent", attempt=attempt, to=self.address[0], path=target.split("?")[0]
            )
            self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            async with asyncio.timeout(timeout_s):
                status, found = await read_head(self.reader)
                if found.get("transfer-encoding") == "chunked":
                    while True:
                        size = int(await self.reader.readuntil(b"\r\n"), 16)
                        part = await self.reader.readexactly(size + 2)
                        if not size:
                            break
                        received += part[:-2]
                elif "content-length" in found:
                    length = int(found["content-length"])
                    received = await self.reader.readexactly(length)
                else:
                    received = await self.reader.read()
                complete = True
            reason = "complete"
            if found.get("connection", "").lower() == "close":
                self.close()
        except TimeoutError:
            reason = "timeout"
            self.close()
        except asyncio.IncompleteReadError as error:
            received += error.partial
            reason = "connection ended"
            self.close()
        except OSError as error:
            reason = f"connection failed ({type(error).__name__})"
            self.close()
        self.record.add(
            "answered",
            attempt=attempt,
            status=status,
            bytes=len(received),
            end=reason.replace(" ", "-"),
            signature=found.get("x-response-signature", "none"),
        )
        return status, found, received, complete
