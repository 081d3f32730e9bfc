"""Stand-in for application callers: sends requests, retries them and logs each response.

These callers use the HTTP interface of `crankseam node`: one idempotency key for each operation,
problem documents and deadlines. The callers of the soak test
(`crankseam_platform_standins.soak.load`) use the platform's protocol and submit jobs. The two
have in common only that they choose a process at random and wait.
"""

from __future__ import annotations

import asyncio
import random
import time
import uuid
from dataclasses import dataclass, field

import aiohttp
import msgspec

from crankseam.identifiers import new_uuid7
from crankseam_standins.account import Account
from crankseam_standins.app import expected_answer

MAX_ATTEMPTS = 6
"""Attempts after which a caller abandons an operation."""
MAX_WAIT_S = 3.0
"""Upper limit on the delay between attempts, so that a long `Retry-After` cannot stall a run."""


@dataclass(frozen=True)
class CallerPlan:
    """Load that the callers generate: on average `rate` requests per second for `seconds`."""

    nodes: list[str]
    service: str
    rate: float
    seconds: float
    deadline: float
    read_share: float
    seed: int


@dataclass
class CallerReport:
    """Number of requests sent, their outcomes and their latencies in seconds."""

    sent: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)
    latencies: list[float] = field(default_factory=list)


class CallerStandin:
    """Generates the load of many concurrent callers in one process."""

    def __init__(self, plan: CallerPlan, account: Account) -> None:
        self._plan = plan
        self._account = account
        self._random = random.Random(plan.seed)
        self.report = CallerReport()

    async def run(self) -> CallerReport:
        """Send all requests of the plan and wait until each has its final outcome."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as self._session:
            async with asyncio.TaskGroup() as group:
                end = time.monotonic() + self._plan.seconds
                while time.monotonic() < end:
                    group.create_task(self._run_operation())
                    await asyncio.sleep(self._random.expovariate(self._plan.rate))
        return self.report

    async def _run_operation(self) -> None:
        """Run one operation until it has a final outcome, in at most `MAX_ATTEMPTS` attempts."""
        self.report.sent += 1
        started = time.monotonic()
        is_read = self._random.random() < self._plan.read_share
        operation = new_uuid7()
        body = f"slot-{self._random.randrange(10**9)}".encode()
        outcome = "not_run"
        for _attempt in range(MAX_ATTEMPTS):
            outcome, wait = await self._attempt(operation, body, is_read)
            # A read can be retried after any outcome. A booking is retried too: the idempotency
            # key, which stays the same, prevents it from running twice.
            if outcome in ("answered", "wrong_answer", "expired"):
                break
            await asyncio.sleep(min(MAX_WAIT_S, wait))
        self.report.outcomes[outcome] = self.report.outcomes.get(outcome, 0) + 1
        self.report.latencies.append(time.monotonic() - started)
        self._account.append(
            {"event": "final", "operation": operation, "outcome": outcome, "read": is_read}
        )

    async def _attempt(self, operation: str, body: bytes, is_read: bool) -> tuple[str, float]:
        """Send one HTTP request; return the outcome and the delay in seconds before a retry."""
        node = self._random.choice(self._plan.nodes)
        request_id = str(uuid.uuid4())
        headers = {
            "Request-Id": request_id,
            "Crankseam-Deadline-Ms": str(int(self._plan.deadline * 1000)),
            "Idempotency-Key": operation,
        }
        url = f"http://{node}/services/{self._plan.service}/bookings"
        method = "GET" if is_read else "POST"
        timeout = aiohttp.ClientTimeout(total=self._plan.deadline + 2.0, sock_connect=1.0)
        sent_at = time.time()
        try:
            async with self._session.request(
                method, url, data=body, headers=headers, timeout=timeout
            ) as answer:
                content = await answer.read()
                outcome, wait = self._classify_response(answer, content, operation, body)
        except aiohttp.ClientConnectorError:
            outcome, wait = "no_connection", 0.1
        except (aiohttp.ClientError, TimeoutError, ConnectionError):
            outcome, wait = "broken", 0.1
        self._account.append(
            {
                "event": "told",
                "node": node,
                "operation": operation,
                "request": request_id,
                "read": is_read,
                "outcome": outcome,
                "sent_at": sent_at,
                "told_at": time.time(),
            }
        )
        return outcome, wait

    @staticmethod
    def _classify_response(
        answer: aiohttp.ClientResponse, content: bytes, operation: str, body: bytes
    ) -> tuple[str, float]:
        if answer.content_type != "application/problem+json":
            matches = content.decode(errors="replace") == expected_answer(operation, body)
            return ("answered" if matches else "wrong_answer"), 0.0
        problem = msgspec.json.decode(content)
        wait = float(answer.headers.get("Retry-After", 0.5))
        if answer.status == 410:
            return "expired", 0.0
        return problem["outcome"], wait
