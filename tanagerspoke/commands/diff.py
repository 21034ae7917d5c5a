"""The subcommand `tanagerspokectl diff`."""

import pathlib

from tanagerspoke.commands import changes
from tanagerspoke.commands import commits
from tanagerspoke.commands import ctl_command
from tanagerspoke.commands import program
from tanagerspoke.settings import options
from tanagerspoke.transport.store import platform_client


def diff(
    *directories: pathlib.Path,
    settings: pathlib.Path,
    prune: bool = False,
    mark_seen: bool = False,
) -> None:
    """Shows what `apply` would change.

    Without `--mark-seen`, exits with 3 if another operator changed an item
    that `apply` would change.

    Args:
        directories: directories of JSON declarations.
        settings: JSON settings file.
        prune: also show the deletions of `apply --prune`.
        mark_seen: record the table's revisions in the lock files; for use
            after the table's items were merged into the declarations.
    """

    async def job(
        cfg: options.Ctl, client: platform_client.PlatformClient
    ) -> bool:
        del cfg
        workspace = ctl_command.Workspace(directories=directories)
        desired = workspace.desired_state(prune=prune)
        state = await commits.read_state(client)
        item_changes = changes.find_changes(state=state, desired=desired)
        for change in item_changes:
            label = " CONFLICT" if change.conflict else ""
            print(f"{_action(change)} {change.name}{label}")
            print(changes.format_diff(change))
        changes.check_declarations(state=state, changes=item_changes)
        if mark_seen:
            workspace.update_lock_files(
                commits.unchanged_outcome(state, desired), prune=False
            )
        return any(change.conflict for change in item_changes) and not mark_seen

    if ctl_command.run_with_platform(settings=settings, job=job):
        raise SystemExit(program.EXIT_CONFLICT)


def _action(change: changes.ItemChange) -> str:
    if change.before is None:
        return "add"
    return "delete" if change.after is None else "change"
