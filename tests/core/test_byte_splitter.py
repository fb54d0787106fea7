"""Guards against work that grows faster than the bytes that a server sends."""

import itertools
import re

import pytest
from hypothesis import given, strategies as st

from damaskridge.core.byte_splitter import ByteSplitter

END = re.compile(rb"\r?\n\r?\n")
LONGEST_END_BYTES = 4


class CountingPattern:
    """Counts the bytes in which it searches."""

    def __init__(self):
        self.searched_bytes = 0

    def search(self, buffer, search_from):
        self.searched_bytes += len(buffer) - search_from
        return END.search(buffer, search_from)


def searched_bytes(size_bytes, piece_bytes):
    pattern = CountingPattern()
    splitter = ByteSplitter(pattern, LONGEST_END_BYTES)
    for _ in range(size_bytes // piece_bytes):
        splitter.feed(b"x" * piece_bytes)
    return pattern.searched_bytes


@pytest.mark.parametrize("piece_bytes", [1, 16, 1024])
def test_work_is_linear_in_the_bytes_of_a_part_without_an_end(piece_bytes):
    small, large = (searched_bytes(size, piece_bytes) for size in (16_384, 65_536))
    assert large <= 5 * small
    assert large <= 65_536 * (1 + LONGEST_END_BYTES / piece_bytes)


@given(
    st.lists(st.sampled_from([b"\n", b"\r", b"a", b"id: 7", b"\n\n"]), max_size=40),
    st.lists(st.integers(0, 200), max_size=20),
)
def test_parts_do_not_depend_on_the_pieces(tokens, cuts):
    data = b"".join(tokens)
    whole = ByteSplitter(END, LONGEST_END_BYTES)
    expected = whole.feed(data)
    splitter, parts = ByteSplitter(END, LONGEST_END_BYTES), []
    edges = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    for start, stop in itertools.pairwise(edges):
        parts += splitter.feed(data[start:stop])
    assert parts == expected
    assert splitter.rest == whole.rest
