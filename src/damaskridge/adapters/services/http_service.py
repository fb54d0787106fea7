"""Client of plain services over HTTP."""

from result import Err, Ok, Result

from damaskridge.adapters.http_client import BackendClient
from damaskridge.adapters.ports import ServiceCall, ServiceResponse, StreamFailed
from damaskridge.model.errors import Failure

__all__ = ["HttpService"]

_MAX_RESPONSE_BYTES = 4_194_304


class HttpService:
    """
    Client of plain services; implements `ServicePort`.

    Parameters
    ----------
    client : BackendClient
        HTTP client, shared by all services.
    read_timeout_s : float
        Read timeout: the longest silence of an instance.
    """

    def __init__(self, client: BackendClient, read_timeout_s: float = 30.0) -> None:
        self._client = client
        self._read_s = read_timeout_s

    async def call(
        self, address: str, call: ServiceCall
    ) -> Result[ServiceResponse, Failure]:
        """Send a call; a failure to connect has run state ``not_run``, others don't."""
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in call.headers.items()
        ]
        headers.append((b"host", address.encode()))
        try:
            # A call that fails on a stale pooled connection couldn't be retried, since
            # the service may have run it. So each call uses a new connection.
            response = await self._client.call(
                call.method,
                f"http://{address}{call.path}",
                body=call.body,
                headers=headers,
                read_timeout_s=self._read_s,
                max_bytes=_MAX_RESPONSE_BYTES,
                new_connection=True,
            )
        except StreamFailed as error:
            return Err(error.failure)
        return Ok(
            ServiceResponse(response.status, response.content_type, response.body)
        )
