"""HTTP endpoints for operators and probes: status, explain, suspects, metrics and health.

The paths and the form of their answers are defined here. All endpoints are read-only except the
release of a suspect, which takes effect on every node.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from aiohttp import web

from crankseam import clocks
from crankseam.cluster.agent import ClusterAgent
from crankseam.cluster.digest import MemberStatus
from crankseam.controllers.replica_placement import ReplicaPlacementController
from crankseam.decisions import DecisionLog
from crankseam.errors import Forbidden, NotFound
from crankseam.metrics import NodeMetrics
from crankseam.quarantine.quarantine import BY_OPERATOR, Quarantine
from crankseam.requests.limits import AdmissionFilter
from crankseam.routing import Router

OPERATOR_PREFIX = "/operator/"
RequestHandler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@dataclass(frozen=True)
class ObservedComponents:
    """The components of a node whose state operators can query.

    Attributes
    ==========

    is_ready : returns whether the node accepts new work now.
    """

    agent: ClusterAgent
    is_ready: Callable[[], bool]
    metrics: NodeMetrics
    admission: AdmissionFilter
    placement: ReplicaPlacementController
    quarantine: Quarantine
    router: Router
    decisions: DecisionLog


class OperatorApi:
    """Handles the requests of operators and probes."""

    def __init__(self, parts: ObservedComponents) -> None:
        self._parts = parts

    def add_routes(self, app: web.Application) -> None:
        """Register the routes, and the middleware that guards the operators' paths."""
        app.middlewares.append(self._require_operator)
        app.router.add_get("/healthz", self._healthz)
        app.router.add_get("/readyz", self._readyz)
        app.router.add_get("/metrics", self._metrics)
        app.router.add_get("/operator/status", self._status)
        app.router.add_get("/operator/explain/{id:.+}", self._explain)
        app.router.add_get("/operator/suspects", self._suspects)
        app.router.add_post("/operator/suspects/{fingerprint}/release", self._release_suspect)

    @web.middleware
    async def _require_operator(
        self, request: web.Request, handler: RequestHandler
    ) -> web.StreamResponse:
        """If an operators' authority is set, refuse their paths without a client certificate."""
        guarded = request.path.startswith(OPERATOR_PREFIX)
        if guarded and self._parts.agent.settings.tls.operators_authority is not None:
            transport = request.transport
            if transport is None or not transport.get_extra_info("peercert"):
                raise Forbidden("an operator's key is needed here")
        return await handler(request)

    async def _healthz(self, _request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _readyz(self, _request: web.Request) -> web.Response:
        ready = self._parts.is_ready()
        return web.Response(
            text="ready\n" if ready else "not ready\n", status=200 if ready else 503
        )

    async def _metrics(self, _request: web.Request) -> web.Response:
        parts, agent = self._parts, self._parts.agent
        values = {
            "configuration_revision": agent.lease.snapshot.revision,
            "configuration_lease_seconds": max(0.0, agent.lease.remaining()),
            "members_alive": len(agent.digest.alive()),
            "records": agent.replicas.record_count(),
            "record_operations": agent.replicas.operations,
            "requests_running": parts.admission.running,
            "peer_bytes_sent": agent.transport.current_bytes_out(),
            "peer_frames_sent": agent.transport.traffic.frames_out,
            "key_value_requests": agent.key_value.requests_sent,
            "slot_moves": parts.placement.moves,
            "suspects": len(parts.quarantine.suspects()),
        }
        for name, value in values.items():
            parts.metrics.set_gauge(name, value)
        return web.Response(body=parts.metrics.render(), content_type="text/plain")

    async def _status(self, _request: web.Request) -> web.Response:
        agent = self._parts.agent
        members = [
            {
                "name": member.name,
                "region": member.region,
                "zone": member.zone,
                "status": MemberStatus(member.status).name.lower(),
                "revision": member.revision,
                "caller_address": member.caller_address,
            }
            for member in sorted(agent.digest.members(), key=lambda m: m.name)
        ]
        body: dict[str, Any] = {
            "node": agent.settings.name,
            "ready": self._parts.is_ready(),
            "revision": agent.lease.snapshot.revision,
            "lease_seconds": round(max(0.0, agent.lease.remaining()), 3),
            "configuration_term": agent.settings.timing.configuration_term,
            "members": members,
            "back_ends": self._back_ends(),
            "slots": [
                {"slot": s.slot, "epoch": s.epoch, "members": s.members}
                for s in sorted(agent.digest.slots.all(), key=lambda s: s.slot)
            ],
        }
        return web.Response(body=msgspec.json.encode(body), content_type="application/json")

    def _back_ends(self) -> list[dict[str, Any]]:
        snapshot = self._parts.agent.lease.snapshot
        groups = [(s.name, s.back_ends) for s in snapshot.services.values()]
        groups += [(p.name, p.samplers) for p in snapshot.pools.values()]
        return [
            {
                "group": name,
                "name": candidate.name,
                "load": candidate.load,
                "version": candidate.version,
                "out_of_routing": candidate.refused,
            }
            for name, back_ends in groups
            for candidate in self._parts.router.choose(name, back_ends).candidates
        ]

    async def _suspects(self, _request: web.Request) -> web.Response:
        """List the requests under which back ends crashed, without bodies, as none is stored."""
        now = clocks.monotonic_s()
        listed = [
            {
                "fingerprint": fingerprint,
                "route": suspect.record.route,
                "tenant": suspect.record.tenant,
                "body_bytes": suspect.record.body_bytes,
                "ended": suspect.record.ended,
                "probes": suspect.record.probes,
                "held": suspect.is_held(),
                "held_for_s": round(suspect.held_for_s(), 1) if suspect.is_held() else 0.0,
                "age_s": round(now - suspect.changed_at, 1),
            }
            for fingerprint, suspect in self._parts.quarantine.suspects()
        ]
        return web.Response(body=msgspec.json.encode(listed), content_type="application/json")

    async def _release_suspect(self, request: web.Request) -> web.Response:
        fingerprint = request.match_info["fingerprint"]
        if not self._parts.quarantine.release(fingerprint, BY_OPERATOR):
            raise NotFound(f"no suspect of fingerprint {fingerprint} is known here")
        body = msgspec.json.encode({"fingerprint": fingerprint})
        return web.Response(body=body, content_type="application/json")

    async def _explain(self, request: web.Request) -> web.Response:
        identifier = request.match_info["id"]
        found = await self._parts.decisions.find(identifier)
        if not found:
            raise NotFound(f"no decision is kept for {identifier}")
        return web.Response(body=msgspec.json.encode(found), content_type="application/json")
