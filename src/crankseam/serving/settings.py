"""Settings of one process of a deployment, in the product's own TOML form.

Owns the form and its defaults; the names of fields are the file's. Times are in the unit that a
field's name says, and are turned into seconds where they are read.
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
    """Addresses as `ip:port`; empty where this process does not serve them."""

    callers: str = ""
    """Where callers' connections arrive."""
    readiness: str = ""
    """Where the entry asks whether this process takes new connections."""
    metrics: str = ""
    peers: str = ""
    """Where other processes of the deployment reach this one."""


class Bounds(msgspec.Struct, frozen=True):
    """What the deployment allows; seconds unless the name says otherwise."""

    drain_milliseconds: float = 2000.0
    """How long after a back end's leaving was acknowledged a request may still reach it. Read by
    nothing, since what discovery tells is acted on at once; the file of the deployment has it."""
    grace_seconds: float = 8.0
    """Time from the signal to stop until the process is killed."""
    contact_milliseconds: float = 3000.0
    """A process this long after the last trouble must be up to date."""
    configuration_milliseconds: float = 2000.0
    """A change must be in force everywhere this long after the store acknowledged it."""
    order_lease_milliseconds: float = 3000.0
    """Two holders may not give orders to one sampler within this time."""
    job_status_seconds: float = 120.0
    """How long a job can be read after it was submitted."""
    strict_revocation: bool = False
    """Whether a process that can't confirm that an API key still stands refuses its requests."""
    revocation_milliseconds: float = 5000.0
    """The longest age of such a confirmation."""
    usage_window_seconds: float = 5.0
    """Length of the windows in which usage is counted."""
    usage_late_seconds: float = 10.0
    """A window's report is due so long after the window ended."""


class DutyCalls(msgspec.Struct, frozen=True):
    """The platform's interface for what one process at a time does; empty where it has none."""

    address: str = ""
    usage: bool = False
    """Whether usage is to be reported there."""


class ProcessSettings(msgspec.Struct, frozen=True):
    """Everything a process learns before it reaches the coordination store."""

    name: str
    ip: str
    zone: str
    store_address: str
    """`ip:port` of the coordination store."""
    role: str = ""
    link_megabits: float = 1.0
    """Megabits a second of this machine's link; only its size beside others' counts."""
    data_folder: str = ""
    listen: Listeners = Listeners()
    bounds: Bounds = Bounds()
    duties: DutyCalls = DutyCalls()
    log_level: Literal["debug", "info", "warning", "error"] = "info"


ADDRESS = re.compile(r"[0-9.]+:[0-9]{1,5}")
_FIELD_PATH = re.compile(r" - at `\$\.?(.*)`$")


def parse_settings(text: str, source: str) -> ProcessSettings:
    """Check one settings file; unknown fields are skipped.

    Raises:
        InvalidConfiguration: with the file, the line and the field of what is wrong.
    """
    try:
        content = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        found = re.search(r"line (\d+)", str(error))
        line = int(found.group(1)) if found else 0
        raise _invalid(FieldError(source, line, "toml", f"well-formed TOML ({error})")) from error
    try:
        settings = msgspec.convert(content, ProcessSettings, strict=True)
    except msgspec.ValidationError as error:
        raise _invalid(_field_error(text, source, str(error))) from error
    _check_addresses(settings, text, source)
    return settings


def load_settings(file: Path) -> ProcessSettings:
    """Read and check a settings file; raises InvalidConfiguration."""
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
    found = _FIELD_PATH.search(message)
    path = found.group(1) if found else ""
    missing = re.search(r"missing required field `(\w+)`", message)
    if missing:
        path = f"{path}.{missing.group(1)}".strip(".")
    expected = _FIELD_PATH.sub("", message)
    return FieldError(source, line_of_toml_field(text, tuple(path.split("."))), path, expected)


def _invalid(error: FieldError) -> InvalidConfiguration:
    return InvalidConfiguration("the settings are not valid", [error])


def as_plain(settings: ProcessSettings) -> dict[str, Any]:
    """The settings as plain data, for the log line at start."""
    plain: dict[str, Any] = msgspec.to_builtins(settings)
    return plain
