"""Evacuations of data centres, whose backend servers then get no new requests."""

import msgspec

__all__ = ["EvacuationOrder"]


class EvacuationOrder(msgspec.Struct, frozen=True, kw_only=True):
    """
    An operator's order to evacuate a data centre, or to take it back.

    Parameters
    ----------
    data_centre : str
        Name of the data centre.
    is_evacuated : bool
        Whether nothing new is sent to its backend servers from now on.
    operator : str
        Name of the operator, if the order came through `damaskridge-ctl`.
    """

    data_centre: str
    is_evacuated: bool
    operator: str = ""
