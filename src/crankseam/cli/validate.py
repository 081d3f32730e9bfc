"""Check declarative files without touching anything.

All errors are printed, each with its file, line and field.
"""

from __future__ import annotations

import argparse

from crankseam.cli import exit_codes
from crankseam.cli.common import add_files, add_json, print_json
from crankseam.config.kinds import document_key
from crankseam.config.reader import read_configuration
from crankseam.errors import InvalidConfiguration


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of `validate`."""
    add_files(parser)
    add_json(parser)


def run(arguments: argparse.Namespace) -> int:
    """Read the files and print the keys of the documents, or all errors."""
    try:
        documents = read_configuration(arguments.files)
    except InvalidConfiguration as group:
        if not arguments.json:
            raise
        print_json({"valid": False, "errors": [vars(error) for error in group.exceptions]})
        return exit_codes.INVALID
    keys = sorted(document_key(document) for document in documents)
    if arguments.json:
        print_json({"valid": True, "documents": keys})
    else:
        print(f"{len(keys)} documents are valid: {', '.join(keys)}")
    return exit_codes.OK
