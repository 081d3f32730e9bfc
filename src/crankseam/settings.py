"""Settings of one node: a TOML file, overridden by flags, checked in one place.

Owns names and defaults, which operators rely on. `serving/settings` are those of the users'
platform: a process there is told other things, and reads some of them anew while it runs. A
duration has its unit in the file (`250ms`) and is in seconds here.
"""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from crankseam.config.kinds import Address, Duration, Name
from crankseam.errors import FieldError, InvalidConfiguration
from crankseam.toml_lines import line_of_toml_field


class _Concern(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, validate_default=True)


class TlsSettings(_Concern):
    """Keys for connections between nodes and towards callers; all or none are given."""

    certificate: Path | None = None
    """PEM file with this node's certificate chain."""
    key: Path | None = None
    """PEM file with its private key."""
    authority: Path | None = None
    """PEM file with the authority that signs the nodes' certificates."""
    callers_certificate: Path | None = None
    """Certificate shown to callers; None serves callers without TLS."""
    callers_key: Path | None = None
    operators_authority: Path | None = None
    """Authority that signs operators' certificates; None lets any caller ask for status."""
    reload_interval: Duration = 5.0
    """How often the files are looked at for new keys."""


class TimingSettings(_Concern):
    """Periods and terms; tests shorten them. A sum that matters is noted beside the field."""

    heartbeat_interval: Duration = 1.0
    """Between two heartbeats to a relay; the answer carries the reading of the register."""
    suspect_after: Duration = 1.5
    """Silence after which a member is no longer chosen for new duties."""
    dead_after: Duration = 3.0
    """Silence after which a member is declared dead; with spreading it stays under 5 s. Measured at
    420 nodes with 4 s: deaths were known after 5.7 s in the median."""
    weights_poll: Duration = 0.5
    """How often a weight coordinator looks for new versions and at its samplers."""
    configuration_term: Duration = 2.5
    """How long a node may serve under a revision after a majority was known to hold it."""
    longest_stall: Duration = 0.5
    """A process that stood still for longer renews its view before it sends anything new: well
    under the 2 s in which a back end may leave."""
    clock_margin: Duration = 0.1
    """A holder gives up this much earlier than its term, for bounded drift of clock rates."""
    peer_timeout: Duration = 1.0
    """A call to another node ends after this."""
    record_timeout: Duration = 0.7
    """A replica that has not answered after this does not count for a round."""
    watch_interval: Duration = 0.5
    """How often a back end's load is read by its watchers."""
    duty_term: Duration = 6.0
    """Term of leases in the key-value service; whole seconds there."""
    limit_term: Duration = 5.0
    """Term of a node's share of a limit."""
    record_retention: Duration = 600.0
    """Records dated earlier are dropped, and their ids refused."""
    drain_timeout: Duration = 120.0
    """How long a planned stop waits for running requests."""
    replica_move_delay: Duration = 1.5
    """How long a slot keeps a replica set that is not the best before it is moved."""


class NodeSettings(_Concern):
    """Everything a node learns from outside the configuration."""

    name: Name
    region: Name
    zone: Name
    listen_host: str = "127.0.0.1"
    caller_port: int = Field(default=7080, ge=0, le=65535)
    peer_port: int = Field(default=7081, ge=0, le=65535)
    advertise_peer: Address | None = None
    """host:port under which peers reach this node; default: where it listens."""
    bind_outgoing: str | None = None
    """Local address for connections to peers, on machines that have several."""
    key_value: list[Address] = Field(min_length=1)
    machine_list: Address | None = None
    """host:port of the platform's list of machines."""
    seeds: list[Address] = []
    """Peer addresses for first contact."""
    data_folder: Path | None = None
    """The one folder for bulk data; None on machines without a disk."""
    record_slots: int = Field(default=16, ge=1, le=4096)
    """Slots of the region's records; must be the same on all nodes."""
    max_requests: int = Field(default=512, ge=1)
    """Requests handled at a time; further ones are shed at once."""
    log_level: str = "info"
    timing: TimingSettings = TimingSettings()
    tls: TlsSettings = TlsSettings()


def load_settings(file: Path | None, overrides: dict[str, Any]) -> NodeSettings:
    """Read the file, apply the flags, check everything.

    Raises:
        InvalidConfiguration: with one FieldError for each thing wrong.
    """
    text = ""
    content: dict[str, Any] = {}
    if file is not None:
        text, content = read_toml(file)
    content |= {name: value for name, value in overrides.items() if value is not None}
    try:
        return NodeSettings.model_validate(content)
    except ValidationError as error:
        where = str(file) if file else "flags"
        errors = []
        for detail in error.errors():
            field = ".".join(str(step) for step in detail["loc"])
            expected = detail["msg"].removeprefix("Value error, ")
            line = line_of_toml_field(text, detail["loc"])
            errors.append(FieldError(where, line, field, expected))
        raise InvalidConfiguration("the settings are not valid", errors) from None


def read_toml(file: Path) -> tuple[str, dict[str, Any]]:
    """Text and content of a TOML file; raises InvalidConfiguration with the line."""
    try:
        text = file.read_text(encoding="utf-8")
        return text, tomllib.loads(text)
    except (OSError, UnicodeDecodeError) as error:
        fault = FieldError(str(file), 0, "file", f"a readable file ({type(error).__name__})")
        raise InvalidConfiguration("the settings are not valid", [fault]) from error
    except tomllib.TOMLDecodeError as error:
        found = re.search(r"line (\d+)", str(error))
        line = int(found.group(1)) if found else 0
        fault = FieldError(str(file), line, "toml", f"well-formed TOML ({error})")
        raise InvalidConfiguration("the settings are not valid", [fault]) from error
