"""One serving node: builds its components in order, serves callers, and performs the planned stop.

In a planned stop the node takes no new work, lets running work finish, and hands its records and
duties over. It then answers requests that still arrive on open connections until the connections
are quiet. The cluster agent provides what nodes do together. A node that loses one of its
controllers stops serving.
"""

from __future__ import annotations

import asyncio
import logging
import random
import socket
import time
from typing import Protocol

from aiohttp import web

from crankseam.back_end_probe import BackEndProbe
from crankseam.clients.bounded_responses import bounded_connector
from crankseam.clients.key_value import KeyValueClient
from crankseam.clients.sampler import SamplerClient
from crankseam.clients.single_send import single_send_session
from crankseam.cluster.agent import ClusterAgent
from crankseam.cluster.digest import MemberStatus
from crankseam.constants import DECISION_HEADER, REQUEST_ID_HEADER
from crankseam.controllers.back_end_watch import BackEndWatchController
from crankseam.controllers.configuration_follower import ConfigurationFollower
from crankseam.controllers.founding import FoundingController
from crankseam.controllers.limit_shares import LimitShareController
from crankseam.controllers.machines import MachineListController
from crankseam.controllers.replica_placement import ReplicaPlacementController
from crankseam.controllers.retention import RetentionController
from crankseam.controllers.suspects import SuspectController
from crankseam.controllers.weights import WeightsController
from crankseam.decisions import Decision, DecisionLog
from crankseam.errors import Problem
from crankseam.memory.guard import MemoryGuard
from crankseam.memory.limits import limits_from_settings
from crankseam.metrics import NodeMetrics
from crankseam.operator_api import ObservedComponents, OperatorApi
from crankseam.peers.transport import PeerTransport
from crankseam.problems import problem_response
from crankseam.requests.bodies import MEMORY_KEY
from crankseam.requests.claim import ClaimFilter, RefusalFilter, RequestClaims
from crankseam.requests.context import RequestContext, build_chain
from crankseam.requests.forward import Forwarder, dispatch_trace_config
from crankseam.requests.home_region import HomeRegionFilter
from crankseam.requests.identify import ConfigurationFilter, DeadlineFilter, IdentifyFilter
from crankseam.requests.limits import AdmissionFilter, ServiceLimitFilter
from crankseam.rollout.executors import StreamExecutors
from crankseam.rollout.generation import SampleGenerator
from crankseam.rollout.service import RolloutService
from crankseam.routing import Router
from crankseam.settings import NodeSettings
from crankseam.tls import TlsKeys
from crankseam.weights_cache import WeightsCache

log = logging.getLogger(__name__)

SAMPLER_STREAM_TIMEOUT_S = 10.0
"""Seconds without data after which a sampler's stream counts as broken and its sample continues on
another sampler."""
DRAIN_POLL_S = 0.05
"""Seconds between two checks of whether a planned stop may proceed."""
QUIET_PERIOD_S = 0.5
"""Seconds without a request after which callers' connections count as quiet."""
MAX_QUIET_WAIT_S = 5.0
"""Longest wait, in seconds, for the connections to become quiet if callers keep sending."""
MAX_BACK_END_CONNECTIONS = 1000
"""Connections that are open at a time to all back ends together."""
READ_BUFFER_BYTES = 2**14
"""Number of bytes of a body that are read from a connection before there is room for it; twice as
many, and what the kernel's buffer held, may arrive before reading pauses."""
RECEIVE_BUFFER_BYTES = 2**17
"""Size of the kernel's buffer for a connection's bytes that are not read yet."""
LINGERING_TIME_S = 2.0
"""Seconds for which the rest of a refused body is read, so that its sender receives the answer."""
SERVER_SHUTDOWN_TIMEOUT_S = 1.0
"""Seconds that the HTTP server waits for unfinished answers when it is closed."""


class Controller(Protocol):
    """A background loop that reconciles some state until it is cancelled."""

    async def run(self) -> None:
        """Reconcile until cancelled."""
        ...


class Node:
    """Builds, starts and stops all components of one process."""

    def __init__(self, settings: NodeSettings) -> None:
        self.settings = settings
        self.key_value = KeyValueClient(settings.key_value)
        self.agent = ClusterAgent(settings, self.key_value)
        self.tls = TlsKeys(settings.tls)
        self.metrics = NodeMetrics()
        self.memory = MemoryGuard(limits_from_settings(settings.memory_megabytes))
        self.admission = AdmissionFilter(settings.max_requests)
        self.caller_port = 0
        self._stopping = False
        self._last_request_at = 0.0

    # --- start

    async def start(self) -> None:
        """Join the cluster and start to serve callers."""
        self._session = single_send_session(
            trace_configs=[dispatch_trace_config()],
            connector=bounded_connector(limit=MAX_BACK_END_CONNECTIONS),
            auto_decompress=False,
        )
        app = web.Application()
        self._runner = web.AppRunner(
            app,
            handle_signals=False,
            shutdown_timeout=SERVER_SHUTDOWN_TIMEOUT_S,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            lingering_time=LINGERING_TIME_S,
        )
        await self._bind_agent()
        self._build(app)
        await self._runner.setup()
        self._site = site = web.TCPSite(
            self._runner,
            self.settings.listen_host,
            self.settings.caller_port,
            ssl_context=self.tls.callers_context(),
        )
        await site.start()
        assert site._server is not None
        for listening in site._server.sockets:  # type: ignore[attr-defined]
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.caller_port = site._server.sockets[0].getsockname()[1]  # type: ignore[attr-defined]
        caller_address = f"{self.settings.listen_host}:{self.caller_port}"
        self.agent.local.update(caller_address=caller_address)
        self._start_controllers()
        log.info("node started", extra={"identity": self.agent.identity})

    async def _bind_agent(self) -> None:
        settings = self.settings
        local_address = (settings.bind_outgoing, 0) if settings.bind_outgoing else None
        transport = PeerTransport(
            settings.name,
            0,
            local_address,
            self.tls.peer_server_context,
            self.tls.peer_client_context,
        )
        await self.agent.start(transport, caller_address="")

    def _build(self, app: web.Application) -> None:
        """Build the components, each after those on which it depends."""
        self._build_controllers()
        timing = self.settings.timing
        probe = BackEndProbe(
            self._session, self.agent.digest, timing.heartbeat_interval, timing.peer_timeout
        )
        self._build_rollout(probe)
        self._build_request_chain(probe)
        self._add_routes(app)

    def _build_controllers(self) -> None:
        agent = self.agent
        self.router = Router(agent.digest, self.settings.zone, random.Random(agent.identity))
        self.decisions = DecisionLog(agent)
        self.limits = LimitShareController(agent)
        self.watch = BackEndWatchController(agent, self._session)
        self.placement = ReplicaPlacementController(agent)
        self.suspects = SuspectController(agent)
        self.weights = WeightsController(agent, self._session, self.decisions, self.watch)

    def _build_rollout(self, probe: BackEndProbe) -> None:
        agent = self.agent
        sampler = SamplerClient(self._session, SAMPLER_STREAM_TIMEOUT_S)
        self.executors = StreamExecutors(agent, sampler)
        generator = SampleGenerator(
            self.executors,
            self.router,
            self.decisions,
            agent.may_send_work,
            self.limits,
            probe,
        )
        self.rollout = RolloutService(agent, generator)

    def _build_request_chain(self, probe: BackEndProbe) -> None:
        """Build the chain of filters for app requests, in order of execution."""
        agent = self.agent
        self.claims = RequestClaims(agent)
        self._chain = build_chain(
            [
                IdentifyFilter(self.settings.timing.record_retention),
                DeadlineFilter(),
                RefusalFilter(self.claims),
                ConfigurationFilter(agent.lease),
                HomeRegionFilter(agent, self._session),
                self.admission,
                ServiceLimitFilter(self.limits),
                ClaimFilter(self.claims),
            ],
            Forwarder(
                self._session,
                self.router,
                self.decisions,
                agent.may_send_work,
                probe,
                self.suspects.quarantine,
            ),
        )

    def _add_routes(self, app: web.Application) -> None:
        app.middlewares.append(self._problem_middleware)
        app.router.add_route("*", "/services/{service}/{path:.*}", self._handle_service)
        self.rollout.add_routes(app)
        OperatorApi(self._observed_components()).add_routes(app)
        if self.settings.data_folder is not None:
            cache = WeightsCache(self.settings.data_folder, self._session, self.agent.lease)
            cache.add_routes(app)

    def _observed_components(self) -> ObservedComponents:
        return ObservedComponents(
            agent=self.agent,
            is_ready=self.is_ready,
            metrics=self.metrics,
            admission=self.admission,
            placement=self.placement,
            quarantine=self.suspects.quarantine,
            router=self.router,
            decisions=self.decisions,
        )

    def _start_controllers(self) -> None:
        agent = self.agent
        controllers: dict[str, Controller] = {
            "founding": FoundingController(agent),
            "placement": self.placement,
            "configuration": ConfigurationFollower(agent),
            "retention": RetentionController(agent),
            "back ends": self.watch,
            "machines": MachineListController(agent, self.router),
            "limits": self.limits,
            "weights": self.weights,
            "decisions": self.decisions,
            "suspects": self.suspects,
        }
        for name, controller in controllers.items():
            agent.tasks.start(controller.run(), name)
        agent.tasks.start(self.tls.watch_files(), "tls")
        agent.tasks.start(self.memory.run(), "memory")

    # --- requests

    @web.middleware
    async def _problem_middleware(self, request: web.Request, handler) -> web.StreamResponse:  # type: ignore[no-untyped-def]
        self._last_request_at = time.monotonic()
        try:
            with self.memory.request(request.headers.get(REQUEST_ID_HEADER, "")) as memory:
                request[MEMORY_KEY] = memory
                response = await handler(request)
        except Problem as problem:
            self.metrics.count_problem(problem)
            response = problem_response(problem, {})
        if self._stopping:
            response.force_close()  # so that the caller's next request goes to another node
        return response

    async def _handle_service(self, request: web.Request) -> web.StreamResponse:
        context = RequestContext(
            http=request,
            service_name=request.match_info["service"],
            path=request.match_info["path"],
        )
        started = time.monotonic()
        try:
            answer = await self._chain(context)
        except Problem as problem:
            return self._problem_response(context, problem)
        except Exception:
            log.exception("request failed", extra={"request": context.request_id})
            internal = Problem("this node failed on the request; it may have run")
            return self._problem_response(context, internal)
        finally:
            self._log_request(context, time.monotonic() - started)
        if answer.response is not None:
            return answer.response
        headers = {**answer.headers, **self._answer_headers(context)}
        return web.Response(status=answer.status, headers=headers, body=answer.body)

    def _log_request(self, context: RequestContext, seconds: float) -> None:
        self.metrics.observe_request(context.service_name, seconds)
        fields = {
            "service": context.service_name,
            "request": context.request_id,
            "decision": context.decision.decision_id if context.decision else None,
            "revision": context.snapshot.revision if context.snapshot else None,
            "milliseconds": round(seconds * 1000, 1),
        }
        log.info("request", extra=fields)

    def _problem_response(self, context: RequestContext, problem: Problem) -> web.Response:
        """Return the problem response; a refusal without a routing decision is recorded as one."""
        self.metrics.count_problem(problem)
        if context.decision is None:
            context.decision = Decision(
                decision_id=self.decisions.new_id(),
                kind="refuse",
                subject=context.request_id,
                node=self.settings.name,
                revision=context.snapshot.revision if context.snapshot else 0,
                at="",
                reason=str(problem),
                outcome=problem.outcome,
                aliases=[context.idempotency_key] if context.idempotency_key else [],
            )
            self.decisions.record(context.decision)
        return problem_response(problem, self._answer_headers(context))

    @staticmethod
    def _answer_headers(context: RequestContext) -> dict[str, str]:
        headers = {REQUEST_ID_HEADER: context.request_id}
        if context.decision is not None:
            headers[DECISION_HEADER] = context.decision.decision_id
        return headers

    def is_ready(self) -> bool:
        """Whether this node accepts new work."""
        return self.agent.lease.is_held() and not self._stopping

    # --- stop

    async def stop_gracefully(self) -> None:
        """Stop as planned: refuse new work, finish running work, hand records and duties over."""
        self._stopping = True
        self.admission.draining = True
        self.rollout.draining = True
        self.agent.local.update(status=MemberStatus.LEAVING)
        self.agent.membership.nudge()
        log.info("planned stop begins", extra={"running": self.admission.running})
        await self.weights.release()
        try:
            async with asyncio.timeout(self.settings.timing.drain_timeout):
                await self._drain()
        except TimeoutError:
            log.warning("planned stop cut short", extra={"running": self.admission.running})
        self._drained_at = time.monotonic()
        await self._stop_listening()
        await self.decisions.flush()
        log.info("planned stop ends", extra={"running": self.admission.running})
        await self.close()

    async def _stop_listening(self) -> None:
        """Refuse new connections, and answer requests on open ones until they are quiet.

        Closing at once would cut off a request that is in transit on a keep-alive connection.
        """
        await self._site.stop()
        try:
            async with asyncio.timeout(MAX_QUIET_WAIT_S):
                while not self._is_quiet():  # noqa: ASYNC110 - depends on elapsed time
                    await asyncio.sleep(DRAIN_POLL_S)
        except TimeoutError:
            log.info("callers kept sending to a node that stops")

    def _is_quiet(self) -> bool:
        newest = max(self._last_request_at, self._drained_at)
        return time.monotonic() - newest >= QUIET_PERIOD_S

    async def _drain(self) -> None:
        while not self._is_drained():  # noqa: ASYNC110 - depends on counters
            await asyncio.sleep(DRAIN_POLL_S)

    def _is_drained(self) -> bool:
        busy = (
            self.admission.running
            or self.rollout.open_streams
            or self.claims.pending_commits
            or self.executors.streams_read_for_other_nodes
        )
        return not busy and not self.placement.holds_unsealed_slots()

    async def close(self) -> None:
        """Stop at once, without waiting for running work."""
        await self.rollout.close()
        await self._runner.cleanup()
        await self.agent.close()
        await self._session.close()
        await self.key_value.close()
