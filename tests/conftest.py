"""Shared settings: Hypothesis runs the same examples each time."""

import aiomisc  # noqa: F401 - looks at standard error when imported, before a test replaces it
from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("ci")
