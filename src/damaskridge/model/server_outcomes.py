"""Outcomes of requests to backend servers, as hosts report them."""

import msgspec

__all__ = ["Outcomes"]


class Outcomes(msgspec.Struct, frozen=True, array_like=True):
    """
    Outcomes of the requests of one host to one backend server since its last report.

    Parameters
    ----------
    good : int
        Requests that the server answered as expected.
    failed : int
        Requests that failed, connections that it didn't accept included.
    """

    good: int = 0
    failed: int = 0
