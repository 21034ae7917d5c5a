"""Shared parts of the subcommands of `tanagerspokectl`."""

from collections.abc import Awaitable, Callable, Iterable
import pathlib
import sys
from typing import TypeVar

from tanagerspoke.commands import changes
from tanagerspoke.commands import commits
from tanagerspoke.commands import declaration_files
from tanagerspoke.commands import lock_file
from tanagerspoke.commands import program
from tanagerspoke.settings import options
from tanagerspoke.transport.store import platform_client

T = TypeVar("T")


def run_with_platform(
    *,
    settings: pathlib.Path,
    job: Callable[[options.Ctl, platform_client.PlatformClient], Awaitable[T]],
) -> T:
    """Runs a job with the settings and a connected platform client."""
    cfg = program.load_settings(path=settings, option_type=options.Ctl)

    async def run_connected() -> T:
        client = platform_client.PlatformClient(
            endpoint=cfg.platform, timeout_s=cfg.timeout_s
        )
        await client.start()
        try:
            return await job(cfg, client)
        finally:
            await client.close()

    return program.run_command(
        name="tanagerspokectl", log_level=cfg.log_level, job=run_connected()
    )


class Workspace:
    """Directories of declarations and their lock files.

    Raises:
        DeclarationError: lists the errors of all files.
    """

    def __init__(self, *, directories: Iterable[pathlib.Path]) -> None:
        self._directories = tuple(directories)
        # A template may exist in the table only;
        # `changes.check_declarations` takes that into account.
        self._declaration_files = declaration_files.read_directories(
            self._directories, complete=False
        )
        self._lock_files = {
            path: lock_file.read(path) for path in self._directories
        }

    def desired_state(self, *, prune: bool) -> changes.DesiredState:
        """Returns the state that the directories declare.

        Pruning deletes only items that are in a lock file and are not
        declared, so items of other directories stay in the table. If the
        lock files have different origins, their revisions are ignored.
        """
        items = {
            changes.qualified_name(file.item): file.item
            for file in self._declaration_files
        }
        origins = {lock.origin for lock in self._lock_files.values()}
        origin = origins.pop() if len(origins) == 1 else ""
        seen_revisions: dict[str, int] = {}
        for lock in self._lock_files.values():
            seen_revisions.update(lock.items if lock.origin == origin else {})
        return changes.DesiredState(
            items=items,
            pruned=frozenset(set(seen_revisions) - set(items))
            if prune
            else frozenset(),
            seen_revisions=seen_revisions,
            origin=origin,
        )

    def update_lock_files(
        self, outcome: commits.Outcome, *, prune: bool
    ) -> None:
        """Writes the revisions of the outcome to the lock files.

        A write error is only printed, since a commit cannot be undone.
        """
        for directory, lock in self._lock_files.items():
            items = dict(lock.items)
            if prune or lock.origin != outcome.origin:
                items = {}
            for file in self._declaration_files:
                name = changes.qualified_name(file.item)
                if file.directory == directory:
                    items[name] = outcome.items.get(name, 0)
            items = {
                name: outcome.items.get(name, revision)
                for name, revision in items.items()
                if name in outcome.items or revision
            }
            self._write_lock_file(
                directory,
                lock_file.LockFile(origin=outcome.origin, items=items),
            )

    def _write_lock_file(
        self, directory: pathlib.Path, lock: lock_file.LockFile
    ) -> None:
        try:
            lock_file.write(directory, lock)
        except OSError as exc:
            print(
                f"{directory / lock_file.FILE_NAME} was not written: {exc}; "
                "the next apply will report conflicts",
                file=sys.stderr,
            )
