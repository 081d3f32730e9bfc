"""Stand-in of app callers: sends requests, retries as it is told, writes down what it was told.

Callers of `crankseam node`: one key for each operation, problem documents, deadlines. The soak's
callers (`crankseam_platform_standins.soak.load`) speak the platform's wire and bring jobs; the two
share only that they draw a process and wait.
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
"""A caller gives an operation up after so many."""
MAX_WAIT_S = 3.0
"""A longer `Retry-After` is cut to this, so that a run ends."""


@dataclass(frozen=True)
class CallerPlan:
    """What the callers do: `rate` requests a second for `seconds`."""

    nodes: list[str]
    service: str
    rate: float
    seconds: float
    deadline: float
    read_share: float
    seed: int


@dataclass
class CallerReport:
    """What became of the requests."""

    sent: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)
    latencies: list[float] = field(default_factory=list)


class CallerStandin:
    """Many callers in one process."""

    def __init__(self, plan: CallerPlan, account: Account) -> None:
        self._plan = plan
        self._account = account
        self._random = random.Random(plan.seed)
        self.report = CallerReport()

    async def run(self) -> CallerReport:
        """Send everything, wait for all answers."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as self._session:
            async with asyncio.TaskGroup() as group:
                end = time.monotonic() + self._plan.seconds
                while time.monotonic() < end:
                    group.create_task(self._request())
                    await asyncio.sleep(self._random.expovariate(self._plan.rate))
        return self.report

    async def _request(self) -> None:
        """One operation, through to an answer, `not_run` at the last, or `unknown`."""
        self.report.sent += 1
        started = time.monotonic()
        is_read = self._random.random() < self._plan.read_share
        operation = new_uuid7()
        body = f"slot-{self._random.randrange(10**9)}".encode()
        outcome = "not_run"
        for _attempt in range(MAX_ATTEMPTS):
            outcome, wait = await self._attempt(operation, body, is_read)
            # A read may be tried again whatever became of it. A booking is tried again too, with
            # the same key: that is what the key is for.
            if outcome in ("answered", "wrong_answer", "expired"):
                break
            await asyncio.sleep(min(MAX_WAIT_S, wait))
        self.report.outcomes[outcome] = self.report.outcomes.get(outcome, 0) + 1
        self.report.latencies.append(time.monotonic() - started)
        self._account.append(
            {"event": "final", "operation": operation, "outcome": outcome, "read": is_read}
        )

    async def _attempt(self, operation: str, body: bytes, is_read: bool) -> tuple[str, float]:
        """One HTTP request; returns the outcome, and how long to wait before another."""
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
                outcome, wait = self._judge(answer, content, operation, body)
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
    def _judge(
        answer: aiohttp.ClientResponse, content: bytes, operation: str, body: bytes
    ) -> tuple[str, float]:
        if answer.content_type != "application/problem+json":
            right = content.decode(errors="replace") == expected_answer(operation, body)
            return ("answered" if right else "wrong_answer"), 0.0
        problem = msgspec.json.decode(content)
        wait = float(answer.headers.get("Retry-After", 0.5))
        if answer.status == 410:
            return "expired", 0.0
        return problem["outcome"], wait
