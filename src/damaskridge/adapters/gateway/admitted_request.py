"""A request that the gateway has admitted, with what is needed to forward it."""

import asyncio
from dataclasses import dataclass, field

from damaskridge.adapters.gateway.dialect import CallerRequest, EngineStep, SendOptions
from damaskridge.core.gateway.crashes.crash_tracker import (
    fingerprint_of,
    part_fingerprints,
)
from damaskridge.core.gateway.placement.memory import expected_memory_tokens
from damaskridge.core.gateway.placement.priorities import RequestPriority
from damaskridge.core.gateway.send_account import SendAccount
from damaskridge.core.gateway.send_policy import SendPolicy
from damaskridge.model.gateway import GatewayRoute, GatewayService

__all__ = ["AdmittedRequest"]


@dataclass(slots=True, kw_only=True)
class AdmittedRequest:
    """
    A caller's request, and what was decided on its admission.

    Parameters
    ----------
    request, body : CallerRequest, bytes
        The request as the caller sent it.
    route, service : GatewayRoute, GatewayService
        The route that matched, and the service chosen among the route's targets.
    workspace : str
        Workspace of the caller's key; empty on public routes.
    priority : RequestPriority
        Priority of the request.
    arrived_s : float
        Event loop time at which the head of the request was read.
    account : SendAccount
        What sending the request has cost the retry budget.
    sent_to : set of str
        Instances that the request was sent to.
    may_have_run : bool
        Whether a server or another host may have run the request, or may run it yet.
    is_handed_over : bool
        Whether another host serves the request.
    is_seeking_server : bool
        Whether the host is looking for a server, so that it may hand the request over
        instead of refusing it.

    Attributes
    ----------
    policy : SendPolicy
        Decides whether the request may be sent to a further backend server.
    fingerprints : tuple of str
        A digest that is the same for every retry of the request by its caller, and the
        digests of the parts of its prompt that other requests may contain.
    """

    request: CallerRequest
    body: bytes
    route: GatewayRoute
    service: GatewayService
    workspace: str
    priority: RequestPriority
    arrived_s: float
    policy: SendPolicy = field(init=False)
    fingerprints: tuple[str, ...] = field(init=False)
    account: SendAccount = field(default_factory=SendAccount)
    sent_to: set[str] = field(default_factory=set)
    may_have_run: bool = False
    is_handed_over: bool = False
    is_seeking_server: bool = False

    def __post_init__(self) -> None:
        route = self.route
        path = self.request.target.decode("latin-1")
        self.fingerprints = (
            fingerprint_of(self.workspace, path, self.body),
            *part_fingerprints(self.request.prompt_parts),
        )
        self.policy = SendPolicy(
            route.kind, route.attempts, is_resumable=route.is_resumable
        )

    @property
    def now_s(self) -> float:
        """Current event loop time."""
        return asyncio.get_running_loop().time()

    @property
    def elapsed_s(self) -> float:
        """Time since the request arrived."""
        return self.now_s - self.arrived_s

    @property
    def route_remaining_s(self) -> float:
        """Time until the timeout of the route; negative after it."""
        return self.route.timeout_ms / 1000 - self.elapsed_s

    @property
    def remaining_s(self) -> float:
        """Time until the timeout of the route or of the caller, the earlier of both."""
        caller_timeout_s = self.request.caller_timeout_s
        if caller_timeout_s is None:
            return self.route_remaining_s
        return min(self.route_remaining_s, caller_timeout_s - self.elapsed_s)

    @property
    def memory_tokens(self) -> int:
        """KV cache that a generation is expected to occupy on average, in tokens."""
        request = self.request
        return expected_memory_tokens(
            request.prompt_tokens,
            request.max_output_tokens,
            request.expected_output_tokens,
        )

    def send_options(
        self,
        instance: str,
        step: EngineStep | None = None,
        last_event_id: int | None = None,
    ) -> SendOptions:
        """Return what the gateway adds to the request if it is sent now."""
        return SendOptions(
            instance=instance,
            remaining_s=max(0.0, self.remaining_s),
            workspace=self.workspace,
            step=step,
            last_event_id=last_event_id,
        )
