"""Catalogue of the log events of a serving process: meaning, and the fields beside the common ones.

Common fields of every line: `time` (seconds since 1970, by the machine's own clock), `node`,
`level`, `event`. A test checks that each line in the code is one of these, with these fields;
docs/LOGS.md is written from this table.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LogEvent:
    """One event: what it says and which fields it carries."""

    meaning: str
    fields: tuple[str, ...] = ()


_FORWARDED = (
    "request",
    "route",
    "service",
    "tenant",
    "status",
    "attempts",
    "reasons",
    "ended",
    "fingerprint",
    "seconds",
)

EVENTS: dict[str, LogEvent] = {
    # --- the process
    "started": LogEvent("The process begins to serve.", ("settings",)),
    "stopped": LogEvent("The process has ended as planned."),
    "draining": LogEvent("A planned stop began; not ready from now on.", ("running",)),
    "stopped_with_requests_running": LogEvent(
        "The planned stop ran out of time; these requests are cut.", ("running",)
    ),
    "reloaded": LogEvent("The settings file was read again and is valid."),
    "reload_refused": LogEvent("The settings file is not valid; nothing changed.", ("errors",)),
    "task_failed": LogEvent("A background task failed; a lasting one starts again.", ("task",)),
    "suspended": LogEvent(
        "The machine stood still for so long; what others rely on is asked anew.", ("seconds",)
    ),
    "log_lines_dropped": LogEvent("So many lines did not fit the buffer.", ("count",)),
    # --- the store
    "store_lost": LogEvent("The store stopped answering this process.", ("error",)),
    "store_regained": LogEvent("The store answers again; watches are asked anew."),
    "store_through_peers": LogEvent(
        "The store does not serve this process; a peer makes its calls.", ("peer",)
    ),
    "store_direct_again": LogEvent("The store serves this process again."),
    "watcher_avoided": LogEvent(
        "A process that watches the store for others, or relays, is not asked for a while.",
        ("peer", "error"),
    ),
    "presence_not_told": LogEvent("Telling peers the address failed.", ("error",)),
    "follow_failed": LogEvent("A watch or range failed and is tried again.", ("prefix", "error")),
    "history_compacted": LogEvent("The store dropped its history; read anew.", ("prefix",)),
    "lease_won": LogEvent(
        "This process has a new lease: a long one while idle, a short one once others rely on it.",
        ("lease", "seconds"),
    ),
    "lease_lost": LogEvent("The lease is over; its keys are gone.", ("lease",)),
    "lease_not_ended": LogEvent("Giving the lease back failed; it runs out.", ("error",)),
    # --- configuration and back ends
    "configuration_taken": LogEvent("A newer configuration is in force here.", ("version",)),
    "configuration_malformed": LogEvent(
        "The configuration can't be read; the last good one stays.", ("key", "detail")
    ),
    "version_malformed": LogEvent("A named version can't be read; skipped.", ("key", "detail")),
    "back_end_malformed": LogEvent("A back end's entry can't be read; skipped.", ("key", "detail")),
    "back_ends_read": LogEvent("All back ends were read for the first time.", ("count",)),
    "back_end_in": LogEvent("Discovery shows a new back end.", ("back_end", "service")),
    "back_end_leaving": LogEvent("It is leaving: nothing new is sent there.", ("back_end",)),
    "back_end_cold": LogEvent(
        "It says that it is cold: few processes send there, and little.", ("back_end", "seconds")
    ),
    "zone_evacuated": LogEvent(
        "The operator wants nothing new sent to the back ends of a zone.", ("zone",)
    ),
    "zone_taken_back": LogEvent("The zone's back ends take new work again.", ("zone",)),
    "back_end_out": LogEvent("It is gone from discovery.", ("back_end",)),
    "back_end_ended": LogEvent(
        "It ended without having said so; `running` requests of this process were there.",
        ("back_end", "service", "evidence", "running"),
    ),
    "machine_retired": LogEvent("Told the operator that a machine is empty.", ("machine",)),
    "retirement_failed": LogEvent("Telling so failed and is tried again.", ("error",)),
    # --- requests
    "request_answered": LogEvent(
        "A back end's answer goes to the caller.",
        _FORWARDED,
    ),
    "request_given_up": LogEvent(
        "No back end answered; `reasons` has one line an attempt, `ended` the back ends that ended"
        " under it, `fingerprint` what is alike when it comes again.",
        _FORWARDED,
    ),
    "request_hedged": LogEvent("A second attempt, as the first is slow.", ("request", "slow")),
    "request_refused": LogEvent(
        "The process answered by itself.", ("request", "status", "problem", "detail")
    ),
    "request_held": LogEvent(
        "Back ends ended under this request before; it is sent to nobody for so long.",
        ("request", "fingerprint", "ended", "probes", "seconds"),
    ),
    "item_held": LogEvent(
        "The same for an item or its scoring request; it waits.",
        ("item", "fingerprint", "ended", "probes"),
    ),
    "suspect_stored": LogEvent(
        "Back ends ended under a request: all processes know it now.",
        ("fingerprint", "route", "tenant", "ended", "probes"),
    ),
    "suspect_not_stored": LogEvent(
        "The store did not take a suspect; peers are told, and it is tried again.",
        ("fingerprint", "error"),
    ),
    "suspect_probed": LogEvent(
        "A request that was held back is tried once.",
        ("request", "fingerprint", "probes", "ended"),
    ),
    "suspect_released": LogEvent(
        "A request is no suspect any more: a back end answered it, its time is over, or an"
        " operator says so.",
        ("fingerprint", "cause"),
    ),
    "suspect_not_removed": LogEvent(
        "Removing a suspect from the store failed; tried again.", ("fingerprint", "error")
    ),
    "suspect_malformed": LogEvent("A suspect's entry can't be read; skipped.", ("key", "detail")),
    "peer_not_told": LogEvent("A process could not be told of suspects.", ("peer", "error")),
    "stream_broken": LogEvent("A stream was cut in the middle.", ("request", "reason")),
    # --- jobs
    "job_accepted": LogEvent(
        "A job lasts from now on; `again`: it did before; `owned`: it runs here, not elsewhere.",
        ("job", "tenant", "step", "items", "min_version", "again", "owned"),
    ),
    "job_run_ahead": LogEvent(
        "Its acceptance takes long: it runs already, and nothing is listed.", ("job",)
    ),
    "results_not_read": LogEvent(
        "Reading what a former owner may have listed failed; tried again.", ("job", "error")
    ),
    "job_taken_over": LogEvent(
        "This process runs a job that another one began.", ("job", "chunks", "kept")
    ),
    "job_lost": LogEvent("Another process runs this job now.", ("job", "owner")),
    "job_done": LogEvent("All items are listed.", ("job", "results")),
    "job_ended": LogEvent("A caller ended the job.", ("job",)),
    "paces_malformed": LogEvent("A process told paces that can't be read.", ("key",)),
    "paces_not_told": LogEvent("Telling the samplers' paces failed; tried again.", ("error",)),
    "texts_carried": LogEvent(
        "Texts of earlier jobs are used for items that come again.", ("job", "finished", "partial")
    ),
    "job_handed_over": LogEvent(
        "A submission was handed to the process that suits the job.", ("job", "peer", "outcome")
    ),
    "job_removed": LogEvent("An ended job was removed, after its time.", ("job",)),
    "job_not_removed": LogEvent("Removing an ended job failed; tried again.", ("job", "error")),
    "results_listed": LogEvent(
        "Results have their positions for ever.", ("job", "chunk", "first_position", "items")
    ),
    "results_conflict": LogEvent("Another process listed this chunk first.", ("job", "chunk")),
    "results_not_listed": LogEvent("Listing failed and is tried again.", ("job", "error")),
    "progress_not_saved": LogEvent("Texts of running items were not kept.", ("job", "error")),
    "wait_for_results_failed": LogEvent("A reader's wait ended early.", ("job",)),
    "item_sent": LogEvent(
        "An attempt at a sampler; `reason` tells its load.",
        ("job", "item", "back_end", "reason", "events", "seconds"),
    ),
    "item_done": LogEvent(
        "All events are there.", ("job", "item", "back_end", "reason", "events", "seconds")
    ),
    "item_turned_away": LogEvent(
        "The sampler did not run it.", ("job", "item", "back_end", "reason", "events", "seconds")
    ),
    "item_broken": LogEvent(
        "The attempt broke; it goes on after `events`.",
        ("job", "item", "back_end", "reason", "events", "seconds"),
    ),
    "item_moved": LogEvent(
        "It leaves a slow sampler.", ("job", "item", "back_end", "reason", "events", "seconds")
    ),
    "item_failed": LogEvent(
        "The sampler ran it and failed.",
        ("job", "item", "back_end", "reason", "events", "seconds"),
    ),
    "item_impossible": LogEvent(
        "The sampler says it can never be done.",
        ("job", "item", "back_end", "reason", "events", "seconds"),
    ),
    "item_given_up": LogEvent("It waited longer than its route allows.", ("job", "item")),
    "item_task_failed": LogEvent("A fault of the program; the item starts again.", ("job", "item")),
    # --- scores of items
    "scoring_sent": LogEvent(
        "The text is whole; a back end is asked for its score.",
        ("job", "item", "request", "back_end", "reason", "seconds"),
    ),
    "scoring_done": LogEvent(
        "The score is there; `reason` is its signature.",
        ("job", "item", "request", "back_end", "reason", "seconds"),
    ),
    "scoring_turned_away": LogEvent(
        "The back end did not run the scoring request.",
        ("job", "item", "request", "back_end", "reason", "seconds"),
    ),
    "scoring_broken": LogEvent(
        "No whole answer of its own; the request is repeated.",
        ("job", "item", "request", "back_end", "reason", "seconds"),
    ),
    "scoring_failed": LogEvent(
        "The back end ran the scoring request and failed.",
        ("job", "item", "request", "back_end", "reason", "seconds"),
    ),
    "scoring_given_up": LogEvent(
        "It failed as often as the routes allow; the item is lost.",
        ("job", "item", "request", "back_end", "reason", "seconds"),
    ),
    # --- orders
    "version_named": LogEvent("A trainer named a version.", ("model", "version")),
    "clock_jumped": LogEvent(
        "The machine's time of day jumped; windows go on by the steady clock.", ("by_s",)
    ),
    "clock_believed": LogEvent(
        "The time of day stayed where it jumped to; it is taken as true from now on.", ("by_s",)
    ),
    "usage_not_told": LogEvent(
        "The holder of the usage duty did not take this process's counts; tried again.",
        ("peer", "error"),
    ),
    "usage_lost": LogEvent(
        "Requests that no report counts, and why.", ("window", "requests", "cause")
    ),
    "usage_not_saved": LogEvent("Keeping the usage ledger failed; tried again.", ("error",)),
    "usage_ledger_malformed": LogEvent(
        "The kept ledger can't be read; it begins anew.", ("error",)
    ),
    "usage_settled": LogEvent(
        "Counts of `windows` more windows are final: all before `next_window` are.",
        ("next_window", "windows", "fence"),
    ),
    "usage_reported": LogEvent(
        "A window's report was taken, so long after the window ended.",
        ("window", "tenants", "requests", "fence", "age_s"),
    ),
    "usage_not_reported": LogEvent(
        "A report was not taken, and is repeated unchanged.", ("window", "fence", "reason")
    ),
    "samplers_ordered": LogEvent(
        "A zone is to hold so many samplers of a kind; `outcome` is what became of the order.",
        ("service", "zone", "kind", "count", "reason", "fence", "outcome"),
    ),
    "duty_won": LogEvent(
        "This process holds a duty and acts after `pause` seconds.", ("duty", "fence", "pause")
    ),
    "duty_not_won": LogEvent("Trying for a duty failed.", ("duty", "error")),
    "version_ordered": LogEvent(
        "A sampler was ordered to load.", ("back_end", "model", "version", "fence", "sequence")
    ),
    "samplers_shared": LogEvent(
        "The samplers of a service are shared anew between its models, by the work of their items.",
        ("service", "shares"),
    ),
    "version_loaded": LogEvent("A sampler reports the version.", ("back_end", "model", "version")),
    "order_failed": LogEvent(
        "An order failed and is tried again.", ("back_end", "model", "version", "error")
    ),
}


def as_page() -> str:
    """The catalogue as a page of documentation."""
    lines = [
        "# Log events",
        "",
        "JSON lines on standard output. Every line has `time`, `node`, `level` and `event`.",
        "Written from `src/crankseam/serving/log_events.py`; a test keeps them alike.",
        "",
        "| event | meaning | fields |",
        "|---|---|---|",
    ]
    for name, event in EVENTS.items():
        fields = ", ".join(f"`{field}`" for field in event.fields)
        lines.append(f"| `{name}` | {event.meaning} | {fields} |")
    return "\n".join(lines) + "\n"
