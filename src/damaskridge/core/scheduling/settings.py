"""Settings of a cell scheduler; the feature switches exist for benchmarks."""

from dataclasses import dataclass

__all__ = ["FIRST_TOKEN_TARGET_S", "FRONT_LEASE_S", "SchedulerSettings"]

# Target for the time to first token of urgent requests.
FIRST_TOKEN_TARGET_S = 1.0
# Time without a message from a front after which it counts as lost.
FRONT_LEASE_S = 3.0


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """
    Assumptions of the scheduler, and switches for its mechanisms.

    Parameters
    ----------
    kv_bytes_per_token : int
        Size of the KV cache of one token, used to predict transfer times.
    infer_urgency : bool
        Whether requests are queued by inferred urgency, else by arrival.
    age_queued : bool
        Whether delay-tolerant requests past their slack get a share of the cell.
    fair_share : bool
        Whether workspaces are served by their weights.
    reserve_decode : bool
        Whether decode slots and KV memory are reserved before prefill.
    reserve_links : bool
        Whether the links are reserved for KV transfers.
    use_prefix_hints : bool
        Whether placement prefers engines that have a prefix of the prompt cached.
    correct_reports : bool
        Whether prompts sent after an engine's load report are added to it.
    control_overload : bool
        Whether requests that would wait for too long are refused at once.
    budget_retries : bool
        Whether the number of retries is limited by a budget.
    propose_roles : bool
        Whether engines are ordered to change between prefill and decode.
    """

    kv_bytes_per_token: int = 131_072
    infer_urgency: bool = True
    age_queued: bool = True
    fair_share: bool = True
    reserve_decode: bool = True
    reserve_links: bool = True
    use_prefix_hints: bool = True
    correct_reports: bool = True
    control_overload: bool = True
    budget_retries: bool = True
    propose_roles: bool = False
