"""A node with one mechanism switched off, for control runs: the auditor must find violations.

Nothing of this is in the serving package: the mechanism is replaced from outside, in a process
that then runs the ordinary node.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from crankseam.cli.main import main
from crankseam.cluster.agent import ClusterAgent
from crankseam.cluster.configuration_lease import ConfigurationLease
from crankseam.constants import OUTCOME_NOT_RUN
from crankseam.controllers.weights import WeightsController
from crankseam.errors import Problem
from crankseam.node import Node
from crankseam.requests.claim import ClaimFilter, RefusalFilter, RequestClaims
from crankseam.requests.context import Answer, NextHandler, RequestContext
from crankseam.rollout import executors, generation, service, step_run
from crankseam.rollout.messages import Segment
from crankseam.routing import Router
from crankseam_experiments.spec import FaultName
from crankseam_standins.replacing import replace_attribute


@dataclass(frozen=True)
class Weakening:
    """How a mechanism is switched off, and the faults under which its absence shows."""

    apply: Callable[[], None]
    faults: tuple[FaultName, ...]
    app_work_seconds: float | None = None
    """Mean time that an app server works, where requests must be under way for it to show."""
    time_scale: float | None = None
    """Slows the samplers down, where a step must be half received for it to show."""


def _label_with_first_version() -> None:
    """Samples are labelled with the version they began with, not with what was reported."""

    def append(segments: list[Segment], version: int, start: int, count: int) -> None:
        if count:
            first = segments[0].version if segments else version
            segments[:] = [Segment(first, 0, start + count)]

    replace_attribute(generation, "append_tokens", append)
    replace_attribute(executors, "append_tokens", append)


def _deliver_stale() -> None:
    """Nothing checks the bound, and no new weights are loaded."""

    async def no_weights(_self: WeightsController) -> None:
        return None

    unbounded = property(lambda _self: -1_000_000)
    replace_attribute(generation.GenerationTarget, "oldest_allowed", unbounded)
    replace_attribute(step_run.StepRun, "_is_stale", lambda *_args: False)
    replace_attribute(WeightsController, "run", no_weights)


def _ignore_cursor() -> None:
    """Every stream starts at the first sample."""
    replace_attribute(service, "parse_cursor", lambda _text: set())


def _share_records() -> None:
    """Requests of one minute share a record, so that one gets another's answer."""

    def locate(self: RequestClaims, context: RequestContext) -> Any:
        agent: ClusterAgent = self._agent
        key = f"r/{context.service_name}/{str(context.idempotency_key)[:8]}"
        return agent.locate(key, context.key_date)

    replace_attribute(RequestClaims, "_locate", locate)
    replace_attribute(RequestClaims, "digest", staticmethod(lambda _context: ""))


def _claim_nothing_ran() -> None:
    """Every problem says `not_run`, whatever was forwarded."""

    async def check(_self: RefusalFilter, _context: RequestContext, problem: Problem) -> None:
        problem.outcome = OUTCOME_NOT_RUN

    replace_attribute(RefusalFilter, "_check_outcome", check)


def _forward_without_claim() -> None:
    """No request is claimed before it is forwarded."""

    async def forward(
        _self: ClaimFilter, context: RequestContext, following: NextHandler
    ) -> Answer:
        return await following(context)

    replace_attribute(ClaimFilter, "__call__", forward)


def _route_to_leaving() -> None:
    """Back ends stay in routing whatever is reported of them."""
    replace_attribute(Router, "_refusal", lambda *_args: None)


def _stop_at_once() -> None:
    """A planned stop is like a crash."""

    async def stop(self: Node) -> None:
        for transport in list(self._runner.server.connections if self._runner.server else []):
            transport.force_close()
        await self.close()

    replace_attribute(Node, "stop_gracefully", stop)


def _serve_without_lease() -> None:
    """A node serves under whatever revision it has."""
    replace_attribute(ConfigurationLease, "is_held", lambda self: self.snapshot.revision > 0)


WEAKENINGS: dict[str, Weakening] = {
    "true_weight_versions": Weakening(_label_with_first_version, ("break_streams",)),
    "staleness_bound": Weakening(_deliver_stale, ("break_streams",)),
    "sample_exactly_once": Weakening(_ignore_cursor, ("kill_trainer", "kill_node"), time_scale=3.0),
    "whole_answer": Weakening(_share_records, ("kill_app",)),
    "not_run_means_not_run": Weakening(_claim_nothing_ran, ("lose_app_answers",)),
    "at_most_once": Weakening(_forward_without_claim, ("lose_app_answers",)),
    "leaving_gets_no_work": Weakening(_route_to_leaving, ("leave_app",)),
    "planned_stop_cuts_nothing": Weakening(_stop_at_once, ("planned_stop",), app_work_seconds=0.5),
    "config_in_force_never_reverts": Weakening(_serve_without_lease, ("change_while_cut",)),
}


if __name__ == "__main__":
    WEAKENINGS[sys.argv[1]].apply()
    sys.exit(main(sys.argv[2:]))
