"""How long engines took for prefills, as hosts report it."""

import msgspec

__all__ = ["PrefillTime"]


class PrefillTime(msgspec.Struct, frozen=True, array_like=True):
    """
    A prefill on an engine without a queue.

    Parameters
    ----------
    tokens : int
        Length of the prompt.
    elapsed_ms : int
        Time from the request to the response, in milliseconds.
    """

    tokens: int
    elapsed_ms: int
