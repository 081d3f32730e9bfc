"""Builds a deterministic sample value of a message type from its field types."""

import dataclasses
import enum
import types
import typing

import msgspec

MAX_DEPTH = 6


def sample(kind, seed=1, depth=0):
    """Return a sample value of the type `kind`.

    Equal arguments give equal values. Adjacent fields get different numbers, texts and bytes, so
    that their values can be told apart in the encoding.
    """
    origin, args = typing.get_origin(kind), typing.get_args(kind)
    if kind is typing.Any or kind is object:
        return f"any-{seed}"
    if kind is type(None):
        return None
    if origin is typing.Annotated:
        return sample(args[0], seed, depth)
    if origin is typing.Literal:
        return args[0]
    if origin in (typing.Union, types.UnionType):
        non_none_args = [arg for arg in args if arg is not type(None)]
        return sample(non_none_args[0], seed, depth)
    if origin in (list, set, frozenset):
        return origin([sample(args[0], seed, depth + 1), sample(args[0], seed + 1, depth + 1)])
    if origin is tuple:
        members = [args[0], args[0]] if len(args) == 2 and args[1] is Ellipsis else args
        return tuple(sample(arg, seed + at, depth + 1) for at, arg in enumerate(members))
    if origin is dict:
        return {sample(args[0], seed, depth + 1): sample(args[1], seed, depth + 1)}
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return struct_sample(kind, depth)
    if dataclasses.is_dataclass(kind):
        hints = typing.get_type_hints(kind)
        return kind(**{name: sample(hints[name], at + 1, depth) for at, name in enumerate(hints)})
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return list(kind)[-1]
    return {
        bool: True,
        int: 300 + seed,
        float: seed + 0.25,
        str: f"text-{seed}",
        bytes: b"bytes-%d" % seed,
    }[kind]


def struct_sample(kind, depth=0):
    """Return a struct with every field set explicitly, so that no default hides a field."""
    assert depth < MAX_DEPTH, kind
    fields = msgspec.structs.fields(kind)
    return kind(
        **{field.name: sample(field.type, at + 1, depth + 1) for at, field in enumerate(fields)}
    )
