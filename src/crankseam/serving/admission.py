"""Who may send a request?

Inputs: the newest configuration that this process read, the caller's `Authorization` headers, and
the age of the configuration's confirmation in seconds.
Rule: A public route needs no key. Any other needs one known key, if the configuration has tenants
at all; where revocation is strict, a process whose confirmation is older than `confirm_s` refuses.
Protects: tenants from others' requests, and from keys that were revoked.
Shown by: `request_refused` (`unauthorized`, `unavailable`).
Held by: tests/serving/test_admission.py, tests/platform/test_tenants.py.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from crankseam.constants import OUTCOME_NOT_RUN
from crankseam.errors import Unauthorized, Unavailable
from crankseam.serving.retry import RETRY_AFTER_UNCONFIRMED_S
from crankseam.serving.routes import Configuration, RequestKind, Route
from crankseam.serving.tenants import Tenant, shown_key


@dataclass(frozen=True, slots=True)
class RevocationPolicy:
    """How long a key may be taken for good after it was last confirmed.

    Attributes
    ==========

    strict : whether a process that can't confirm it in time refuses.
    confirm_s : the longest age of the confirmation, in seconds.
    """

    strict: bool = False
    confirm_s: float = 5.0


class Admission:
    """Finds the tenant of a request by the newest configuration.

    Parameters
    ==========

    confirmed_age_s : seconds since the configuration was known to be the newest.
    """

    def __init__(self, policy: RevocationPolicy, confirmed_age_s: Callable[[], float]) -> None:
        self._policy = policy
        self._confirmed_age_s = confirmed_age_s

    def tenant_for_route(
        self, configuration: Configuration, route: Route, authorizations: Sequence[str]
    ) -> Tenant | None:
        """The tenant on whose behalf a request runs; None where no key is needed.

        Raises
        ======

        Unauthorized : no known key, on a route that needs one.
        Unavailable : whether the key still stands can't be told.
        """
        if route.is_public:
            return self._known(configuration, authorizations)
        return self._needed(configuration, authorizations)

    def tenant_for_jobs(
        self, configuration: Configuration, host: str, authorizations: Sequence[str]
    ) -> Tenant | None:
        """The tenant whose jobs a call may touch; None: only jobs that belong to nobody.

        Raises as `tenant_for_route` does, unless jobs of a public route may be meant.
        """
        has_public = any(
            route.is_public and route.kind is RequestKind.JOB and route.host == host
            for route in configuration.routes
        )
        if has_public:
            return self._known(configuration, authorizations)
        return self._needed(configuration, authorizations)

    @staticmethod
    def _known(configuration: Configuration, authorizations: Sequence[str]) -> Tenant | None:
        key = shown_key(authorizations)
        if configuration.tenants is None or key is None:
            return None
        return configuration.tenants.of_key(key)

    def _needed(self, configuration: Configuration, authorizations: Sequence[str]) -> Tenant | None:
        if configuration.tenants is None:
            return None
        tenant = self._known(configuration, authorizations)
        if tenant is None:
            raise Unauthorized("no API key that is known here", OUTCOME_NOT_RUN)
        if self._policy.strict and self._confirmed_age_s() > self._policy.confirm_s:
            reason = "whether the API key still stands can't be confirmed"
            raise Unavailable(reason, OUTCOME_NOT_RUN, RETRY_AFTER_UNCONFIRMED_S)
        return tenant
