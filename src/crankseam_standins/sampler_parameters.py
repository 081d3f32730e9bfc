"""Parameters of the sampler emulator and the assumptions behind them.

The users' requirements do not state engine step times, so these values are assumptions and not
measurements on an accelerator. They follow the publicly known cost model of engines with
continuous batching: a decode step has a fixed cost (reading the weights) plus a small cost for each
running sequence, and the cost of a prefill is proportional to the number of prompt tokens that are
not in the prefix cache. `time_scale` divides the times, so that experiments run faster than real
time.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class SamplerParameters:
    """Parameters of the emulator. Times are in seconds before scaling."""

    decode_step_fixed: float = 0.020
    """Assumed: about 50 steps per second at batch size 1."""
    decode_step_per_sequence: float = 0.00015
    """Assumed: 64 running sequences make a decode step about 1.5 times as long."""
    prefill_per_token: float = 0.00005
    """Assumed: 20,000 prompt tokens per second."""
    max_running: int = 64
    """Maximum number of sequences in the batch; further ones wait in order of priority."""
    kv_tokens: int = 262_144
    """Assumed capacity of the KV cache in tokens: 64 sequences of 4,096 tokens."""
    prefix_block: int = 16
    """Number of tokens in one cached prefix block."""
    chunk_tokens: int = 8
    """Number of tokens sent in one event; fewer events reduce the cost of the emulation."""
    load_seconds: float = 20.0
    """Assumed: time to load new weights while the current ones are served."""
    switch_seconds: float = 0.5
    """Assumed: time to swap pointers and recompute the KV cache of the running sequences."""
    report_lag: float = 0.3
    """Age of the state that a load report shows. Not scaled."""
    median_length: int = 200
    """Median sample length in tokens, a property of the workload and not of the engine."""
    length_sigma: float = 0.8
    """Sigma of the log-normal distribution over groups: p99 is about 6.4 times the median."""
    group_sigma: float = 0.25
    """Sigma of the log-normal distribution within a prompt group."""
    time_scale: float = 1.0
    """Emulated seconds per real second."""
