"""Settings of the scheduler of one cell; the switches exist for comparisons."""

from dataclasses import dataclass

__all__ = ["FIRST_TOKEN_TARGET_S", "FRONT_LEASE_S", "SchedulerSettings"]

FIRST_TOKEN_TARGET_S = 1.0
FRONT_LEASE_S = 3.0


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """
    What the scheduler assumes and which mechanisms it uses.

    Parameters
    ----------
    kv_bytes_per_token : int
        Size of the KV cache of one token, for transfer times.
    infer_urgency, age_queued, fair_share, reserve_decode, reserve_links : bool
        Switches for urgency, aging, fair share, decode memory and links.
    use_prefix_hints, correct_reports, control_overload, budget_retries : bool
        Switches for prefix hints, own counts beside load reports, refusals, and
        the budget of retries.
    propose_roles : bool
        Whether to order role changes.
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
