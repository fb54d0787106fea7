"""Crashes of instances, and the runs that they interrupted, as hosts report them."""

import msgspec

from damaskridge.model.gateway import InstanceId

__all__ = ["Completion", "CrashNotice", "InterruptedRun", "RecordedCrash"]


class InterruptedRun(msgspec.Struct, frozen=True, array_like=True):
    """
    A run that broke off.

    Parameters
    ----------
    fingerprints : tuple of str
        Digests of the request and of the parts of its prompt.
    is_past_onset : bool
        Whether the instance had sent more than the first events of the response.
    """

    fingerprints: tuple[str, ...]
    is_past_onset: bool = False


class Completion(msgspec.Struct, frozen=True, array_like=True):
    """
    A run that a server completed, which shows that it is harmless.

    Parameters
    ----------
    fingerprint : str
        Digest of the request or of a part of its prompt.
    age_s : float
        Time since the end of the run, in seconds.
    """

    fingerprint: str
    age_s: float


class CrashNotice(msgspec.Struct, frozen=True, array_like=True):
    """
    A crash of an instance, as known to one host.

    Parameters
    ----------
    server : InstanceId
        The instance.
    age_s : float
        Time since the crash, in seconds; clocks of hosts aren't comparable.
    runs : tuple of InterruptedRun
        Runs that the crash interrupted. Empty if a host has only found the instance
        gone: other hosts may have had runs there.
    """

    server: InstanceId
    age_s: float
    runs: tuple[InterruptedRun, ...] = ()


class RecordedCrash(msgspec.Struct, frozen=True, array_like=True):
    """
    A crash that explains a quarantine, as the control group keeps it.

    Parameters
    ----------
    server : InstanceId
        The instance.
    at_ms : int
        Unix time of the crash, in milliseconds.
    runs : tuple of InterruptedRun
        The interrupted runs to which the quarantine applies.
    """

    server: InstanceId
    at_ms: int
    runs: tuple[InterruptedRun, ...]
