"""Stream assembler: lost, duplicate or reordered tokens."""

import pytest
from hypothesis import given, settings, strategies as st

from damaskridge.core.requests.assembler import Assembler, InvalidChunk
from damaskridge.model.engine import DecodeChunk


@settings(derandomize=True, max_examples=200)
@given(st.data())
def test_each_token_is_delivered_once_and_in_order(data):
    count = data.draw(st.integers(0, 30))
    chunks = [DecodeChunk(offset, str(offset)) for offset in range(count)]
    chunks.append(DecodeChunk(count, finish_reason="stop"))
    duplicates = data.draw(st.lists(st.sampled_from(chunks), max_size=30))
    missing = data.draw(st.sets(st.integers(0, count), max_size=2))
    late = [chunks[offset] for offset in sorted(missing)]
    early = [chunk for chunk in chunks + duplicates if chunk.offset not in missing]
    stream = Assembler(max_pending_chunks=64)
    delivered = []
    for chunk in data.draw(st.permutations(early)):
        delivered += stream.add(chunk)
    assert delivered == chunks[: min(missing, default=count + 1)]
    for chunk in late:
        delivered += stream.add(chunk)
    assert delivered == chunks
    assert stream.finished


@pytest.mark.parametrize("offset", [-1, 8])
def test_chunks_with_offsets_out_of_range_are_refused(offset):
    with pytest.raises(InvalidChunk):
        Assembler(max_pending_chunks=8).add(DecodeChunk(offset, "x"))


def test_pending_chunks_of_an_earlier_attempt_are_discarded():
    stream = Assembler(max_pending_chunks=8)
    stream.add(DecodeChunk(1, "old"))
    stream.discard_pending()
    stream.add(DecodeChunk(0, "a"))
    assert stream.add(DecodeChunk(1, "new")) == (DecodeChunk(1, "new"),)
