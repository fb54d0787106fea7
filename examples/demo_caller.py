"""A caller: asks for addresses, sends requests, resumes a broken stream."""

import http.client
import json
import time
from dataclasses import dataclass, field

GENERATE_PATH = "/v1/completions"
TIMEOUT_S = 10.0
RESUME_TRIES = 40
RESUME_PAUSE_S = 0.25


@dataclass
class Answer:
    """What a caller has seen of one request."""

    status: int = 0
    request_id: str = ""
    error_kind: str = ""
    first_token_s: float | None = None
    took_s: float = 0.0
    host_address: str = ""
    resumed: int = 0
    finished: bool = False
    body: str = ""
    tokens: dict[int, str] = field(default_factory=dict)

    @property
    def whole(self) -> bool:
        """Whether every offset arrived and the last chunk too."""
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
) -> Answer:
    answer = Answer(host_address=address)
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
        _read(connection.getresponse(), answer, started_s, on_token)
    except (OSError, http.client.HTTPException):
        answer.error_kind = "connection_lost"
    finally:
        connection.close()
    answer.took_s = time.monotonic() - started_s
    return answer


def resume(entry_addresses: list[str], key: str, answer: Answer) -> None:
    """Ask other hosts for the rest of a stream until it is whole."""
    for number in range(RESUME_TRIES):
        if answer.finished:
            return
        address = entry_addresses[number % len(entry_addresses)]
        headers = {"authorization": f"Bearer {key}"}
        if answer.tokens:
            headers["last-event-id"] = str(max(answer.tokens))
        connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
        try:
            path = f"/v1/requests/{answer.request_id}/stream"
            connection.request("GET", path, headers=headers)
            reply = connection.getresponse()
            if reply.status == 200:
                answer.resumed += 1
                answer.host_address = address
                answer.error_kind = ""
            _read(reply, answer, 0.0, None)
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        time.sleep(RESUME_PAUSE_S)


def call_service(
    address: str, key: str, path: str, body: bytes, idempotency_key: str
) -> Answer:
    started_s = time.monotonic()
    headers = {"authorization": f"Bearer {key}", "content-type": "application/json"}
    if idempotency_key:
        headers["idempotency-key"] = idempotency_key
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    try:
        connection.request("POST", f"/services/{path}", body, headers)
        reply = connection.getresponse()
        answer = Answer(reply.status, host_address=address)
        answer.body = reply.read().decode()
        answer.finished = reply.status < 300
        answer.took_s = time.monotonic() - started_s
        return answer
    finally:
        connection.close()


def _read(reply, answer: Answer, started_s: float, on_token) -> None:
    answer.request_id = reply.getheader("x-request-id") or answer.request_id
    answer.status = reply.status
    if reply.status != 200:
        answer.body = reply.read().decode()
        answer.error_kind = _error_kind(answer.body)
        return
    offset = None
    while line := reply.readline():
        name, _, value = line.decode().rstrip("\r\n").partition(": ")
        if name == "id":
            offset = int(value)
        elif name == "data" and value != "[DONE]":
            _take(json.loads(value), offset, answer)
            if answer.first_token_s is None and started_s and answer.tokens:
                answer.first_token_s = time.monotonic() - started_s
            if on_token is not None:
                on_token(answer)


def _take(data: dict, offset: int | None, answer: Answer) -> None:
    if data.get("error"):
        answer.error_kind = data["error"].get("kind", "")
        return
    choice = data["choices"][0]
    if choice.get("finish_reason"):
        answer.finished = True
    elif offset is not None:
        earlier = answer.tokens.setdefault(offset, choice["text"])
        if earlier != choice["text"]:
            answer.error_kind = "different_text"


def _error_kind(body: str) -> str:
    try:
        return str(json.loads(body)["error"]["kind"])
    except (ValueError, KeyError, TypeError):
        return "unreadable"
