"""Client of the platform's list of backend servers over HTTP."""

from enum import Enum

import msgspec
from result import Err, Ok, Result

from damaskridge.adapters.http_client import BackendClient
from damaskridge.adapters.ports import StreamFailed
from damaskridge.model.errors import ErrorKind, Failure

__all__ = ["HttpHostList", "ListedServer", "ListedServerState"]

_READ_TIMEOUT_S = 1.0
_MAX_RESPONSE_BYTES = 4_194_304


class ListedServerState(Enum):
    """State of a backend server in the list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class ListedServer(msgspec.Struct, frozen=True):
    """One entry of the list."""

    name: str
    state: ListedServerState


class HttpHostList:
    """
    Fetches the list with ``GET /hosts``; implements `HostListPort`.

    Parameters
    ----------
    client : BackendClient
        HTTP client.
    address : str
        Address of the platform, ``ip:port``.
    """

    def __init__(self, client: BackendClient, address: str) -> None:
        self._client = client
        self._url = f"http://{address}/hosts"

    async def leaving(self) -> Result[frozenset[str], Failure]:
        """Return the names of backend servers that are leaving or gone."""
        try:
            response = await self._client.call(
                "GET",
                self._url,
                read_timeout_s=_READ_TIMEOUT_S,
                max_bytes=_MAX_RESPONSE_BYTES,
            )
            servers = msgspec.json.decode(response.body, type=tuple[ListedServer, ...])
        except StreamFailed as error:
            return Err(error.failure)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            detail = "the host list is not of the protocol"
            return Err(Failure(ErrorKind.BACKEND_SERVER_FAILED, detail))
        leaving = (
            server for server in servers if server.state is not ListedServerState.LIVE
        )
        return Ok(frozenset(server.name for server in leaving))
