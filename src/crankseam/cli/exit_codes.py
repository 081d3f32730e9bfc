"""Exit codes of the command, as documented in docs/operators/command-line.md."""

OK = 0
"""The command succeeded."""
FAILED = 1
"""The command failed or reported a failure, such as a violation in an experiment."""
INVALID = 2
"""Arguments, files or settings are invalid; nothing was changed."""
CONFLICT = 3
"""Another change was accepted first; nothing was changed."""
UNREACHABLE = 4
"""A service or node did not answer; the message states whether a change may have been made."""
NOT_IN_FORCE = 5
"""The revision was accepted but not seen in force on all nodes within the timeout."""
