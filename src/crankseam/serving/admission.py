"""Authenticates callers and decides whether a request is admitted.

Inputs: the newest configuration that this process has read; the `Authorization` headers of the
request; the age, in seconds, of the last confirmation that the configuration is the newest.
Rule: A public route needs no API key. If the configuration has tenants, every other route needs
exactly one known key. With strict revocation, a process whose confirmation is older than
`max_confirmation_age_s` refuses such requests.
Purpose: Protects tenants from requests made by others and from requests made with revoked keys.
Logged as: `request_refused` (`unauthorized`, `unavailable`).
Tested by: tests/serving/test_admission.py, tests/platform/test_tenants.py.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from crankseam.constants import OUTCOME_NOT_RUN
from crankseam.errors import Unauthorized, Unavailable
from crankseam.serving.retry import RETRY_AFTER_UNCONFIRMED_KEY_S
from crankseam.serving.routes import Configuration, RequestKind, Route
from crankseam.serving.tenants import Tenant, bearer_key


@dataclass(frozen=True, slots=True)
class RevocationPolicy:
    """How long an API key is accepted after the configuration was last confirmed.

    Attributes
    ==========

    strict : whether a process without a recent confirmation refuses requests.
    max_confirmation_age_s : greatest accepted age of the confirmation, in seconds.
    """

    strict: bool = False
    max_confirmation_age_s: float = 5.0


class Admission:
    """Determines the tenant of a request from the newest configuration.

    Parameters
    ==========

    confirmed_age_s : returns the seconds since the configuration was last known to be the newest.
    """

    def __init__(self, policy: RevocationPolicy, confirmed_age_s: Callable[[], float]) -> None:
        self._policy = policy
        self._confirmed_age_s = confirmed_age_s

    def tenant_for_route(
        self, configuration: Configuration, route: Route, authorizations: Sequence[str]
    ) -> Tenant | None:
        """Return the tenant of a request; None for a request that needs no key and has none.

        Raises
        ======

        Unauthorized : the route needs a key and the request has no known one.
        Unavailable : this process cannot confirm that the key has not been revoked.
        """
        if route.is_public:
            return self._find_tenant(configuration, authorizations)
        return self._require_tenant(configuration, authorizations)

    def tenant_for_jobs(
        self, configuration: Configuration, host: str, authorizations: Sequence[str]
    ) -> Tenant | None:
        """Return the tenant whose jobs a call may access; None for jobs without a tenant only.

        Raises the same errors as `tenant_for_route`, unless the host has a public job route: then
        the call may concern jobs that were submitted without a key.
        """
        has_public = any(
            route.is_public and route.kind is RequestKind.JOB and route.host == host
            for route in configuration.routes
        )
        if has_public:
            return self._find_tenant(configuration, authorizations)
        return self._require_tenant(configuration, authorizations)

    @staticmethod
    def _find_tenant(configuration: Configuration, authorizations: Sequence[str]) -> Tenant | None:
        key = bearer_key(authorizations)
        if configuration.tenants is None or key is None:
            return None
        return configuration.tenants.find_by_key(key)

    def _require_tenant(
        self, configuration: Configuration, authorizations: Sequence[str]
    ) -> Tenant | None:
        if configuration.tenants is None:
            return None
        tenant = self._find_tenant(configuration, authorizations)
        if tenant is None:
            raise Unauthorized("no API key that is known here", OUTCOME_NOT_RUN)
        if self._policy.strict and self._confirmed_age_s() > self._policy.max_confirmation_age_s:
            reason = "whether the API key still stands can't be confirmed"
            raise Unavailable(reason, OUTCOME_NOT_RUN, RETRY_AFTER_UNCONFIRMED_KEY_S)
        return tenant
