"""Questions of hosts to the leader whether a workspace's rate admits a request."""

import msgspec

__all__ = ["AdmissionDecided", "AdmissionWanted"]


class AdmissionWanted(msgspec.Struct, frozen=True, array_like=True):
    """
    Requests the admission of one request of a contended workspace.

    Parameters
    ----------
    sequence : int
        Number of this message on its host; `AdmissionDecided` returns it.
    workspace : str
        Name of the workspace.
    cost : float
        Cost of the request, in the unit of the workspace's rate.
    priority : int
        Its priority; 0 is the most urgent.
    """

    sequence: int
    workspace: str
    cost: float
    priority: int = 0


class AdmissionDecided(msgspec.Struct, frozen=True, array_like=True):
    """
    The decision on `AdmissionWanted`.

    Parameters
    ----------
    sequence : int
        Number of the message that it answers.
    wait_s : float
        0 if the request is admitted, else the time until its turn.
    admitted_share : float
        Share of the workspace's large requests that are admitted at present; a host
        goes on with it if it loses the leader.
    is_undecided : bool
        Whether the control host doesn't lead any more; the host decides then.
    """

    sequence: int
    wait_s: float
    admitted_share: float = 1.0
    is_undecided: bool = False
