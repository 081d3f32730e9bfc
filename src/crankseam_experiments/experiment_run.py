"""State of one experiment run and the figures that are read from its processes.

The state holds the evidence for the auditor, the client processes and the measured figures. The
fleet manages the processes and links. `runner`, `fault_injection` and `report` use this state; this
module does not import them.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random
import time
from pathlib import Path
from typing import Any

import aiohttp

from crankseam.clients.key_value import KeyValueClient
from crankseam.config.changes import apply_plan, make_plan
from crankseam.config.kinds import SamplerPool, Service, Trainer, WeightPolicy
from crankseam_experiments.auditor import Evidence, RevisionSample
from crankseam_experiments.fleet import Fleet
from crankseam_experiments.processes import ManagedProcess, standin_command
from crankseam_experiments.spec import Experiment
from crankseam_standins.account import read_account
from crankseam_standins.trainer import TrainerPlan, TrainerStandin

STATUS_POLL_INTERVAL_S = 0.25
"""Seconds between two polls of the status of all nodes."""


class ExperimentRun:
    """Fleet, client processes, evidence and measured figures of one run.

    Configuration paths in the experiment file are relative to `folder`. `weakened` names a promise
    whose mechanism is switched off on every node, or is None.
    """

    def __init__(
        self, spec: Experiment, folder: Path, seed: int, out: Path, weakened: str | None
    ) -> None:
        self.spec = spec
        self.seed = seed
        self.out = out
        self.random = random.Random(seed)
        self.fleet = Fleet(spec, folder, out, spec.faults is not None, weakened)
        self.evidence = Evidence()
        self.clients: dict[str, ManagedProcess] = {}
        self.control: dict[str, dict[str, float]] = {}
        self.injected: dict[str, int] = {}
        self.recovery_seconds: list[float] = []
        self.sampler_totals: dict[str, dict[str, float]] = {}
        self.clients_done: dict[str, bool] = {}

    # --- load

    def document(self, kind: type) -> Any:
        """Return the first configuration document of type `kind`."""
        return next(d for d in self.fleet.documents if isinstance(d, kind))

    async def apply_configuration(self) -> None:
        """Apply the experiment's configuration through a plan, as an operator does."""
        client = KeyValueClient([self.spec.platform.key_value])
        try:
            plan = await make_plan(client, self.fleet.documents)
            pointer = await apply_plan(client, plan, "experiment")
            self.evidence.accepted.append((time.time(), pointer.revision))
        finally:
            await client.close()

    def trainer_plan(self) -> TrainerPlan:
        """Build the plan that the trainer process and the auditor share."""
        load = self.spec.trainer
        assert load is not None
        policy = self.document(WeightPolicy)
        return TrainerPlan(
            name=load.name,
            nodes=list(self.fleet.node_addresses.values()),
            store=policy.store,
            pool=policy.pool,
            steps=load.steps,
            groups_per_step=load.groups_per_step,
            samples_per_group=load.samples_per_group,
            max_tokens=load.max_tokens,
            train_seconds=load.train_seconds,
            seed=self.seed,
            open_ahead=load.open_ahead,
            hints=load.hints,
            median_length=self.spec.samplers.median_length,
        )

    def plan_clients(self) -> None:
        """Prepare the trainer and caller processes without starting them."""
        if self.spec.trainer is not None:
            plan = json.dumps(dataclasses.asdict(self.trainer_plan()))
            self._add_client("trainer", plan)
        if self.spec.callers is not None:
            load = self.spec.callers
            plan = json.dumps(
                {
                    "nodes": list(self.fleet.node_addresses.values()),
                    "service": load.service,
                    "rate": load.rate,
                    "seconds": load.seconds,
                    "deadline": load.deadline,
                    "read_share": load.read_share,
                    "seed": self.seed,
                }
            )
            self._add_client("caller", plan)

    def _add_client(self, kind: str, plan: str) -> None:
        account = str(self.fleet.account(kind))
        command = standin_command(kind, "--plan", plan, "--account", account)
        self.clients[kind] = ManagedProcess(kind, command, None, self.out)

    async def watch_nodes(self) -> None:
        """Record the readiness and revision that each node reports, for the auditor."""
        while True:
            for name, address in self.fleet.node_addresses.items():
                await self._watch_node(name, address)
            await asyncio.sleep(STATUS_POLL_INTERVAL_S)

    async def _watch_node(self, name: str, address: str) -> None:
        timeout = aiohttp.ClientTimeout(total=0.5)
        url = f"http://{address}/operator/status"
        try:
            async with self.fleet.session.get(url, timeout=timeout) as answer:
                status = await answer.json()
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return  # a node that is down, unreachable or paused reports no revision
        sample = RevisionSample(time.time(), name, status["ready"], status["revision"])
        self.evidence.revisions.append(sample)

    async def measure_samplers(self) -> None:
        """Record the generated tokens, and the busy and total emulated seconds, of each sampler."""
        pool = self.document(SamplerPool)
        for sampler in pool.samplers:
            try:
                async with self.fleet.session.get(f"http://{sampler.address}/_account") as answer:
                    account = await answer.json()
            except (aiohttp.ClientError, TimeoutError):
                continue  # a fault killed the sampler last: the report lacks its figures
            self.sampler_totals[sampler.name] = {
                name: account[name] for name in ("tokens", "busy_seconds", "seconds")
            }

    async def measure_control(self) -> None:
        """Record CPU time, peer traffic, store requests and slot moves of each node since start."""
        metric_names = ("cpu_seconds", "peer_bytes_sent", "key_value_requests", "slot_moves")
        for name, address in self.fleet.node_addresses.items():
            try:
                async with self.fleet.session.get(f"http://{address}/metrics") as answer:
                    text = await answer.text()
            except (aiohttp.ClientError, TimeoutError):
                continue  # a fault killed the node last: the report lacks its figures
            lines = [line.split() for line in text.splitlines() if not line.startswith("#")]
            values = {line[0]: float(line[1]) for line in lines}
            self.control[name] = {item: values[f"crankseam_{item}"] for item in metric_names}

    # --- audit

    def collect_evidence(self) -> Evidence:
        """Read the account logs of all stand-ins and complete the auditor's evidence."""
        evidence = self.evidence
        evidence.callers = read_account(self.fleet.account("caller"))
        evidence.trainer = read_account(self.fleet.account("trainer"))
        for document in self.fleet.documents:
            if isinstance(document, Service):
                for back_end in document.back_ends:
                    account = read_account(self.fleet.account(back_end.name))
                    evidence.apps[back_end.name] = account
            if isinstance(document, SamplerPool):
                for sampler in document.samplers:
                    account = read_account(self.fleet.account(sampler.name))
                    evidence.samplers[sampler.name] = account
        trainer = self.document(Trainer)
        evidence.staleness_bound = trainer.staleness_bound
        evidence.trainer_name = trainer.name
        if self.spec.faults is not None:
            evidence.in_force_seconds = self.spec.faults.in_force_seconds
        if self.spec.trainer is not None:
            standin = TrainerStandin(self.trainer_plan(), None)
            for step in range(self.spec.trainer.steps):
                for sample in standin.samples(step):
                    evidence.prompts[step, sample.index] = sample.prompt
        return evidence

    def client_report(self, kind: str) -> dict[str, Any]:
        """Parse the last line that a client printed as JSON; an empty dict if there is none."""
        client = self.clients.get(kind)
        lines = client.stdout.decode().strip().splitlines() if client else []
        return json.loads(lines[-1]) if lines else {}
