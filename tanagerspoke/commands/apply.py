"""The subcommand `tanagerspokectl apply`."""

import pathlib
import uuid

from tanagerspoke import exceptions
from tanagerspoke.commands import declared
from tanagerspoke.commands import program
from tanagerspoke.protocol import agent
from tanagerspoke.protocol import platform
from tanagerspoke.settings import options
from tanagerspoke.state import revisions
from tanagerspoke.transport import platform_client


def apply(*directories: pathlib.Path, settings: pathlib.Path) -> None:
    """Commits the declarations of one or more directories.

    Args:
        directories: directories of JSON declarations.
        settings: JSON settings file.
    """
    cfg = program.load_settings(path=settings, option_type=options.Ctl)
    revision = program.run_once(
        name="tanagerspokectl",
        log_level=cfg.log_level,
        job=_apply(cfg, directories),
    )
    print(f"revision {revision} is committed")


async def _apply(
    cfg: options.Ctl, directories: tuple[pathlib.Path, ...]
) -> int:
    items = declared.read_directories(directories)
    client = platform_client.PlatformClient(
        endpoint=cfg.platform, timeout_s=cfg.timeout_s
    )
    await client.start()
    try:
        return await _commit(client, cfg.author, items)
    finally:
        await client.close()


async def _commit(
    client: platform_client.PlatformClient,
    author: str,
    items: tuple[agent.Item, ...],
) -> int:
    row = await client.get(revisions.HEAD_KEY)
    base = 0 if row is None else revisions.decode_head(row.value).revision
    condition = (
        platform.Absent()
        if row is None
        else platform.VersionIs(version=row.version)
    )
    head = revisions.Head(
        revision=base + 1, change_id=uuid.uuid4().hex, author=author
    )
    operations = [
        _put(revisions.HEAD_KEY, condition, head),
        _put(
            revisions.log_key(head.revision),
            platform.Absent(),
            revisions.Change(
                revision=head.revision,
                change_id=head.change_id,
                author=author,
                items=items,
            ),
        ),
    ]
    operations.extend(
        _put(
            revisions.item_key(item),
            platform.Always(),
            revisions.StoredItem(revision=head.revision, item=item),
        )
        for item in items
    )
    reply = await client.transact(
        platform.Transaction(operations=tuple(operations))
    )
    if isinstance(reply, platform.Rejected):
        raise exceptions.PlatformError(
            "another operator committed a change at the same moment"
        )
    return head.revision


def _put(
    key: str,
    condition: platform.Condition,
    message: revisions.Head | revisions.StoredItem | revisions.Change,
) -> platform.Operation:
    return platform.Operation(
        key=key,
        condition=condition,
        write=platform.Put(value=revisions.encode(message)),
    )
