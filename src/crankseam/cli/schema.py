"""Print the JSON Schema of the declarative documents, for editors."""

from __future__ import annotations

import argparse
from typing import Annotated

from pydantic import Field, TypeAdapter

from crankseam.cli import exit_codes
from crankseam.cli.common import print_json
from crankseam.config.kinds import Document


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add nothing: `schema` takes no arguments."""


def run(_arguments: argparse.Namespace) -> int:
    """Print one schema that covers every kind of document, discriminated by `kind`."""
    adapter: TypeAdapter[Document] = TypeAdapter(Annotated[Document, Field(discriminator="kind")])
    print_json(adapter.json_schema())
    return exit_codes.OK
