"""Keeps an error that concerns one back end, item or service from ending the work of all others.

A choice looks at many back ends, and a round at many items or services. If one of them causes an
internal error, the caller leaves it out, continues with the rest, and logs the error here.
"""

from __future__ import annotations

import logging

from crankseam import clocks
from crankseam.serving.log_interval import LogInterval

log = logging.getLogger(__name__)

_log_interval = LogInterval(clocks.monotonic_s)


def log_left_out(decision: str, subject: str) -> None:
    """Log the error that is being handled, at a limited rate; to be called from `except`.

    Parameters
    ==========

    decision : what was being decided; a word from the code, not a value.
    subject : id of the back end or item, or name of the service, that is left out.
    """
    count = _log_interval.count_if_due(f"{decision} {subject}")
    if count:
        log.exception("left_out", extra={"decision": decision, "subject": subject, "count": count})
