"""Settings of one process of a deployment, read from a TOML file.

Owns the schema of the file and its defaults; fields have the same names as in the file. Times are
in the unit given by the name of the field, and are converted to seconds by the code that uses them.
"""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any, Literal

import msgspec

from crankseam.errors import FieldError, InvalidConfiguration
from crankseam.toml_lines import line_of_toml_field


class Listeners(msgspec.Struct, frozen=True):
    """Addresses that this process listens on, as `ip:port`; empty where it does not listen."""

    callers: str = ""
    """Accepts the connections of callers."""
    readiness: str = ""
    """Answers the readiness checks of the load balancer in front, which ask whether this process
    accepts new connections."""
    metrics: str = ""
    peers: str = ""
    """Accepts the connections of other processes of the deployment."""


class Bounds(msgspec.Struct, frozen=True):
    """Limits that the deployment sets; times are in seconds unless the name says otherwise."""

    drain_milliseconds: float = 2000.0
    """Time after a back end's departure is acknowledged during which requests may still reach it.
    Present in the deployment's file but unused: changes in discovery are acted on immediately."""
    grace_seconds: float = 8.0
    """Time from the stop signal until the process is killed."""
    contact_milliseconds: float = 3000.0
    """Time after the end of a disturbance within which a process must be up to date again."""
    configuration_milliseconds: float = 2000.0
    """Time after the store acknowledges a configuration change within which every process must
    apply it."""
    order_lease_milliseconds: float = 3000.0
    """Period within which two holders of a duty must not both give orders to the same sampler."""
    job_status_seconds: float = 120.0
    """Time after its submission for which a job can be read."""
    strict_revocation: bool = False
    """Whether a process refuses requests with an API key while it cannot confirm that the key has
    not been revoked."""
    revocation_milliseconds: float = 5000.0
    """Greatest accepted age of such a confirmation."""
    usage_window_seconds: float = 5.0
    """Length of the time windows in which usage is counted."""
    usage_late_seconds: float = 10.0
    """Time after the end of a window by which its usage report is due."""


class DutyCalls(msgspec.Struct, frozen=True):
    """The platform's interface for duties, which one process at a time performs.

    `address` is empty if the platform has no such interface.
    """

    address: str = ""
    usage: bool = False
    """Whether usage reports are sent to this address."""


class LoadSettings(msgspec.Struct, frozen=True):
    """Decisions under load that an operator may switch on."""

    plan_groups: bool = False
    """Whether the items of a job at a contended service are served group by group, those groups
    first that the trainer waits for and that can be whole in time, and whether samplers are told
    how urgent they are. Otherwise they are served by priority, start and length."""


class ProcessSettings(msgspec.Struct, frozen=True):
    """Everything that a process must know before it can connect to the coordination store."""

    name: str
    ip: str
    zone: str
    store_address: str
    """Address of the coordination store, as `ip:port`."""
    role: str = ""
    link_megabits: float = 1.0
    """Bandwidth of this machine's network link, in megabits per second. Only the ratio to the
    bandwidths of other machines matters."""
    data_folder: str = ""
    listen: Listeners = Listeners()
    bounds: Bounds = Bounds()
    duties: DutyCalls = DutyCalls()
    load: LoadSettings = LoadSettings()
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    memory_megabytes: float | None = None
    """Memory of this machine, in units of 2**20 bytes, from which the budget of bodies and answers
    follows. None if it is not known; see `memory.limits`."""
    max_descriptors: int | None = None
    """Limit of this process on open descriptors, of which callers' connections have a part. None if
    it is not known; see `connection_limit`."""


ADDRESS = re.compile(r"[0-9.]+:[0-9]{1,5}")
_FIELD_PATH = re.compile(r" - at `\$\.?(.*)`$")


def parse_settings(text: str, source: str) -> ProcessSettings:
    """Parse and validate the text of a settings file; unknown fields are ignored.

    Parameters
    ==========

    source : name of the file, for error messages.

    Raises
    ======

    InvalidConfiguration : names the file, the line and the field of the error.
    """
    try:
        content = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        match = re.search(r"line (\d+)", str(error))
        line = int(match.group(1)) if match else 0
        raise _invalid(FieldError(source, line, "toml", f"well-formed TOML ({error})")) from error
    try:
        settings = msgspec.convert(content, ProcessSettings, strict=True)
    except msgspec.ValidationError as error:
        raise _invalid(_field_error(text, source, str(error))) from error
    _check_addresses(settings, text, source)
    return settings


def load_settings(file: Path) -> ProcessSettings:
    """Read, parse and validate a settings file; raises InvalidConfiguration."""
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        expected = f"a readable file ({type(error).__name__})"
        raise _invalid(FieldError(str(file), 0, "file", expected)) from error
    return parse_settings(text, str(file))


def _check_addresses(settings: ProcessSettings, text: str, source: str) -> None:
    addresses: dict[tuple[str, ...], str] = {("store_address",): settings.store_address}
    for field in ("callers", "readiness", "metrics", "peers"):
        value = getattr(settings.listen, field)
        if value:
            addresses["listen", field] = value
    if settings.duties.address:
        addresses["duties", "address"] = settings.duties.address
    for path, value in addresses.items():
        if not ADDRESS.fullmatch(value):
            line = line_of_toml_field(text, path)
            raise _invalid(FieldError(source, line, ".".join(path), "an address as ip:port"))


def _field_error(text: str, source: str, message: str) -> FieldError:
    match = _FIELD_PATH.search(message)
    path = match.group(1) if match else ""
    missing = re.search(r"missing required field `(\w+)`", message)
    if missing:
        path = f"{path}.{missing.group(1)}".strip(".")
    expected = _FIELD_PATH.sub("", message)
    return FieldError(source, line_of_toml_field(text, tuple(path.split("."))), path, expected)


def _invalid(error: FieldError) -> InvalidConfiguration:
    return InvalidConfiguration("the settings are not valid", [error])


def to_builtins(settings: ProcessSettings) -> dict[str, Any]:
    """Return the settings as built-in types, for the log line at start-up."""
    plain: dict[str, Any] = msgspec.to_builtins(settings)
    return plain
