"""Runs one experiment with separate processes: load, faults, audit, report."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random
import sys
import time
from pathlib import Path
from typing import Any

import aiohttp

from crankseam.clients.key_value import KeyValueClient
from crankseam.config.changes import apply_plan, make_plan
from crankseam.config.kinds import Document, SamplerPool, Service, Trainer, WeightPolicy
from crankseam.errors import CrankseamError
from crankseam_experiments.auditor import Evidence, RevisionSample
from crankseam_experiments.fault_injection import FaultInjector
from crankseam_experiments.fleet import Fleet
from crankseam_experiments.processes import ManagedProcess, standin_command
from crankseam_experiments.report import build_report
from crankseam_experiments.spec import Experiment, Policy
from crankseam_experiments.weakened_node import WEAKENINGS
from crankseam_standins.account import read_account
from crankseam_standins.trainer import TrainerPlan, TrainerStandin

CONTROL_FAULTS = 6
CONTROL_IN_FORCE_SECONDS = 5.0
WATCH_SECONDS = 0.25
LOAD_TIMEOUT_SECONDS = 400.0


class ExperimentRun:
    """State of one run."""

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
        """The first document of a kind."""
        return next(d for d in self.fleet.documents if isinstance(d, kind))

    async def apply_configuration(self) -> None:
        """Apply the experiment's files as an operator would."""
        client = KeyValueClient([self.spec.platform.key_value])
        try:
            plan = await make_plan(client, self.fleet.documents)
            pointer = await apply_plan(client, plan, "experiment")
            self.evidence.accepted.append((time.time(), pointer.revision))
        finally:
            await client.close()

    def trainer_plan(self) -> TrainerPlan:
        """The trainer's plan, for its process and for the auditor."""
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
        """Prepare the trainer's and the callers' processes."""
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

    async def run_load(self) -> None:
        """Start the clients, inject faults meanwhile, wait until all clients are done."""
        self.plan_clients()
        for client in self.clients.values():
            await client.start()
        watch = asyncio.create_task(self._watch_nodes())
        injector = FaultInjector(self)
        faults = asyncio.create_task(injector.run())
        try:
            async with asyncio.timeout(LOAD_TIMEOUT_SECONDS):
                await asyncio.gather(*(self._wait_for_client(n, injector) for n in self.clients))
                await faults
        finally:
            faults.cancel()
            watch.cancel()
            await injector.finish()
            for client in self.clients.values():
                if client.is_running():
                    await client.kill()
        self.injected = injector.injected
        self.recovery_seconds = injector.recovery_seconds

    async def _wait_for_client(self, name: str, injector: FaultInjector) -> None:
        client = self.clients[name]
        code = await client.wait()
        while code != 0 and injector.may_restart(name):
            while not client.is_running():
                await asyncio.sleep(0.05)
            code = await client.wait()
        self.clients_done[name] = code == 0

    async def _watch_nodes(self) -> None:
        """Write down what each node says it serves under, for the auditor."""
        while True:
            for name, address in self.fleet.node_addresses.items():
                await self._watch_node(name, address)
            await asyncio.sleep(WATCH_SECONDS)

    async def _watch_node(self, name: str, address: str) -> None:
        timeout = aiohttp.ClientTimeout(total=0.5)
        url = f"http://{address}/operator/status"
        try:
            async with self.fleet.session.get(url, timeout=timeout) as answer:
                status = await answer.json()
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return
        sample = RevisionSample(time.time(), name, status["ready"], status["revision"])
        self.evidence.revisions.append(sample)

    async def measure_samplers(self) -> None:
        """Tokens made, and busy time, of each sampler; emulated seconds."""
        pool = self.document(SamplerPool)
        for sampler in pool.samplers:
            try:
                async with self.fleet.session.get(f"http://{sampler.address}/_account") as answer:
                    account = await answer.json()
            except (aiohttp.ClientError, TimeoutError):
                continue
            self.sampler_totals[sampler.name] = {
                name: account[name] for name in ("tokens", "busy_seconds", "seconds")
            }

    async def measure_control(self) -> None:
        """Processor time and peer traffic of each node since it started."""
        wanted = ("cpu_seconds", "peer_bytes_sent", "key_value_requests", "slot_moves")
        for name, address in self.fleet.node_addresses.items():
            try:
                async with self.fleet.session.get(f"http://{address}/metrics") as answer:
                    text = await answer.text()
            except (aiohttp.ClientError, TimeoutError):
                continue
            lines = [line.split() for line in text.splitlines() if not line.startswith("#")]
            values = {line[0]: float(line[1]) for line in lines}
            self.control[name] = {item: values[f"crankseam_{item}"] for item in wanted}

    # --- audit

    def collect_evidence(self) -> Evidence:
        """Read the accounts of all stand-ins."""
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
        """What a client printed at its end."""
        client = self.clients.get(kind)
        lines = client.stdout.decode().strip().splitlines() if client else []
        return json.loads(lines[-1]) if lines else {}


def weaken_experiment(spec: Experiment, promise: str) -> Experiment:
    """The same experiment as a control run: only the faults under which the absence shows."""
    assert spec.faults is not None
    weakening = WEAKENINGS[promise]
    faults = spec.faults.model_copy(
        update={
            "kinds": list(weakening.faults),
            "count": CONTROL_FAULTS,
            "in_force_seconds": CONTROL_IN_FORCE_SECONDS,
        }
    )
    update: dict[str, Any] = {"faults": faults}
    if weakening.app_work_seconds is not None:
        update["app_work_seconds"] = weakening.app_work_seconds
    if weakening.time_scale is not None:
        slower = spec.samplers.model_copy(update={"time_scale": weakening.time_scale})
        update["samplers"] = slower
    return spec.model_copy(update=update)


def with_policy(document: Document, policy: Policy) -> Document:
    """The document with a policy's overrides."""
    if isinstance(document, Trainer):
        update: dict[str, Any] = {"sample_order": policy.sample_order}
        if policy.idle_weight is not None:
            update["idle_weight"] = policy.idle_weight
        return document.model_copy(update=update)
    if isinstance(document, SamplerPool):
        return document.model_copy(update={"routing": policy.routing})
    return document


def judge_control(report: dict[str, Any], promise: str) -> None:
    """A control run passes if the auditor found the promise violated."""
    found = next(item for item in report["promises"] if item["name"] == promise)
    report["weakened"] = promise
    report["passed"] = found["violations"] > 0
    report["summary"]["weakened"] = promise
    report["summary"]["caught"] = found["violations"]


async def run_processes(
    spec: Experiment,
    folder: Path,
    seed: int,
    out: Path,
    weakened: str | None = None,
    policy: Policy | None = None,
) -> dict[str, Any]:
    """Run the experiment to its end and return its report.

    Args:
        weakened: a promise whose mechanism is switched off on every node.
        policy: overrides of the configuration, for comparisons.
    """
    if weakened is not None:
        spec = weaken_experiment(spec, weakened)
    for old in out.glob("*.account.jsonl"):
        old.unlink()
    run = ExperimentRun(spec, folder, seed, out, weakened)
    if policy is not None:
        run.fleet.documents = [with_policy(item, policy) for item in run.fleet.documents]
    codes: dict[str, int] = {}
    try:
        await run.fleet.start()
        await run.apply_configuration()
        await run.fleet.wait_until_ready()
        print("fleet is ready", file=sys.stderr)
        await run.run_load()
        await run.measure_control()
        await run.measure_samplers()
        codes = await run.fleet.stop()
    except (CrankseamError, TimeoutError) as error:
        print(f"run failed: {type(error).__name__}: {error}", file=sys.stderr)
        codes["run"] = 1
    finally:
        await run.fleet.kill_all()
    report = build_report(run, codes)
    if weakened is not None:
        judge_control(report, weakened)
    return report
