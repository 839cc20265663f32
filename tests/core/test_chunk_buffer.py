"""A chunk buffer keeps all bytes in their order, in few objects, and states what it occupies."""

from __future__ import annotations

import sys
from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from cloverkeel.core.chunk_buffer import MIN_CHUNK_BYTES, ChunkBuffer

POINTER_BYTES = 8

pieces_strategy = st.lists(st.integers(1, 3 * MIN_CHUNK_BYTES) | st.integers(1, 3), max_size=200)


@given(pieces_strategy)
def test_all_bytes_are_kept_in_their_order(sizes: list[int]) -> None:
    pieces = [bytes([number % 251]) * size for number, size in enumerate(sizes)]
    buffer = ChunkBuffer()
    for piece in pieces:
        buffer.append(piece)
    assert buffer.size == sum(sizes)
    assert buffer.take_bytes() == b"".join(pieces)
    assert buffer.size == 0 and buffer.take_chunks() == []


@given(pieces_strategy)
def test_memory_is_stated_and_few_objects_are_kept(sizes: list[int]) -> None:
    buffer = ChunkBuffer()
    for size in sizes:
        buffer.append(bytes(size))
    held_bytes = buffer.held_bytes
    chunks = buffer.take_chunks()
    occupied_bytes = sum(sys.getsizeof(chunk) + POINTER_BYTES for chunk in chunks)
    assert occupied_bytes <= held_bytes <= 1.2 * occupied_bytes + 200
    assert all(max(len(first), len(second)) >= MIN_CHUNK_BYTES for first, second in pairwise(chunks))
