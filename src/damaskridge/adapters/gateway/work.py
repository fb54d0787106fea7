"""One admitted request on its way through the gateway."""

import asyncio
from dataclasses import dataclass, field

from damaskridge.adapters.gateway.dialect import CallerRequest, EngineStep, SendOptions
from damaskridge.core.gateway.crash_tracker import fingerprint_of
from damaskridge.core.gateway.send_account import SendAccount
from damaskridge.core.gateway.send_policy import SendPolicy
from damaskridge.model.gateway import GatewayRoute, GatewayService

__all__ = ["GatewayWork"]

# Above a half, so that an engine that fills with long generations need not preempt.
OUTPUT_SHARE = 0.6


@dataclass(slots=True, kw_only=True)
class GatewayWork:
    """
    A request with everything that was decided about it on admission.

    Parameters
    ----------
    request, body : CallerRequest, bytes
        What the caller sent.
    route, service : GatewayRoute, GatewayService
        Where it goes.
    workspace : str
        Whose key came with it; empty on public routes.
    priority : int
        Rank of the request; 0 is the most urgent.
    arrived_s : float
        Loop time at which its head was read.
    fingerprint : str
        What the request has in common with its repeats.
    account : SendAccount
        What its sends cost the retry budget.
    """

    request: CallerRequest
    body: bytes
    route: GatewayRoute
    service: GatewayService
    workspace: str
    priority: int
    arrived_s: float
    policy: SendPolicy = field(init=False)
    fingerprint: str = field(init=False)
    account: SendAccount = field(default_factory=SendAccount)

    def __post_init__(self) -> None:
        route = self.route
        path = self.request.target.decode("latin-1")
        self.fingerprint = fingerprint_of(self.workspace, path, self.body)
        self.policy = SendPolicy(
            route.kind, route.attempts, is_resumable=route.is_resumable
        )

    @property
    def now_s(self) -> float:
        """Present time on the clock that arrival is measured with."""
        return asyncio.get_running_loop().time()

    @property
    def elapsed_s(self) -> float:
        """Time since the request arrived."""
        return self.now_s - self.arrived_s

    @property
    def timeout_s(self) -> float:
        """Time until the final answer is due."""
        return self.route.timeout_ms / 1000 - self.elapsed_s

    @property
    def left_s(self) -> float:
        """Time for which a backend server may work: never beyond the caller's."""
        patience_s = self.request.patience_s
        if patience_s is None:
            return self.timeout_s
        return min(self.timeout_s, patience_s - self.elapsed_s)

    @property
    def memory_tokens(self) -> int:
        """
        KV cache that a generation is expected to need, in tokens.

        The most output would leave a good part of the memory unused. The caller's
        estimate is right at the median, and a generation has half of its output on
        average over its time.
        """
        request = self.request
        expected_tokens = request.expected_output_tokens or request.output_tokens
        output_tokens = min(expected_tokens, request.output_tokens)
        return request.prompt_tokens + int(OUTPUT_SHARE * output_tokens)

    def options(
        self,
        instance: str,
        step: EngineStep | None = None,
        last_event_id: int | None = None,
    ) -> SendOptions:
        """Return what is added to a send that leaves now."""
        return SendOptions(
            instance=instance,
            left_s=max(0.0, self.left_s),
            workspace=self.workspace,
            step=step,
            last_event_id=last_event_id,
        )
