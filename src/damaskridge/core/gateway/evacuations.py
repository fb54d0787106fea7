"""Applies evacuations of data centres to the list of backend servers."""

from collections.abc import Iterable, Set

import msgspec

from damaskridge.model.gateway import BackendInstance

__all__ = ["mark_evacuated"]


def mark_evacuated(
    instances: Iterable[BackendInstance], evacuated: Set[str]
) -> tuple[BackendInstance, ...]:
    """
    Return the list with the servers of evacuated data centres marked as leaving.

    Orders leave them alone then, and hosts of a build that knows no evacuations send
    them nothing new.
    """
    return tuple(
        msgspec.structs.replace(item, is_leaving=True)
        if item.data_centre in evacuated and not item.is_leaving
        else item
        for item in instances
    )
