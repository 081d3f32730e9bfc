"""Monotonic clock that a test sets explicitly."""


class FakeClock:
    """Replaces the `time` module in code that calls only `time.monotonic`."""

    def __init__(self, now=0.0):
        self.now = now

    def monotonic(self):
        return self.now
