"""Exit codes of the command, as documented in docs/operators/command-line.md."""

OK = 0
"""The work was done."""
FAILED = 1
"""The work was done and found a failure, such as a violation in an experiment."""
INVALID = 2
"""Wrong arguments, files or settings; nothing was changed."""
CONFLICT = 3
"""Another operator's change came first; nothing was changed."""
UNREACHABLE = 4
"""A service or node did not answer; the message says whether anything may have changed."""
NOT_IN_FORCE = 5
"""Accepted, but not seen in force everywhere within the time given."""
