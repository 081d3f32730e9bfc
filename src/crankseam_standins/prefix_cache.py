"""Prefix cache of the sampler emulator.

Owns the blocks of prompts in the emulated memory, least recently used first out. Words stand for
tokens.
"""

from __future__ import annotations

from collections import OrderedDict


class PrefixCache:
    """Blocks of prompt prefixes in limited memory, least recently used first out."""

    def __init__(self, blocks: int, block_tokens: int) -> None:
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._limit = max(1, blocks)
        self._block_tokens = block_tokens

    def cached_tokens(self, prompt: str) -> int:
        """Leading tokens (words stand for tokens) found in the cache; the rest is added."""
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
