"""Where a request would go, and why, as an entry host explains it to operators."""

from typing import Annotated

import msgspec

__all__ = ["Explanation", "ExplainedRequest", "ServerRank", "StepExplanation"]

Count = Annotated[int, msgspec.Meta(ge=0, le=10_000_000)]


class ExplainedRequest(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """
    The request to explain.

    Parameters
    ----------
    host_name, path : str
        By which the route is selected.
    workspace : str
        Name of the caller's workspace; empty on public routes.
    prompt_tokens, max_output_tokens, expected_output_tokens : int
        Size of a generation; 0 for a call.
    """

    host_name: str
    path: str
    workspace: str = ""
    prompt_tokens: Count = 0
    max_output_tokens: Count = 0
    expected_output_tokens: Count = 0


class ServerRank(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """
    A backend server, as it is compared for one step of a request.

    Parameters
    ----------
    server, data_centre : str
        The server.
    rank : int
        1 for the best; 0 for one that is passed over.
    remark : str
        Why the server is passed over, or what it needs to be used.
    requests, prompt_tokens, memory_tokens : int
        Load of all hosts on it, as this host knows it.
    speed : float
        Its speed relative to others of its service.
    """

    server: str
    data_centre: str
    rank: int = 0
    remark: str = ""
    requests: int = 0
    prompt_tokens: int = 0
    memory_tokens: int = 0
    speed: float = 1.0


class StepExplanation(msgspec.Struct, frozen=True, kw_only=True):
    """
    One step of a request: a call, the choice of a decode engine, or a prefill.

    Parameters
    ----------
    step : str
        ``call``, ``decode`` or ``prefill``.
    decided_by : str
        ``host`` or ``leader``.
    compared : int
        How many of the servers with a rank are compared, drawn at random.
    servers : tuple of ServerRank
        The servers by rank, then those that are passed over.
    """

    step: str
    decided_by: str
    compared: int
    servers: tuple[ServerRank, ...]


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """
    What would happen to a request now.

    Parameters
    ----------
    host, data_centre : str
        The entry host that explains.
    routing_version : int
        Version of the routing table in force.
    outcome : str
        ``served``, or why the request would be refused.
    route : str
        Name of the route; empty if none matches.
    service : str
        The service; the one of the largest weight if there are several.
    priority, level : int
        Priority of the request, and how many of the service are more urgent.
    admission : str
        Whether the workspace's rate admits it, and who decides.
    retry_after_s : float
        When the rate would admit it; 0 for now.
    steps : tuple of StepExplanation
        The choices of servers, in their order.
    """

    host: str
    data_centre: str
    routing_version: int
    outcome: str
    route: str = ""
    service: str = ""
    priority: int = 0
    level: int = 0
    admission: str = ""
    retry_after_s: float = 0.0
    steps: tuple[StepExplanation, ...] = ()
