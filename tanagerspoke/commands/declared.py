"""Reads the declarations of a directory for the operator's commands."""

import json
import pathlib

import pydantic

from tanagerspoke import exceptions
from tanagerspoke.protocol import agent
from tanagerspoke.settings import options
from tanagerspoke.state import declarations


def read_directories(
    directories: tuple[pathlib.Path, ...],
) -> tuple[agent.Item, ...]:
    """Returns every declaration below the directories.

    Raises:
        DeclarationError: with every error of every file.
    """
    items = []
    errors = []
    for path in _files(directories):
        try:
            items.append(_read(path))
        except pydantic.ValidationError as exc:
            errors.append(options.describe_errors(where=str(path), exc=exc))
    if errors:
        raise exceptions.DeclarationError("\n".join(errors))
    return tuple(items)


def _read(path: pathlib.Path) -> agent.Item:
    text = path.read_text()
    declaration = declarations.parse(text)
    return agent.Item(
        kind=declaration.kind,
        name=declaration.name,
        body=json.dumps(json.loads(text), separators=(",", ":")),
    )


def _files(directories: tuple[pathlib.Path, ...]) -> list[pathlib.Path]:
    return [
        path
        for directory in directories
        for path in sorted(directory.rglob("*.json"))
    ]
