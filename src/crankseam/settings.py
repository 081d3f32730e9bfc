"""Settings of one node: a TOML file, overridden by command-line flags and validated here.

Operators rely on the names and defaults. `serving/settings` holds the settings of the users'
platform, whose processes need other values and reread some of them while they run. A duration has
a unit in the file (`250ms`) and is in seconds here.
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
    """TLS keys for connections between nodes and to callers; all or none are given."""

    certificate: Path | None = None
    """PEM file with this node's certificate chain."""
    key: Path | None = None
    """PEM file with this node's private key."""
    authority: Path | None = None
    """PEM file with the certificate of the authority that signs the nodes' certificates."""
    callers_certificate: Path | None = None
    """PEM file with the certificate presented to callers; None serves callers without TLS."""
    callers_key: Path | None = None
    operators_authority: Path | None = None
    """PEM file with the authority that signs operators' certificates; None opens the operators'
    paths to any caller."""
    reload_interval: Duration = 5.0
    """Interval at which the files are checked for changes."""


class TimingSettings(_Concern):
    """Periods, time-outs and lease terms, which tests shorten.

    Constraints on the sum of several values are noted at the fields concerned.
    """

    heartbeat_interval: Duration = 1.0
    """Interval of heartbeats to a relay; answers carry a reading of the configuration register."""
    suspect_after: Duration = 1.5
    """Time without news of a member, after which it is no longer chosen for new duties."""
    dead_after: Duration = 3.0
    """Time without news of a member, after which it is declared dead. Including the time to
    spread the news, detection stays under 5 s. With 4 s, measured at 420 nodes, the median time
    until a death was known was 5.7 s."""
    weights_poll: Duration = 0.5
    """Interval at which a weight coordinator polls for new versions and polls its samplers."""
    configuration_term: Duration = 2.5
    """How long a node may serve under a revision after a majority was known to hold it."""
    longest_stall: Duration = 0.5
    """A process that stalled for longer renews its view before it sends anything new. The value is
    well under the 2 s within which a back end may leave."""
    clock_margin: Duration = 0.1
    """A holder gives up a lease this long before its term ends, to allow for bounded drift of clock
    rates."""
    peer_timeout: Duration = 1.0
    """Time-out of a call to another node."""
    record_timeout: Duration = 0.7
    """Time-out after which a replica that has not answered does not count in a quorum round."""
    watch_interval: Duration = 0.5
    """Interval at which watchers read a back end's load."""
    duty_term: Duration = 6.0
    """Term of leases in the key-value service, which takes whole seconds."""
    limit_term: Duration = 5.0
    """Lease term of a node's share of a limit."""
    record_retention: Duration = 600.0
    """Age beyond which records are dropped and their ids are refused."""
    drain_timeout: Duration = 120.0
    """Longest time that a planned stop waits for running requests."""
    replica_move_delay: Duration = 1.5
    """How long a slot keeps a replica set that is not the preferred one before it is moved."""


class NodeSettings(_Concern):
    """Everything that a node is told outside the cluster's configuration."""

    name: Name
    region: Name
    zone: Name
    listen_host: str = "127.0.0.1"
    caller_port: int = Field(default=7080, ge=0, le=65535)
    peer_port: int = Field(default=7081, ge=0, le=65535)
    advertise_peer: Address | None = None
    """host:port at which peers reach this node; None for the address on which it listens."""
    bind_outgoing: str | None = None
    """Local address for connections to peers, on machines with several addresses."""
    key_value: list[Address] = Field(min_length=1)
    machine_list: Address | None = None
    """host:port of the platform's machine list."""
    seeds: list[Address] = []
    """Addresses of peers that the node contacts first to join."""
    data_folder: Path | None = None
    """Folder for all bulk data; None on machines without a disk."""
    record_slots: int = Field(default=16, ge=1, le=4096)
    """Number of slots that the region's records are divided into; must be equal on all nodes."""
    max_requests: int = Field(default=512, ge=1)
    """Requests handled concurrently; further ones are refused at once."""
    memory_megabytes: float | None = Field(default=None, gt=0)
    """Memory of the machine, in units of 2**20 bytes, from which the budget of bodies follows; None
    for what the operating system tells, at most 512."""
    log_level: str = "info"
    timing: TimingSettings = TimingSettings()
    tls: TlsSettings = TlsSettings()


def load_settings(file: Path | None, overrides: dict[str, Any]) -> NodeSettings:
    """Read the file, apply the flags and validate the result.

    Raises
    ======

    InvalidConfiguration : with one FieldError for each invalid field.
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
    """Return the text and the parsed content of a TOML file.

    Raises
    ======

    InvalidConfiguration : the file is not readable or not TOML; names the line of a syntax error.
    """
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
