"""A caller that looks up addresses, sends requests and resumes lost streams."""

import http.client
import json
import time
from dataclasses import dataclass, field

GENERATE_PATH = "/v1/completions"
TIMEOUT_S = 10.0
MAX_RESUME_ATTEMPTS = 40
RESUME_INTERVAL_S = 0.25


@dataclass
class Response:
    """What a caller has received for one request, over all its connections."""

    status: int = 0
    request_id: str = ""
    error_kind: str = ""
    first_token_s: float | None = None
    duration_s: float = 0.0
    host_address: str = ""
    resume_count: int = 0
    finished: bool = False
    body: str = ""
    tokens: dict[int, str] = field(default_factory=dict)

    @property
    def whole(self) -> bool:
        """Whether every offset and the last chunk have been received."""
        return self.finished and sorted(self.tokens) == list(range(len(self.tokens)))


def addresses(entry_address: str) -> list[str]:
    connection = http.client.HTTPConnection(entry_address, timeout=TIMEOUT_S)
    try:
        connection.request("GET", "/v1/addresses")
        return list(json.loads(connection.getresponse().read())["addresses"])
    finally:
        connection.close()


def generate(
    address: str, key: str, prompt: str, max_output_tokens: int, on_token=None
) -> Response:
    response = Response(host_address=address)
    started_s = time.monotonic()
    body = {
        "model": "notes",
        "prompt": prompt,
        "max_tokens": max_output_tokens,
        "stream": True,
    }
    headers = {"authorization": f"Bearer {key}", "content-type": "application/json"}
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    try:
        connection.request("POST", GENERATE_PATH, json.dumps(body), headers)
        _read_stream(connection.getresponse(), response, started_s, on_token)
    except (OSError, http.client.HTTPException):
        response.error_kind = "connection_lost"
    finally:
        connection.close()
    response.duration_s = time.monotonic() - started_s
    return response


def resume(entry_addresses: list[str], key: str, response: Response) -> None:
    """Fetch the rest of a stream from other hosts; retry until it is finished."""
    for attempt in range(MAX_RESUME_ATTEMPTS):
        if response.finished:
            return
        address = entry_addresses[attempt % len(entry_addresses)]
        headers = {"authorization": f"Bearer {key}"}
        if response.tokens:
            headers["last-event-id"] = str(max(response.tokens))
        connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
        try:
            path = f"/v1/requests/{response.request_id}/stream"
            connection.request("GET", path, headers=headers)
            http_response = connection.getresponse()
            if http_response.status == 200:
                response.resume_count += 1
                response.host_address = address
                response.error_kind = ""
            _read_stream(http_response, response, 0.0, None)
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        time.sleep(RESUME_INTERVAL_S)


def call_service(
    address: str, key: str, path: str, body: bytes, idempotency_key: str
) -> Response:
    started_s = time.monotonic()
    headers = {"authorization": f"Bearer {key}", "content-type": "application/json"}
    if idempotency_key:
        headers["idempotency-key"] = idempotency_key
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    try:
        connection.request("POST", f"/services/{path}", body, headers)
        http_response = connection.getresponse()
        response = Response(http_response.status, host_address=address)
        response.body = http_response.read().decode()
        response.finished = http_response.status < 300
        response.duration_s = time.monotonic() - started_s
        return response
    finally:
        connection.close()


def _read_stream(http_response, response: Response, started_s: float, on_token) -> None:
    response.request_id = http_response.getheader("x-request-id") or response.request_id
    response.status = http_response.status
    if http_response.status != 200:
        response.body = http_response.read().decode()
        response.error_kind = _error_kind(response.body)
        return
    offset = None
    while line := http_response.readline():
        name, _, value = line.decode().rstrip("\r\n").partition(": ")
        if name == "id":
            offset = int(value)
        elif name == "data" and value != "[DONE]":
            _add_chunk(json.loads(value), offset, response)
            if response.first_token_s is None and started_s and response.tokens:
                response.first_token_s = time.monotonic() - started_s
            if on_token is not None:
                on_token(response)


def _add_chunk(data: dict, offset: int | None, response: Response) -> None:
    if data.get("error"):
        response.error_kind = data["error"].get("kind", "")
        return
    choice = data["choices"][0]
    if choice.get("finish_reason"):
        response.finished = True
    elif offset is not None:
        known_text = response.tokens.setdefault(offset, choice["text"])
        if known_text != choice["text"]:
            response.error_kind = "different_text"


def _error_kind(body: str) -> str:
    try:
        return str(json.loads(body)["error"]["kind"])
    except (ValueError, KeyError, TypeError):
        return "unreadable"
