"""Tracks which engines have which prompt prefixes cached.

After a gap in an engine's cache events its hints are discarded, so that no hint names
a block whose eviction was missed.
"""

from collections.abc import Sequence

from damaskridge.model.engine import (
    BYTES_PER_TOKEN,
    PREFIX_BLOCK_BYTES,
    CacheEventPage,
)

__all__ = ["PrefixHints"]

_BLOCK_TOKENS = PREFIX_BLOCK_BYTES // BYTES_PER_TOKEN
_MAX_BLOCKS_PER_SERVER = 50_000


class PrefixHints:
    """Prefix blocks that each engine has cached, as far as its events show."""

    def __init__(self) -> None:
        self._blocks_by_server: dict[str, set[int]] = {}
        self._servers_by_block: dict[int, dict[str, None]] = {}
        self._last_sequences: dict[str, int] = {}

    def apply(self, server: str, page: CacheEventPage) -> None:
        """Apply events in order; a gap in them discards the hints of the server."""
        for event in page.events:
            last = self._last_sequences.get(server)
            if last is not None and event.sequence <= last:
                continue
            if last is not None and event.sequence > last + 1:
                self.discard_server(server)
            self._last_sequences[server] = event.sequence
            self._apply_event(server, event.block_hash, event.cached)
        if page.gap:
            self.discard_server(server)

    def discard_server(self, server: str) -> None:
        """Discard all hints of a server."""
        for block_hash in self._blocks_by_server.pop(server, set()):
            self._remove_holder(server, block_hash)

    def reset_server(self, server: str) -> None:
        """Discard the hints of a restarted server, whose event numbers start anew."""
        self.discard_server(server)
        self._last_sequences.pop(server, None)

    def cached_tokens(self, server: str, hashes: Sequence[int]) -> int:
        """Return the length of the longest prefix cached by a server, in tokens."""
        blocks = self._blocks_by_server.get(server)
        if not blocks:
            return 0
        low, high = 0, len(hashes)
        while low < high:
            middle = (low + high + 1) // 2
            if hashes[middle - 1] in blocks:
                low = middle
            else:
                high = middle - 1
        return low * _BLOCK_TOKENS

    def servers_with_prefix(self, hashes: Sequence[int], count: int) -> list[str]:
        """Return up to `count` servers that have at least the first block cached."""
        if not hashes:
            return []
        found = self._servers_by_block.get(hashes[0], {})
        return [name for _, name in zip(range(count), found, strict=False)]

    def _apply_event(self, server: str, block_hash: int, cached: bool) -> None:
        blocks = self._blocks_by_server.setdefault(server, set())
        if not cached:
            blocks.discard(block_hash)
            self._remove_holder(server, block_hash)
        elif len(blocks) < _MAX_BLOCKS_PER_SERVER:
            blocks.add(block_hash)
            self._servers_by_block.setdefault(block_hash, {})[server] = None

    def _remove_holder(self, server: str, block_hash: int) -> None:
        holders = self._servers_by_block.get(block_hash)
        if holders is not None:
            holders.pop(server, None)
            if not holders:
                del self._servers_by_block[block_hash]
