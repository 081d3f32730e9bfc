"""crankseam: a rollout service for reinforcement learning, run by declarative files."""

__version__ = "0.1.0"
