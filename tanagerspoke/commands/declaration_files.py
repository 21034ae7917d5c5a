"""Reads directories of JSON declarations."""

from collections.abc import Iterable
import dataclasses
import json
import pathlib
from typing import Any

import pydantic

from tanagerspoke import exceptions
from tanagerspoke.commands import lock_file
from tanagerspoke.protocol import agent
from tanagerspoke.settings import options
from tanagerspoke.state import declarations


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DeclarationFile:
    """A parsed declaration file.

    Attributes:
        directory: directory that was searched; the file may be in a
            subdirectory.
        path: path of the file.
        item: item to commit; its body is normalized JSON.
        located: declaration with its path, for error messages.
    """

    directory: pathlib.Path
    path: pathlib.Path
    item: agent.ConfigItem
    located: declarations.LocatedDeclaration


def read_directories(
    directories: Iterable[pathlib.Path], *, complete: bool = True
) -> tuple[DeclarationFile, ...]:
    """Returns every declaration below the directories.

    Args:
        directories: directories that are searched recursively.
        complete: whether every template that is used must be declared in
            the directories.

    Raises:
        DeclarationError: lists the errors of all files.
    """
    files = []
    errors = []
    for directory in directories:
        paths = _list_files(directory)
        if not paths:
            errors.append(f"{directory}: contains no declaration (*.json)")
        for path in paths:
            try:
                files.append(_read_file(directory, path))
            except exceptions.DeclarationError as exc:
                errors.append(str(exc))
    errors.extend(
        declarations.check((file.located for file in files), complete=complete)
    )
    if errors:
        raise exceptions.DeclarationError("\n".join(errors))
    return tuple(files)


def _read_file(directory: pathlib.Path, path: pathlib.Path) -> DeclarationFile:
    try:
        text = path.read_text(encoding="utf-8")
        content = json.loads(text, object_pairs_hook=_reject_repeated_members)
        declaration = declarations.parse(text)
    except pydantic.ValidationError as exc:
        raise exceptions.DeclarationError(
            options.describe_errors(source=str(path), exc=exc)
        ) from exc
    except (OSError, ValueError, RecursionError) as exc:
        raise exceptions.DeclarationError(f"{path}: {exc}") from exc
    return DeclarationFile(
        directory=directory,
        path=path,
        item=agent.ConfigItem(
            kind=declaration.kind,
            name=declaration.name,
            body=json.dumps(content, separators=(",", ":"), sort_keys=True),
        ),
        located=declarations.LocatedDeclaration(
            source=str(path), declaration=declaration
        ),
    )


def _reject_repeated_members(members: list[tuple[str, Any]]) -> dict[str, Any]:
    content = dict(members)
    if len(content) < len(members):
        names = [name for name, _ in members]
        repeated = sorted({name for name in names if names.count(name) > 1})
        raise ValueError(f"members {repeated} are repeated; keep one of each")
    return content


def _list_files(directory: pathlib.Path) -> list[pathlib.Path]:
    return sorted(
        path
        for path in directory.rglob("*.json")
        if path.name != lock_file.FILE_NAME
    )
