"""Parameters of the sampler emulator, and where each number comes from.

The users' brief leaves engine step times out, so these are assumptions of this project, chosen
to have the shape that is publicly known of continuously batching engines: a decode step costs a
fixed part (reading the weights) and a small part for each running sequence; a prefill costs in
proportion to the prompt tokens that are not in the prefix cache. None of them was measured on an
accelerator. `time_scale` divides all times, so that experiments run faster than life.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class SamplerParameters:
    """All numbers of the emulator. Times are seconds before scaling."""

    decode_step_fixed: float = 0.020
    """Assumed: 50 steps a second at batch size 1."""
    decode_step_per_sequence: float = 0.00015
    """Assumed: 64 running sequences make a step half as long again."""
    prefill_per_token: float = 0.00005
    """Assumed: 20,000 prompt tokens a second."""
    max_running: int = 64
    """Sequences in the batch; further ones wait, by priority."""
    kv_tokens: int = 262_144
    """Assumed KV memory: 64 sequences of 4,096 tokens."""
    prefix_block: int = 16
    """Tokens of one cached prefix block."""
    chunk_tokens: int = 8
    """Tokens sent in one event; fewer events keep the emulator cheap."""
    load_seconds: float = 20.0
    """Assumed: a staged load of weights beside the served ones."""
    switch_seconds: float = 0.5
    """Assumed: swapping pointers and recomputing running sequences' KV cache."""
    report_lag: float = 0.3
    """Load reports show the state of this long ago. Not scaled."""
    median_length: int = 200
    """Median sample length in tokens; the workload's own, not the engine's."""
    length_sigma: float = 0.8
    """Sigma of the log-normal over prompt groups: p99 is about 6.4 times the median."""
    group_sigma: float = 0.25
    """Sigma of the log-normal within a group."""
    time_scale: float = 1.0
    """Emulated seconds for each real second."""
