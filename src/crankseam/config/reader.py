"""Reads YAML documents and reports every invalid field with its file, line and expected value.

All errors found in one set of files are raised together. The models in `kinds` validate the content
of each document; duplicate names and references between documents are checked here.
"""

from __future__ import annotations

import difflib
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml
from pydantic import ValidationError

from crankseam.config.kinds import KINDS, Document, Limit, Trainer, WeightPolicy, document_key
from crankseam.errors import FieldError, InvalidConfiguration

MAX_FILE_BYTES = 4 * 1024 * 1024
"""Maximum size of a file; a larger one is reported as an error and not parsed."""
MAX_NESTING = 32
"""Maximum nesting depth of a document.

It bounds the recursion over the composed nodes and is far above the depth of any kind.
"""


@dataclass(frozen=True)
class LocatedDocument:
    """A validated document with its file and its YAML node."""

    document: Document
    file: str
    node: yaml.MappingNode

    def line_of(self, *path: str | int) -> int:
        """Return the line, counted from 1, of the field at `path`."""
        return _line_of(self.node, path)


def _line_of(node: yaml.Node, path: Iterable[str | int]) -> int:
    """Return the line of the deepest existing node along `path`."""
    line = node.start_mark.line + 1
    for step in path:
        child = _child(node, step)
        if child is None:
            break
        node, line = child
    return line


def _child(node: yaml.Node, step: str | int) -> tuple[yaml.Node, int] | None:
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value == step:
                return value, key.start_mark.line + 1
    if isinstance(node, yaml.SequenceNode) and isinstance(step, int) and step < len(node.value):
        child = node.value[step]
        return child, child.start_mark.line + 1
    return None


def _exceeds_nesting(node: yaml.Node, limit: int) -> bool:
    """Return whether the node is nested deeper than `limit` levels.

    The check itself is iterative and runs before any function recurses into the node.
    """
    level_nodes = [node]
    for _ in range(limit):
        children: list[yaml.Node] = []
        for item in level_nodes:
            if isinstance(item, yaml.MappingNode):
                children.extend(part for pair in item.value for part in pair)
            elif isinstance(item, yaml.SequenceNode):
                children.extend(item.value)
        if not children:
            return False
        level_nodes = children
    return True


class ConfigurationReader:
    """Collects the documents and the errors of any number of files."""

    def __init__(self) -> None:
        self.errors: list[FieldError] = []
        self.documents: list[LocatedDocument] = []

    def read_path(self, path: Path) -> None:
        """Read one file, or every `*.yaml` file of a folder."""
        if not path.exists():
            self._add_error(str(path), 0, "file", "a file or folder that exists")
            return
        files = sorted(path.glob("*.yaml")) if path.is_dir() else [path]
        if not files:
            self._add_error(str(path), 0, "file", "at least one *.yaml file in this folder")
        for file in files:
            self.read_bytes(file.read_bytes(), str(file))

    def read_bytes(self, content: bytes, file: str) -> None:
        """Parse and validate the documents in the content of one file."""
        if len(content) > MAX_FILE_BYTES:
            self._add_error(file, 0, "file", f"at most {MAX_FILE_BYTES} bytes")
            return
        try:
            text = content.decode("utf-8")
        except UnicodeDecodeError as error:
            line = content[: error.start].count(b"\n") + 1
            self._add_error(file, line, "file", "UTF-8 text")
            return
        self._read_text(text, file)

    def _read_text(self, text: str, file: str) -> None:
        if "*" in text and "&" in text and self._reject_aliases(text, file):
            return
        try:
            nodes = list(yaml.compose_all(text, Loader=yaml.SafeLoader))
        except yaml.MarkedYAMLError as error:
            mark = error.problem_mark
            line = mark.line + 1 if mark else 0
            self._add_error(file, line, "yaml", f"well-formed YAML ({error.problem})")
            return
        except (yaml.YAMLError, RecursionError, ValueError) as error:
            self._add_error(file, 0, "yaml", f"well-formed YAML ({type(error).__name__})")
            return
        for node in nodes:
            if node is not None:
                self._read_document(node, file)

    def _reject_aliases(self, text: str, file: str) -> bool:
        """Report an alias as an error, since aliases let a small file expand without bound.

        Returns:
            Whether the text contains an alias.
        """
        try:
            for event in yaml.parse(text, Loader=yaml.SafeLoader):
                if isinstance(event, yaml.AliasEvent):
                    mark = event.start_mark
                    self._add_error(file, mark.line + 1 if mark else 0, "yaml", "no aliases")
                    return True
        except (yaml.YAMLError, RecursionError, ValueError):
            return False  # compose_all raises the same error, which is reported there
        return False

    def _read_document(self, node: yaml.Node, file: str) -> None:
        line = node.start_mark.line + 1
        if not isinstance(node, yaml.MappingNode):
            self._add_error(file, line, "document", "a mapping with kind and name")
            return
        if _exceeds_nesting(node, MAX_NESTING):
            self._add_error(file, line, "document", f"at most {MAX_NESTING} levels of nesting")
            return
        if not self._check_unique_keys(node, file):
            return
        try:
            content = yaml.SafeLoader("").construct_document(node)
        except (yaml.YAMLError, ValueError, TypeError) as error:
            self._add_error(file, line, "document", f"plain values ({type(error).__name__})")
            return
        self._check_document(content, node, file)

    def _check_unique_keys(self, node: yaml.Node, file: str) -> bool:
        unique = True
        if isinstance(node, yaml.MappingNode):
            seen: set[str] = set()
            for key, value in node.value:
                if not isinstance(key, yaml.ScalarNode):
                    self._add_error(file, key.start_mark.line + 1, "key", "a plain field name")
                    return False
                if key.value in seen:
                    self._add_error(file, key.start_mark.line + 1, key.value, "a field named once")
                    unique = False
                seen.add(key.value)
                unique = self._check_unique_keys(value, file) and unique
        elif isinstance(node, yaml.SequenceNode):
            for item in node.value:
                unique = self._check_unique_keys(item, file) and unique
        return unique

    def _check_document(self, content: dict[str, Any], node: yaml.MappingNode, file: str) -> None:
        kind = content.get("kind")
        model = KINDS.get(kind) if isinstance(kind, str) else None
        if model is None:
            expected = f"one of {', '.join(KINDS)}"
            self._add_error(file, _line_of(node, ["kind"]), "kind", expected)
            return
        try:
            document = model.model_validate(content)
        except ValidationError as error:
            for detail in error.errors():
                self._add_validation_error(
                    detail["loc"], detail["type"], detail["msg"], model, node, file
                )
            return
        self.documents.append(LocatedDocument(document, file, node))

    def _add_validation_error(
        self,
        path: tuple[str | int, ...],
        error_type: str,
        message: str,
        model: type[Document],
        node: yaml.MappingNode,
        file: str,
    ) -> None:
        field = ".".join(str(step) for step in path)
        expected = message.removeprefix("Value error, ")
        if error_type == "extra_forbidden":
            close = difflib.get_close_matches(str(path[-1]), model.model_fields, n=1)
            hint = f", did you mean {close[0]}?" if close else ""
            expected = f"no such field{hint}"
        self._add_error(file, _line_of(node, path), field, expected)

    def _add_error(self, file: str, line: int, field: str, expected: str) -> None:
        self.errors.append(FieldError(file, line, field, expected))

    def finish(self) -> list[Document]:
        """Check names and references across documents, then return all documents.

        Raises:
            InvalidConfiguration: contains one FieldError for each error found in any file.
        """
        self._check_duplicates()
        self._check_references()
        if self.errors:
            raise InvalidConfiguration("the configuration is not valid", self.errors)
        return [located.document for located in self.documents]

    def _check_duplicates(self) -> None:
        seen: dict[str, LocatedDocument] = {}
        for located in self.documents:
            key = document_key(located.document)
            first = seen.setdefault(key, located)
            if first is not located:
                where = f"{first.file}:{first.line_of('name')}"
                expected = f"a name used once; {key} also stands at {where}"
                self._add_error(located.file, located.line_of("name"), "name", expected)
            self._check_back_end_names(located)

    def _check_back_end_names(self, located: LocatedDocument) -> None:
        field = "samplers" if hasattr(located.document, "samplers") else "back_ends"
        names: set[str] = set()
        for index, back_end in enumerate(getattr(located.document, field, [])):
            if back_end.name in names:
                line = located.line_of(field, index, "name")
                self._add_error(located.file, line, f"{field}.{index}.name", "a name used once")
            names.add(back_end.name)

    def _check_references(self) -> None:
        keys = {document_key(located.document) for located in self.documents}
        for located in self.documents:
            document = located.document
            if isinstance(document, WeightPolicy | Trainer):
                if f"SamplerPool/{document.pool}" not in keys:
                    expected = f"the name of a SamplerPool; there is no {document.pool}"
                    self._add_error(located.file, located.line_of("pool"), "pool", expected)
            if isinstance(document, Limit):
                targets = {f"SamplerPool/{document.target}", f"Service/{document.target}"}
                if not targets & keys:
                    expected = f"a Service or SamplerPool; there is no {document.target}"
                    self._add_error(located.file, located.line_of("target"), "target", expected)


def read_configuration(paths: Iterable[Path]) -> list[Document]:
    """Read and validate all files and folders.

    Raises:
        InvalidConfiguration: contains one FieldError for each error found in any file.
    """
    reader = ConfigurationReader()
    for path in paths:
        reader.read_path(path)
    return reader.finish()
