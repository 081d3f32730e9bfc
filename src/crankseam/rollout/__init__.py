"""Training steps: generating samples and delivering them exactly once."""
