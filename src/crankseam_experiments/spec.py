"""Schema and validation of experiment files in TOML.

Fields are documented in the model classes. All errors in a file are reported together, each with
its line.
"""

from __future__ import annotations

from pathlib import Path
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from crankseam.config.kinds import Address, Name
from crankseam.errors import FieldError, InvalidConfiguration
from crankseam.settings import read_toml
from crankseam.toml_lines import line_of_toml_field


class _FrozenModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Platform(_FrozenModel):
    """Addresses of the platform's stand-ins."""

    key_value: Address
    machine_list: Address


class Samplers(_FrozenModel):
    """Parameters of the sampler emulators that an experiment may set."""

    time_scale: float = Field(default=1.0, gt=0)
    median_length: int = Field(default=200, ge=1)
    max_running: int = Field(default=64, ge=1)
    chunk_tokens: int = Field(default=8, ge=1)


class TrainerLoad(_FrozenModel):
    """Load that the trainer generates; seconds are wall-clock seconds."""

    name: Name
    steps: int = Field(ge=1)
    groups_per_step: int = Field(ge=1)
    samples_per_group: int = Field(ge=1)
    max_tokens: int = Field(ge=1)
    train_seconds: float = Field(ge=0)
    open_ahead: int = Field(default=2, ge=1)
    hints: bool = False


class CallerLoad(_FrozenModel):
    """Load that the callers generate."""

    service: Name
    rate: float = Field(gt=0)
    seconds: float = Field(gt=0)
    deadline: float = Field(gt=0)
    read_share: float = Field(ge=0, le=1)


FaultName = Literal[
    "kill_node",
    "pause_node",
    "cut_link",
    "cut_one_way",
    "cut_zone",
    "slow_link",
    "key_value_down",
    "key_value_slow",
    "lose_answers",
    "lapse_leases",
    "kill_sampler",
    "break_streams",
    "fail_loads",
    "kill_app",
    "leave_app",
    "leave_sampler",
    "planned_stop",
    "kill_trainer",
    "race_operators",
    "lose_app_answers",
    "change_while_cut",
]


class FaultPlan(_FrozenModel):
    """Kinds, number and spacing of faults; the seed determines their order and times."""

    kinds: list[FaultName]
    count: int = Field(ge=0)
    first_at: float = Field(default=4.0, ge=0)
    """Seconds from the start of the load to the first fault."""
    spacing: float = Field(default=2.0, gt=0)
    """Mean seconds between the starts of faults; faults may overlap."""
    duration: float = Field(default=3.0, gt=0)
    """Base for the length of a pause, cut or outage in seconds; the injector varies it."""
    in_force_seconds: float = Field(default=15.0, gt=0)
    """Seconds after which a change must be in force on all nodes.

    The bound is longer than without faults, since the node that distributes changes may have to be
    declared dead first.
    """


class Policy(_FrozenModel):
    """Overrides of the configuration for one of the compared variants of a run."""

    name: str
    idle_weight: float | None = None
    """Overrides the trainer's `idle_weight`; None keeps the configured value."""
    sample_order: Literal["longest_first", "as_given"] = "longest_first"
    routing: Literal["least_load", "round_robin"] = "least_load"
    hints: bool = False
    """Whether the trainer sends the exact length of each sample, as the oracle policy does."""


class Experiment(_FrozenModel):
    """Contents of one experiment file."""

    name: str
    kind: Literal["processes", "latency"] = "processes"
    configuration: list[str] = Field(min_length=1)
    """Configuration files or folders, relative to the experiment file."""
    region: Name
    zones: list[Name] = Field(min_length=1)
    nodes_per_zone: int = Field(default=1, ge=1, le=20)
    address_base: int = Field(ge=1, le=250)
    """Nodes listen on 127.0.BASE.N."""
    platform: Platform
    samplers: Samplers = Samplers()
    app_work_seconds: float = Field(default=0.005, ge=0)
    """Mean seconds that an app server works on a request."""
    trainer: TrainerLoad | None = None
    callers: CallerLoad | None = None
    faults: FaultPlan | None = None
    timing: dict[str, str] = {}
    """Overrides of the nodes' timing settings."""
    policies: list[Policy] = []
    """Policies to compare, paired by seed; if empty, the configuration runs unchanged."""
    seeds: int = Field(default=1, ge=1)
    """Number of consecutive seeds of a comparison, starting with the given seed."""


def load_experiment(file: Path) -> Experiment:
    """Read and validate an experiment file.

    Raises:
        InvalidConfiguration: with one FieldError for each invalid field.
    """
    text, content = read_toml(file)
    try:
        return Experiment.model_validate(content)
    except ValidationError as error:
        errors = []
        for detail in error.errors():
            field = ".".join(str(step) for step in detail["loc"])
            line = line_of_toml_field(text, detail["loc"])
            errors.append(FieldError(str(file), line, field, detail["msg"]))
        raise InvalidConfiguration("the experiment is not valid", errors) from None
