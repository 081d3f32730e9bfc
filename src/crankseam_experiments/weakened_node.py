"""Runs a node with one mechanism switched off, for control runs of the auditor.

The auditor must find violations in a control run. The serving package has no code for this: the
mechanism is replaced by patching attributes in a process that then runs the regular node.
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
    """How a mechanism is switched off, and the faults that expose its absence."""

    apply: Callable[[], None]
    faults: tuple[FaultName, ...]
    app_work_seconds: float | None = None
    """Mean seconds of work per app request, if a violation requires requests in progress."""
    time_scale: float | None = None
    """Slower time scale of the samplers, if a violation requires a partly received step."""


def _label_with_first_version() -> None:
    """Label each sample with its first version instead of the versions reported for its tokens."""

    def append(segments: list[Segment], version: int, start: int, count: int) -> None:
        if count:
            first = segments[0].version if segments else version
            segments[:] = [Segment(first, 0, start + count)]

    replace_attribute(generation, "append_tokens", append)
    replace_attribute(executors, "append_tokens", append)


def _deliver_stale() -> None:
    """Disable the staleness checks and the loading of new weights."""

    async def no_weights(_self: WeightsController) -> None:
        return None

    unbounded = property(lambda _self: -1_000_000)
    replace_attribute(generation.GenerationTarget, "oldest_allowed", unbounded)
    replace_attribute(step_run.StepRun, "_is_stale", lambda *_args: False)
    replace_attribute(WeightsController, "run", no_weights)


def _ignore_cursor() -> None:
    """Ignore the cursor, so that every stream starts at the first sample."""
    replace_attribute(service, "parse_cursor", lambda _text: set())


def _share_records() -> None:
    """Share one record among the requests of one minute, so that one gets another's answer."""

    def locate(self: RequestClaims, context: RequestContext) -> Any:
        agent: ClusterAgent = self._agent
        key = f"r/{context.service_name}/{str(context.idempotency_key)[:8]}"
        return agent.locate(key, context.key_date)

    replace_attribute(RequestClaims, "_locate", locate)
    replace_attribute(RequestClaims, "digest", staticmethod(lambda _context: ""))


def _claim_nothing_ran() -> None:
    """Report every problem as `not_run`, even if the request was forwarded."""

    async def check(_self: RefusalFilter, _context: RequestContext, problem: Problem) -> None:
        problem.outcome = OUTCOME_NOT_RUN

    replace_attribute(RefusalFilter, "_check_outcome", check)


def _forward_without_claim() -> None:
    """Forward requests without claiming them first."""

    async def forward(
        _self: ClaimFilter, context: RequestContext, following: NextHandler
    ) -> Answer:
        return await following(context)

    replace_attribute(ClaimFilter, "__call__", forward)


def _route_to_leaving() -> None:
    """Keep back ends in routing regardless of their reported state."""
    replace_attribute(Router, "_refusal", lambda *_args: None)


def _stop_at_once() -> None:
    """Close all connections at a planned stop without draining, as in a crash."""

    async def stop(self: Node) -> None:
        for transport in list(self._runner.server.connections if self._runner.server else []):
            transport.force_close()
        await self.close()

    replace_attribute(Node, "stop_gracefully", stop)


def _serve_without_lease() -> None:
    """Serve under any revision that the node has, without a configuration lease."""
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
