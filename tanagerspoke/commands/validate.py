"""The subcommand `tanagerspokectl validate`."""

import pathlib

from tanagerspoke import exceptions
from tanagerspoke.commands import declaration_files
from tanagerspoke.commands import program


def validate(*directories: pathlib.Path) -> None:
    """Checks the declarations of one or more directories.

    Args:
        directories: directories of JSON declarations.
    """
    try:
        files = declaration_files.read_directories(directories)
    except exceptions.DeclarationError as exc:
        print(exc)
        raise SystemExit(program.EXIT_INVALID) from exc
    print(f"{len(files)} declarations are valid")
