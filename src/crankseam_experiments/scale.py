"""Runs hollow fleets of several sizes and measures control cost, detection and spreading."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path
from typing import Any

import numpy

from crankseam_experiments.hollow_fleet import HollowFleet
from crankseam_experiments.plots import write_scale_report
from crankseam_experiments.spec import ScaleExperiment

CHANGE_PAUSE_SECONDS = 0.5
CHANGE_TIMEOUT_SECONDS = 20.0
DETECTION_SECONDS = 12.0
KILLED_SHARE = 0.05
CUT_SECONDS = 60.0
RECOVERY_TIMEOUT_SECONDS = 120.0
IN_FORCE_SECONDS = 3.0
BUDGET = {"cpu_percent": 1.4, "memory_mb": 256.0, "bytes_per_second": 19_000.0}


def _percentiles(values: list[float]) -> dict[str, float | int | None]:
    if not values:
        return {"count": 0, "p50": None, "p99": None, "max": None}
    return {
        "count": len(values),
        "p50": round(float(numpy.percentile(values, 50)), 3),
        "p99": round(float(numpy.percentile(values, 99)), 3),
        "max": round(max(values), 3),
    }


def _rates(old: dict[str, int], new: dict[str, int], seconds: float) -> dict[str, float]:
    return {kind: (count - old.get(kind, 0)) / seconds for kind, count in new.items()}


def _mean_by_type(members: list[dict[str, Any]], field: str) -> dict[str, float]:
    kinds = {kind for member in members for kind in member[field]}
    total = {kind: sum(m[field].get(kind, 0.0) for m in members) for kind in sorted(kinds)}
    return {kind: round(value / len(members), 2) for kind, value in total.items() if value}


def _log(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


class SizeRun:
    """All measurements at one size."""

    def __init__(self, spec: ScaleExperiment, size: int, seed: int, out: Path) -> None:
        self._spec = spec
        self._size = size
        self._random = random.Random(seed)
        self._fleet = HollowFleet(spec, size, seed, out)

    async def run(self, with_faults: bool) -> dict[str, Any]:
        """Start, measure, change, break; returns the size's part of the report."""
        report: dict[str, Any] = {"nodes": self._size}
        try:
            started = time.monotonic()
            await self._fleet.start()
            report["start_seconds"] = round(time.monotonic() - started, 1)
            await asyncio.sleep(self._spec.settle_seconds)
            report["steady"] = await self._measure_steady()
            report["configuration"] = await self._measure_changes()
            if with_faults:
                report["faults"] = await self._measure_faults()
        finally:
            await self._fleet.stop()
        return report

    # --- steady state

    async def _measure_steady(self) -> dict[str, Any]:
        before = await self._fleet.states()
        requests = await self._fleet.key_value_requests()
        await asyncio.sleep(self._spec.measure_seconds)
        after = await self._fleet.states()
        seconds = self._spec.measure_seconds
        requests = await self._fleet.key_value_requests() - requests
        cpu = sum(b["cpu_seconds"] for b in after) - sum(a["cpu_seconds"] for a in before)
        rates = self._node_rates(before, after, seconds)
        frames = sum(node["frames"] for node in rates)
        memory = [(s["memory"], s["idle_memory"], len(s["nodes"])) for s in after]
        growth = sum(m - idle for m, idle, _ in memory) / sum(count for *_, count in memory)
        idle = max(idle for _, idle, _ in memory)
        return {
            "cpu_percent_per_node": round(cpu / seconds / self._size * 100, 3),
            "cpu_microseconds_per_frame": round(cpu / seconds / frames * 1e6, 1),
            "cpu_percent_per_relay": self._relay_cpu(before, after, seconds),
            "memory_mb_process": round(idle / 1e6, 1),
            "memory_mb_per_node": round(growth / 1e6, 2),
            "memory_mb_total": round(self._fleet.total_memory() / 1e6),
            "key_value_requests_per_second": round(requests / seconds, 2),
            "roles": self._roles(rates),
        }

    @staticmethod
    def _node_rates(
        before: list[dict[str, Any]], after: list[dict[str, Any]], seconds: float
    ) -> list[dict[str, Any]]:
        earlier = {node["name"]: node for state in before for node in state["nodes"]}
        rates = []
        for node in (node for state in after for node in state["nodes"]):
            old = earlier[node["name"]]
            rates.append(
                {
                    "relay": node["relay"],
                    "first": node["first_of_region"],
                    "slots": node["slots"],
                    "bytes": (node["bytes_out"] - old["bytes_out"]) / seconds,
                    "frames": (node["frames_out"] - old["frames_out"]) / seconds,
                    "by_type": _rates(old["by_type"], node["by_type"], seconds),
                    "bytes_by_type": _rates(old["bytes_by_type"], node["bytes_by_type"], seconds),
                }
            )
        return rates

    @staticmethod
    def _relay_cpu(
        before: list[dict[str, Any]], after: list[dict[str, Any]], seconds: float
    ) -> float | None:
        """Percent of a core for one relay, from the process that holds nothing but relays."""
        for old, new in zip(before, after, strict=True):
            if all(node["relay"] for node in new["nodes"]):
                spent = new["cpu_seconds"] - old["cpu_seconds"]
                return round(spent / seconds / len(new["nodes"]) * 100, 3)
        return None

    @staticmethod
    def _roles(rates: list[dict[str, Any]]) -> dict[str, Any]:
        """Bytes and frames a second by role."""
        groups = {
            "node": [r for r in rates if not r["relay"]],
            "zone_relay": [r for r in rates if r["relay"]],
            "region_first": [r for r in rates if r["first"]],
            "configuration_replica": [r for r in rates if r["slots"]],
        }
        return {
            role: {
                "count": len(members),
                "bytes_per_second_mean": round(sum(m["bytes"] for m in members) / len(members)),
                "bytes_per_second_max": round(max(m["bytes"] for m in members)),
                "frames_per_second_mean": round(
                    sum(m["frames"] for m in members) / len(members), 1
                ),
                "frames_per_second_max": round(max(m["frames"] for m in members), 1),
                "frames_by_type": _mean_by_type(members, "by_type"),
                "bytes_by_type": _mean_by_type(members, "bytes_by_type"),
            }
            for role, members in groups.items()
            if members
        }

    # --- configuration

    async def _measure_changes(self) -> dict[str, Any]:
        await self._fleet.events()
        seconds: list[float] = []
        slowest: list[float] = []
        missed = 0
        for _ in range(self._spec.changes):
            accepted_at, revision = await self._fleet.apply_change()
            arrivals = await self._wait_for_revision(accepted_at, revision)
            seconds += arrivals
            slowest.append(max(arrivals, default=CHANGE_TIMEOUT_SECONDS))
            missed += self._size - len(arrivals)
            await asyncio.sleep(CHANGE_PAUSE_SECONDS)
        return {
            "changes": self._spec.changes,
            "node_seconds": _percentiles(seconds),
            "all_nodes_seconds": _percentiles(slowest),
            "nodes_missed": missed,
        }

    async def _wait_for_revision(self, accepted_at: float, revision: int) -> list[float]:
        """Seconds from acceptance until each node had it."""
        arrived: dict[str, float] = {}
        deadline = time.monotonic() + CHANGE_TIMEOUT_SECONDS
        while len(arrived) < self._size and time.monotonic() < deadline:
            for at, node, kind, _subject, value in await self._fleet.events():
                if kind == "revision" and value >= revision:
                    arrived.setdefault(node, max(0.0, at - accepted_at))
            await asyncio.sleep(0.1)
        return list(arrived.values())

    # --- faults

    async def _measure_faults(self) -> dict[str, Any]:
        return {
            "kill_5_percent": await self._kill_some(),
            "restart_zone": await self._restart_zone(),
            "cut_region_with_key_value_outage": await self._cut_region(),
        }

    async def _kill_some(self) -> dict[str, Any]:
        names = [settings["name"] for settings in self._fleet.settings]
        victims = self._random.sample(names, max(1, round(self._size * KILLED_SHARE)))
        _log(f"  killing {len(victims)}")
        await self._fleet.events()
        killed_at = await self._fleet.kill_nodes(victims)
        await asyncio.sleep(DETECTION_SECONDS)
        detections, false_alarms, missed = await self._detections(killed_at, set(victims))
        moves = sum(node["moves"] for node in await self._fleet.node_states())
        await self._fleet.start_nodes(victims)
        recovered = await self._fleet.wait_until_ready(self._size, RECOVERY_TIMEOUT_SECONDS)
        return {
            "killed": len(victims),
            "detection_seconds": _percentiles(detections),
            "not_detected": missed,
            "false_alarms": false_alarms,
            "slot_moves": moves,
            "recovered_seconds": round(recovered, 1),
        }

    async def _detections(
        self, killed_at: float, victims: set[str]
    ) -> tuple[list[float], int, int]:
        """Seconds until each survivor knew of each death, false alarms, and what was missed."""
        events = await self._fleet.events()
        dead = [event for event in events if event[2] == "dead"]
        seconds = [at - killed_at for at, _n, _k, subject, _v in dead if subject in victims]
        false_alarms = sum(subject not in victims for *_, subject, _v in dead)
        expected = (self._size - len(victims)) * len(victims)
        return seconds, false_alarms, expected - len(seconds)

    async def _restart_zone(self) -> dict[str, Any]:
        zone = self._random.choice(sorted({s["zone"] for s in self._fleet.settings}))
        names = [s["name"] for s in self._fleet.settings if s["zone"] == zone]
        _log(f"  restarting {zone} with {len(names)} nodes")
        requests = await self._fleet.key_value_requests()
        await self._fleet.kill_nodes(names)
        await asyncio.sleep(1.0)
        await self._fleet.start_nodes(names)
        recovered = await self._fleet.wait_until_ready(self._size, RECOVERY_TIMEOUT_SECONDS)
        requests = await self._fleet.key_value_requests() - requests
        return {
            "nodes": len(names),
            "recovered_seconds": round(recovered, 1),
            "key_value_requests": requests,
        }

    async def _cut_region(self) -> dict[str, Any]:
        """Cut one region off for a minute, with the key-value service down all the while."""
        region = self._random.randrange(self._spec.regions)
        _log(f"  cutting region {region}")
        await self._fleet.events()
        before = {node["name"]: node["bytes_out"] for node in await self._fleet.node_states()}
        await self._fleet.key_value_down(CUT_SECONDS)
        await self._fleet.cut_regions([region])
        ready: list[int] = []
        for _ in range(int(CUT_SECONDS / 5)):
            await asyncio.sleep(5.0)
            ready.append(sum(node["ready"] for node in await self._fleet.node_states()))
        during = await self._fleet.node_states()
        await self._fleet.cut_regions([])
        healed = await self._fleet.wait_until_ready(self._size, RECOVERY_TIMEOUT_SECONDS)
        await asyncio.sleep(5.0)
        after = {node["name"]: node["bytes_out"] for node in await self._fleet.node_states()}
        cut_rate = [(n["bytes_out"] - before[n["name"]]) / CUT_SECONDS for n in during]
        heal_seconds = healed + 5.0
        heal_rate = [(after[n["name"]] - n["bytes_out"]) / heal_seconds for n in during]
        events = await self._fleet.events()
        accepted_at, revision = await self._fleet.apply_change()
        arrivals = await self._wait_for_revision(accepted_at, revision)
        return {
            "seconds": CUT_SECONDS,
            "nodes_ready_min": min(ready),
            "healed_seconds": round(healed, 1),
            "bytes_per_second_max_during": round(max(cut_rate)),
            "bytes_per_second_max_healing": round(max(heal_rate)),
            "declared_dead": sum(event[2] == "dead" for event in events),
            "change_after_seconds": _percentiles(arrivals),
        }


def _budget_lines(largest: dict[str, Any]) -> dict[str, Any]:
    """The users' budget against what was measured at the largest size."""
    steady = largest["steady"]
    roles = steady["roles"].values()
    measured = {
        "cpu_percent": steady["cpu_percent_per_relay"] or steady["cpu_percent_per_node"],
        "memory_mb": steady["memory_mb_process"] + steady["memory_mb_per_node"],
        "bytes_per_second": max(role["bytes_per_second_max"] for role in roles),
    }
    return {
        name: {"budget": BUDGET[name], "measured": measured[name], "kept": measured[name] <= limit}
        for name, limit in BUDGET.items()
    }


async def run_scale(spec: ScaleExperiment, seed: int, out: Path) -> dict[str, Any]:
    """Run all sizes and return the report; writes plots beside it."""
    sizes = []
    for size in spec.sizes:
        _log(f"size {size}")
        is_largest = size == max(spec.sizes)
        run = SizeRun(spec, size, seed, out)
        sizes.append(await run.run(with_faults=spec.faults and is_largest))
    largest = max(sizes, key=lambda item: item["nodes"])
    budget = _budget_lines(largest)
    in_force = largest["configuration"]["node_seconds"]["p99"]
    report = {
        "name": spec.name,
        "seed": seed,
        "sizes": sizes,
        "budget": budget,
        "summary": {
            "largest": largest["nodes"],
            "cpu_percent_max": budget["cpu_percent"]["measured"],
            "memory_mb": round(budget["memory_mb"]["measured"], 1),
            "bytes_per_second_max": budget["bytes_per_second"]["measured"],
            "change_p99_seconds": in_force,
        },
        "passed": largest["configuration"]["nodes_missed"] == 0
        and in_force is not None
        and in_force <= IN_FORCE_SECONDS,
    }
    write_scale_report(report, out)
    return report
