"""Catalogue of the log events of a serving process, with their meanings and specific fields.

Every line also has the common fields `time` (seconds since 1970, from the wall clock of the
machine), `node`, `level` and `event`. A test checks that every log call in the code uses an event
of this catalogue with exactly its fields. docs/LOGS.md is generated from the catalogue.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Meaning of a log event, and the names of its specific fields."""

    meaning: str
    fields: tuple[str, ...] = ()


_FORWARDING_FIELDS = (
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
    "started": LogEvent("The process starts to serve requests.", ("settings",)),
    "stopped": LogEvent("The process has completed a planned stop."),
    "draining": LogEvent(
        "A planned stop has begun; the process reports that it is not ready from now on.",
        ("running",),
    ),
    "stopped_with_requests_running": LogEvent(
        "The time for the planned stop is over; the remaining requests are cut off.", ("running",)
    ),
    "drained": LogEvent(
        "A planned stop has answered its callers. `idle_closed` connections without a request were"
        " closed, `refused` requests could not have ended in time, and `remaining` connections are"
        " cut off.",
        ("idle_closed", "refused", "remaining"),
    ),
    "stopped_with_peer_calls": LogEvent(
        "The time for the planned stop is over; the remaining calls of peers are cut off.",
        ("running",),
    ),
    "reloaded": LogEvent("The settings file was read again and is valid."),
    "reload_refused": LogEvent(
        "The settings file is not valid; the current settings remain in effect.", ("errors",)
    ),
    "task_failed": LogEvent(
        "A background task failed; long-running tasks are restarted.", ("task",)
    ),
    "left_out": LogEvent(
        "`subject` (a back end, an item or a service) is left out of a decision because of an"
        " internal error; the others are not affected. `count` such errors since the last line.",
        ("decision", "subject", "count"),
    ),
    "suspended": LogEvent(
        "The machine was suspended for `seconds`; watched state is read again and the lease"
        " renewed.",
        ("seconds",),
    ),
    "log_lines_dropped": LogEvent(
        "`count` log lines were dropped because the buffer was full.", ("count",)
    ),
    # --- the store
    "store_lost": LogEvent("The store stopped responding to this process.", ("error",)),
    "store_regained": LogEvent("The store responds again; watches are restarted."),
    "store_through_peers": LogEvent(
        "The store does not serve this process: it refuses or does not answer. Calls go through a"
        " peer.",
        ("peer",),
    ),
    "store_direct_again": LogEvent("The store serves this process directly again."),
    "watcher_avoided": LogEvent(
        "A process that watches the store for others, or relays calls, is not asked for some time.",
        ("peer", "error"),
    ),
    "presence_not_told": LogEvent(
        "Announcing the address of this process to its peers failed.", ("error",)
    ),
    "follow_failed": LogEvent(
        "A watch or a range read failed and is retried.", ("prefix", "error")
    ),
    "history_compacted": LogEvent(
        "The store has compacted its history; the prefix is read again.", ("prefix",)
    ),
    "lease_won": LogEvent(
        "This process has a new lease: a long one while it is idle, a short one while others"
        " rely on it.",
        ("lease", "seconds"),
    ),
    "lease_lost": LogEvent("The lease has expired; its keys are removed.", ("lease",)),
    "lease_not_ended": LogEvent("Ending the lease failed; it will expire.", ("error",)),
    # --- configuration and back ends
    "configuration_taken": LogEvent(
        "This process has applied a newer configuration.", ("version",)
    ),
    "configuration_malformed": LogEvent(
        "The configuration can't be decoded; the last valid one stays in force.", ("key", "detail")
    ),
    "version_malformed": LogEvent(
        "A requested weight version can't be decoded and is skipped.", ("key", "detail")
    ),
    "back_end_malformed": LogEvent(
        "The entry of a back end isn't valid: it names no back end to use. Logged at a limited rate"
        " for each key.",
        ("key", "detail"),
    ),
    "back_ends_read": LogEvent("All back ends were read for the first time.", ("count",)),
    "back_end_in": LogEvent("A new back end appeared in discovery.", ("back_end", "service")),
    "back_end_leaving": LogEvent("A back end is leaving; it gets no new requests.", ("back_end",)),
    "back_end_cold": LogEvent(
        "A back end reports that it is cold; few processes send to it, at a limited rate.",
        ("back_end", "seconds"),
    ),
    "zone_evacuated": LogEvent(
        "By order of the operator, the back ends of a zone get no new work.", ("zone",)
    ),
    "zone_taken_back": LogEvent(
        "The evacuation of a zone was revoked; its back ends accept new work again.", ("zone",)
    ),
    "load_report_malformed": LogEvent(
        "A back end reported a load that can't be decoded; `count` such reports since the last"
        " line. Its load is estimated from the requests of this process alone.",
        ("back_end", "value", "count"),
    ),
    "endless_response": LogEvent(
        "A server sent more than any answer has, interim responses or bodies without end; the"
        " connection was closed. `count` such connections since the last line about it.",
        ("server", "reason", "count"),
    ),
    "status_invalid": LogEvent(
        "A server sent a status that is none of HTTP's; it is no answer, and the connection was"
        " closed. `count` such statuses since the last line about it.",
        ("server", "status", "count"),
    ),
    "late_answer_dropped": LogEvent(
        "While the answer to `request` was awaited, the back end sent one to an earlier request,"
        " `answer_of`. It is dropped, and the answer to `request` is still awaited. `count` such"
        " answers since the last line.",
        ("back_end", "request", "answer_of", "status", "count"),
    ),
    "back_end_slow": LogEvent(
        "By this process's own answers, a back end takes `ratio` times as long as the service's"
        " others; it gets less. `age_s`: age of the latest of `observations`. Contended services"
        " only.",
        ("back_end", "service", "ratio", "observations", "age_s"),
    ),
    "back_end_normal": LogEvent(
        "A back end that was slow is as fast as the service's others again, or its observations"
        " are forgotten and it is tried again.",
        ("back_end", "service", "ratio", "observations", "age_s"),
    ),
    "back_end_out": LogEvent("A back end was removed from discovery.", ("back_end",)),
    "back_end_ended": LogEvent(
        "A back end ended unannounced; it had `running` requests of this process.",
        ("back_end", "service", "evidence", "running"),
    ),
    "machine_retired": LogEvent("The operator was notified that a machine is empty.", ("machine",)),
    "retirement_failed": LogEvent(
        "Notifying the operator of an empty machine failed and is retried.", ("error",)
    ),
    # --- requests
    "request_answered": LogEvent(
        "The answer of a back end is returned to the caller.",
        _FORWARDING_FIELDS,
    ),
    "request_given_up": LogEvent(
        "No back end answered; `reasons` has one text per attempt, `ended` lists the back ends"
        " that ended during the request, `fingerprint` identifies the request if it is sent"
        " again.",
        _FORWARDING_FIELDS,
    ),
    "request_hedged": LogEvent(
        "A second attempt was started because the first one is slow.", ("request", "slow")
    ),
    "request_queued": LogEvent(
        "A request waited for a place at its service; `outcome`: granted, or cancelled by its"
        " caller. `place` requests were before it when it came; `limit` and `line` as it left.",
        (
            "request",
            "service",
            "tenant",
            "priority",
            "place",
            "waited_s",
            "limit",
            "line",
            "outcome",
        ),
    ),
    "request_rejected_early": LogEvent(
        "A request was refused before it was sent, or when it returned to the line after"
        " rejections, as `cause` says. `wait_s` and `run_s` are estimated, `left_s` is what"
        " it had left; the drain rate is `drain_age_s` old.",
        (
            "request",
            "service",
            "tenant",
            "priority",
            "cause",
            "place",
            "wait_s",
            "run_s",
            "left_s",
            "waited_s",
            "line",
            "limit",
            "drain_per_s",
            "drain_age_s",
            "retry_after_s",
        ),
    ),
    "concurrency_limit_changed": LogEvent(
        "The limit of concurrent requests of this process at a service has changed since the last"
        " line, of which there is at most one a second; `cause` is that of the last change.",
        ("service", "old", "new", "cause", "slots", "running"),
    ),
    "hedge_withheld": LogEvent(
        "A request whose first attempt is slow got no second one, as `cause` says.",
        ("request", "service", "slow", "cause", "tokens", "line", "running", "limit"),
    ),
    "request_refused": LogEvent(
        "The process answered a request itself with an error.",
        ("request", "status", "problem", "detail"),
    ),
    "memory_short": LogEvent(
        "The memory budget is short, at most one line a second: bytes used and allowed, bodies and"
        " answers that wait, the largest of them, refusals since the previous line.",
        ("used_bytes", "limit_bytes", "waiting", "largest_bytes", "refused"),
    ),
    "reader_cut_off": LogEvent(
        "Memory is short, and this caller neither read its answer nor sent its body (`kind`) for"
        " `stalled_s` seconds; its connection was aborted. `unsent_bytes`: what was still to come.",
        ("request", "kind", "unsent_bytes", "stalled_s"),
    ),
    "connections_closed": LogEvent(
        "Callers' connections were closed since the previous line: `displaced` ones, idle or slow,"
        " for new ones, `refused` new ones as no place was free, those whose `head` came too"
        " slowly or was too large, and those whose answer stayed `unread`; `open` of `limit` are"
        " left.",
        ("open", "limit", "displaced", "refused", "head", "unread"),
    ),
    "request_held": LogEvent(
        "Back ends ended during earlier attempts of this request; it is held back for `seconds`.",
        ("request", "fingerprint", "ended", "probes", "seconds"),
    ),
    "item_held": LogEvent(
        "Back ends ended during earlier attempts of an item's scoring request; it waits.",
        ("item", "fingerprint", "ended", "probes"),
    ),
    "suspect_stored": LogEvent(
        "Back ends ended during a request; the suspect is now known to all processes.",
        ("fingerprint", "route", "tenant", "ended", "probes"),
    ),
    "suspect_not_stored": LogEvent(
        "Storing a suspect failed; peers are notified directly and the write is retried.",
        ("fingerprint", "error"),
    ),
    "suspect_probed": LogEvent(
        "A request that was held back is tried once.",
        ("request", "fingerprint", "probes", "ended"),
    ),
    "suspect_released": LogEvent(
        "A request is no longer a suspect: a back end answered it, its hold expired, or an"
        " operator released it.",
        ("fingerprint", "cause"),
    ),
    "suspect_not_removed": LogEvent(
        "Removing a suspect from the store failed and is retried.", ("fingerprint", "error")
    ),
    "suspect_malformed": LogEvent(
        "The entry of a suspect can't be decoded and is skipped.", ("key", "detail")
    ),
    "peer_not_told": LogEvent("Notifying a process of suspects failed.", ("peer", "error")),
    "stream_broken": LogEvent("A stream broke off before its end.", ("request", "reason")),
    # --- jobs
    "job_accepted": LogEvent(
        "A job was accepted and is durable; `again`: it had been accepted before; `owned`: this"
        " process runs it.",
        ("job", "tenant", "step", "items", "min_version", "again", "owned"),
    ),
    "job_not_accepted": LogEvent(
        "A submitted job was not accepted by its deadline, or the store did not say. Its caller is"
        " told that nothing ran only if `error` tells that the store refused the job and"
        " `may_have_run` is false.",
        ("job", "error", "may_have_run"),
    ),
    "job_run_ahead": LogEvent(
        "Storing a job takes long; it is run already, but no results are listed until it is"
        " accepted.",
        ("job",),
    ),
    "results_not_read": LogEvent(
        "Reading the results that a former owner may have listed failed and is retried.",
        ("job", "error"),
    ),
    "job_taken_over": LogEvent(
        "This process runs a job that another process began.", ("job", "chunks", "kept")
    ),
    "job_lost": LogEvent("Another process has taken over this job.", ("job", "owner")),
    "job_done": LogEvent("All items of a job are listed.", ("job", "results")),
    "job_ended": LogEvent("A caller ended a job.", ("job",)),
    "paces_malformed": LogEvent(
        "The sampler paces received from a process can't be decoded.", ("key",)
    ),
    "paces_not_told": LogEvent(
        "Sending the sampler paces to other processes failed and is retried.", ("error",)
    ),
    "texts_carried": LogEvent(
        "Texts of earlier jobs are reused for items that occur again.",
        ("job", "finished", "partial"),
    ),
    "job_handed_over": LogEvent(
        "A submission was passed to the process that is best suited to run the job.",
        ("job", "peer", "outcome"),
    ),
    "job_removed": LogEvent("An ended job was removed after its retention period.", ("job",)),
    "job_not_removed": LogEvent("Removing an ended job failed and is retried.", ("job", "error")),
    "results_listed": LogEvent(
        "Results were listed; their positions are now final.",
        ("job", "chunk", "first_position", "items"),
    ),
    "results_conflict": LogEvent("Another process listed this chunk first.", ("job", "chunk")),
    "results_not_listed": LogEvent("Listing results failed and is retried.", ("job", "error")),
    "progress_not_saved": LogEvent("Saving the texts of running items failed.", ("job", "error")),
    "wait_for_results_failed": LogEvent(
        "A reader's wait for results failed; it gets what was read before.", ("job",)
    ),
    "item_sent": LogEvent(
        "An item was sent to a sampler; `reason` states the load of the sampler.",
        ("job", "item", "back_end", "reason", "events", "seconds"),
    ),
    "item_done": LogEvent(
        "All events of an item have arrived.",
        ("job", "item", "back_end", "reason", "events", "seconds"),
    ),
    "item_turned_away": LogEvent(
        "The sampler rejected an item without running it.",
        ("job", "item", "back_end", "reason", "events", "seconds"),
    ),
    "item_broken": LogEvent(
        "An attempt broke; the item is resumed after `events`.",
        ("job", "item", "back_end", "reason", "events", "seconds"),
    ),
    "item_moved": LogEvent(
        "An item is moved away from a slow sampler.",
        ("job", "item", "back_end", "reason", "events", "seconds"),
    ),
    "item_failed": LogEvent(
        "The sampler ran an item and reported a failure.",
        ("job", "item", "back_end", "reason", "events", "seconds"),
    ),
    "item_impossible": LogEvent(
        "The sampler reports that an item can never be completed.",
        ("job", "item", "back_end", "reason", "events", "seconds"),
    ),
    "item_given_up": LogEvent("An item waited longer than its route allows.", ("job", "item")),
    "wait_redirected": LogEvent(
        "Items and scoring requests, `waiting` in number, that waited for places at service `left`,"
        " wait at another service from now on: their route or its back ends changed. The longest"
        " has waited `waited_s`.",
        ("service", "left", "waiting", "waited_s"),
    ),
    "tenant_waited": LogEvent(
        "The oldest of a tenant's `waiting` items and scoring requests has waited `waited_s`."
        " `share`, `largest_other`: fractions of the work that this process granted in the last 10"
        " to 20 seconds, of this tenant and of the one with the most among the others.",
        ("tenant", "waiting", "waited_s", "share", "largest_other"),
    ),
    "tenant_share_freed": LogEvent(
        "Configuration `version` has no key of a tenant any more. The tenant's `open_items` run"
        " only where no other tenant of their priority waits.",
        ("tenant", "version", "open_items"),
    ),
    "item_task_failed": LogEvent(
        "The program failed with an internal error; the item is restarted.", ("job", "item")
    ),
    "groups_planned": LogEvent(
        "At a contended service, the groups of a job were sorted into those to finish first"
        " (`chosen`), those that will be late (`late`) and those that are not needed (`beyond`,"
        " `infeasible`: not whole in time), each in the order in which they are served;"
        " `time_left_s` is the time until the results are due, `slack_s` the least slack of a"
        " chosen group (null if unknown), `work_s` the remaining work of the chosen ones.",
        (
            "job",
            "chosen",
            "late",
            "beyond",
            "infeasible",
            "time_left_s",
            "slack_s",
            "work_s",
        ),
    ),
    # --- scores of items
    "scoring_sent": LogEvent(
        "The text of an item is complete; a back end is asked for its score.",
        ("job", "item", "request", "back_end", "reason", "seconds"),
    ),
    "scoring_done": LogEvent(
        "The score of an item has arrived; `reason` is its signature.",
        ("job", "item", "request", "back_end", "reason", "seconds"),
    ),
    "scoring_turned_away": LogEvent(
        "The back end rejected a scoring request without running it.",
        ("job", "item", "request", "back_end", "reason", "seconds"),
    ),
    "scoring_broken": LogEvent(
        "A scoring request got no complete, matching answer; it is repeated.",
        ("job", "item", "request", "back_end", "reason", "seconds"),
    ),
    "scoring_failed": LogEvent(
        "The back end ran a scoring request and reported a failure.",
        ("job", "item", "request", "back_end", "reason", "seconds"),
    ),
    "scoring_given_up": LogEvent(
        "Scoring failed as often as the routes allow; the item has failed.",
        ("job", "item", "request", "back_end", "reason", "seconds"),
    ),
    # --- orders
    "version_named": LogEvent("A trainer requested a weight version.", ("model", "version")),
    "clock_jumped": LogEvent(
        "The machine's wall clock jumped; usage windows continue by the monotonic clock.", ("by_s",)
    ),
    "clock_believed": LogEvent(
        "The wall clock stayed at the time it jumped to, which is accepted from now on.", ("by_s",)
    ),
    "usage_not_told": LogEvent(
        "The holder of the usage duty did not accept the counts of this process; sending is"
        " retried.",
        ("peer", "error"),
    ),
    "usage_lost": LogEvent(
        "Requests are missing from all usage reports; `cause` states why.",
        ("window", "requests", "cause"),
    ),
    "usage_not_saved": LogEvent("Saving the usage ledger failed and is retried.", ("error",)),
    "usage_ledger_malformed": LogEvent(
        "The stored usage ledger can't be decoded; a new one is started.", ("error",)
    ),
    "usage_settled": LogEvent(
        "The counts of `windows` more windows are final: all windows before `next_window` are.",
        ("next_window", "windows", "fence"),
    ),
    "usage_reported": LogEvent(
        "The usage report of a window was accepted, `age_s` seconds after the window ended.",
        ("window", "tenants", "requests", "fence", "age_s"),
    ),
    "usage_not_reported": LogEvent(
        "A usage report was not accepted and is repeated unchanged.", ("window", "fence", "reason")
    ),
    "samplers_ordered": LogEvent(
        "An order to have `count` samplers of a kind in a zone was given; `outcome` is its result.",
        ("service", "zone", "kind", "count", "reason", "fence", "outcome"),
    ),
    "duty_won": LogEvent(
        "This process holds a duty and acts on it after `pause` seconds.",
        ("duty", "fence", "pause"),
    ),
    "duty_not_won": LogEvent("An attempt to acquire a duty failed.", ("duty", "error")),
    "version_ordered": LogEvent(
        "A sampler was ordered to load a weight version.",
        ("back_end", "model", "version", "fence", "sequence"),
    ),
    "samplers_shared": LogEvent(
        "The samplers of a service were redistributed among its models by the work of their items.",
        ("service", "shares"),
    ),
    "capacity_shared": LogEvent(
        "The capacity of a contended service was redistributed among its models: `reason` tells"
        " whether `needed_slots`, by model, fit into `capacity`, the number of slots; `priorities`"
        " are those of the recent jobs of each model.",
        ("service", "reason", "shares", "capacity", "needed_slots", "priorities"),
    ),
    "version_loaded": LogEvent(
        "A sampler reports that it has loaded the version.", ("back_end", "model", "version")
    ),
    "order_failed": LogEvent(
        "An order to a sampler failed and is retried.", ("back_end", "model", "version", "error")
    ),
}


def as_markdown() -> str:
    """Return the catalogue as a Markdown page."""
    lines = [
        "# Log events",
        "",
        "JSON lines on standard output. Every line has `time`, `node`, `level` and `event`.",
        "Generated from `src/crankseam/serving/log_events.py`; a test checks that they agree.",
        "",
        "| event | meaning | fields |",
        "|---|---|---|",
    ]
    for name, event in EVENTS.items():
        fields = ", ".join(f"`{field}`" for field in event.fields)
        lines.append(f"| `{name}` | {event.meaning} | {fields} |")
    return "\n".join(lines) + "\n"
