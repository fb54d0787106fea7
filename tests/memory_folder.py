"""An in-memory data folder whose files outlive processes but not losses of power."""

import errno
import random

__all__ = ["MemoryFolder", "PowerLost"]

# Unit in which a disk writes: the parts of a torn write that persist are whole sectors,
# or a prefix.
SECTOR_BYTES = 512
# Share of the losses of power after which all unsynced writes are missing.
ALL_LOST_SHARE = 0.2


class PowerLost(Exception):
    """Simulated power loss: the host stopped before an operation on its disk."""


class MemoryFolder:
    """
    A data folder with simulated disk faults.

    A loss of power decides on each unsynced write by itself: it is present, missing or
    torn. What is missing before a later write reads as zeros.

    After `operations_left` further operations, the next raises `PowerLost`; None is
    no limit. Reads and appends do not count. While `is_full` is set, every write raises
    `OSError`; an append may have written a part of its data.

    Attributes
    ----------
    unsynced : dict of str to list of tuple of int and bytes
        Offset and data of the writes to a file since it was last synced.
    """

    def __init__(self) -> None:
        self.files: dict[str, bytearray] = {}
        self.unsynced: dict[str, list[tuple[int, bytes]]] = {}
        self.operations_left: int | None = None
        self.is_full = False

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        return bytes(self.files[name])

    def append(self, name: str, data: bytes) -> None:
        written = data[: len(data) // 2] if self.is_full else data
        self.unsynced[name].append((len(self.files[name]), bytes(written)))
        self.files[name] += written
        if self.is_full:
            raise OSError(errno.ENOSPC, "the simulated disk is full")

    def sync(self, name: str) -> None:
        self._count_operation()
        self.unsynced[name].clear()

    def truncate(self, name: str, size_bytes: int) -> None:
        self._count_operation()
        del self.files[name][size_bytes:]
        self.unsynced[name].clear()

    def replace(self, name: str, data: bytes) -> None:
        self._count_operation()
        if self.is_full:
            raise OSError(errno.ENOSPC, "the simulated disk is full")
        self.files[name] = bytearray(data)
        self.unsynced[name] = []

    def remove(self, name: str) -> None:
        self._count_operation()
        self.files.pop(name, None)

    def synced_bytes(self, name: str) -> int:
        """Return the size of the part of a file that survives a loss of power."""
        writes = self.unsynced[name]
        return writes[0][0] if writes else len(self.files[name])

    def lose_power(self, rng: random.Random) -> None:
        """Decide on each unsynced write by itself: present, missing or torn."""
        self.operations_left = None
        for name, data in self.files.items():
            writes = self.unsynced[name]
            if not writes:
                continue
            del data[self.synced_bytes(name) :]
            if rng.random() >= ALL_LOST_SHARE:
                for offset, content in writes:
                    write_after_power_loss(data, offset, content, rng)
            writes.clear()

    def flip_bit(self, rng: random.Random) -> None:
        """Flip a random bit in the synced part of the first log file."""
        name = next(n for n in self.names() if n.startswith("log-"))
        position = rng.randrange(self.synced_bytes(name))
        self.files[name][position] ^= 1 << rng.randrange(8)

    def lose(self) -> None:
        """Delete all files, as when a disk is replaced."""
        self.files.clear()
        self.unsynced.clear()

    def _count_operation(self) -> None:
        if self.operations_left is not None:
            if self.operations_left == 0:
                raise PowerLost
            self.operations_left -= 1


def write_after_power_loss(
    data: bytearray, offset: int, content: bytes, rng: random.Random
) -> None:
    """Add what a loss of power leaves of one unsynced write to a file."""
    fate = rng.choice(("present", "missing", "prefix", "sectors"))
    if fate == "missing":
        return
    end = offset + (rng.randrange(len(content)) if fate == "prefix" else len(content))
    start = offset
    while start < end:
        stop = min(end, (start // SECTOR_BYTES + 1) * SECTOR_BYTES)
        if fate != "sectors" or rng.random() < 0.5:
            data.extend(bytes(max(0, stop - len(data))))
            data[start:stop] = content[start - offset : stop - offset]
        start = stop
