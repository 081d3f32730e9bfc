"""Prefix cache of the sampler emulator.

Holds the prompt blocks in the emulated memory and evicts the least recently used ones. Each word of
a prompt counts as one token.
"""

from __future__ import annotations

from collections import OrderedDict


class PrefixCache:
    """Set of prompt prefix blocks of limited size with least-recently-used eviction."""

    def __init__(self, blocks: int, block_tokens: int) -> None:
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._limit = max(1, blocks)
        self._block_tokens = block_tokens

    def cached_tokens(self, prompt: str) -> int:
        """Return the number of leading tokens in the cache, and add the prompt's other blocks."""
        words = prompt.split()
        hits = 0
        unbroken = True
        for end in range(self._block_tokens, len(words) + 1, self._block_tokens):
            key = " ".join(words[:end])
            if key in self._blocks:
                self._blocks.move_to_end(key)
                hits += unbroken
            else:
                unbroken = False
                self._blocks[key] = None
        while len(self._blocks) > self._limit:
            self._blocks.popitem(last=False)
        return hits * self._block_tokens
