"""Lock files, which record the item revisions that an operator saw last."""

import pathlib

import msgspec

from tanagerspoke import exceptions

FILE_NAME = "tanagerspoke.lock.json"


class LockFile(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Content of the lock file.

    Attributes:
        origin: the table that the revisions belong to, see
            `revisions.Head.origin`.
        items: last seen revision of each item, by `kind/name`.
    """

    origin: str = ""
    items: dict[str, int] = {}


def read(directory: pathlib.Path) -> LockFile:
    """Returns the lock file of a directory; an empty one if it has none.

    Raises:
        DeclarationError: the file is unreadable or malformed.
    """
    path = directory / FILE_NAME
    try:
        return msgspec.json.decode(path.read_bytes(), type=LockFile)
    except FileNotFoundError:
        return LockFile()
    except (OSError, msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise exceptions.DeclarationError(
            f"{path}: {exc}; restore the file from version control"
        ) from exc


def write(directory: pathlib.Path, lock: LockFile) -> None:
    """Replaces the lock file atomically.

    Raises:
        OSError: the file cannot be written.
    """
    path = directory / FILE_NAME
    temporary = directory / f".{FILE_NAME}.new"
    sorted_lock = LockFile(
        origin=lock.origin, items=dict(sorted(lock.items.items()))
    )
    text = msgspec.json.format(msgspec.json.encode(sorted_lock), indent=2)
    temporary.write_bytes(text + b"\n")
    temporary.replace(path)
