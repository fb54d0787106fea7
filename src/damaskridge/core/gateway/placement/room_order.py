"""Decides how much of an engine's memory a generation must leave free.

It answers bursts in which the engines of a service lack room. Running generations grow:
if an engine's memory runs out, it stops one of them and prefills it again, and all
others wait meanwhile. And room that less urgent generations have taken is not free when
an urgent one arrives a moment later. So a part of the memory is left for growth, and a
generation leaves further room for each level of priority above its own. What is delayed
or refused first is what is least urgent, and of equal priority what needs most memory.

>>> order = RoomOrder(memory_tokens=40_000)
>>> order.usable_tokens(level=0), order.usable_tokens(level=2)
(36800, 34400)
>>> order.fits(5_000, used_tokens=30_000, level=0)
True
>>> order.fits(5_000, used_tokens=30_000, level=2)
False
"""

from dataclasses import dataclass

__all__ = ["USABLE_SHARE_OF_LEADER", "RoomOrder"]

# Share of an engine's memory that may be in use. Generations grow after admission, and
# a host doesn't know what others place at the same time.
USABLE_SHARE = 0.92
# The same for the leader, which knows all placements: the rest covers growth only.
USABLE_SHARE_OF_LEADER = 0.97
# Share that a generation leaves free for each more urgent level of priority: about a
# quarter of a generation of the usual size on an engine that holds eight. A larger
# share refuses what is less urgent while there is room.
LEVEL_SHARE = 0.03
# Lower levels leave no more room, so that they are still served in an overload.
MAX_LEVEL = 3


@dataclass(frozen=True, slots=True)
class RoomOrder:
    """
    The room on the engines of one service.

    Parameters
    ----------
    memory_tokens : int
        Memory of an engine, in tokens.
    usable_share : float
        Share of the memory that may be in use.
    """

    memory_tokens: int
    usable_share: float = USABLE_SHARE

    def usable_tokens(self, level: int) -> int:
        """Return the memory that may be in use once a generation has begun."""
        share = self.usable_share - LEVEL_SHARE * min(level, MAX_LEVEL)
        return int(share * self.memory_tokens)

    def fits(self, tokens: int, *, used_tokens: int, level: int) -> bool:
        """
        Tell whether a generation may begin on an engine.

        An engine without generations accepts one of any size.

        Parameters
        ----------
        tokens : int
            Memory that the generation is expected to need, in tokens.
        used_tokens : int
            Memory in use on the engine.
        level : int
            How many priorities are more urgent.
        """
        return used_tokens <= 0 or used_tokens + tokens <= self.usable_tokens(level)
