"""The adapter's borders: who imports it, and where its words stand."""

import ast
import pathlib
import re

_PACKAGE = pathlib.Path(__file__).parent.parent.parent / "tanagerspoke"
# Programs and stand-ins join the product with the platform.
_IMPORTERS = (
    "platform",
    "commands/edge.py",
    "standins/metadata_store.py",
    "standins/routed_worker.py",
)
_WIRE_NAMES = re.compile(
    "|".join(
        (
            "X-Attempt-Id",
            "X-Deadline-Ms",
            "X-Expect-Instance",
            "X-Response-Signature",
            "X-Not-Executed",
            "X-Server-Load",
            "X-Instance-Id",
            "expected_revision",
            "traffic_split",
            "seq_no",
            "cold_left_s",
            "max_conns",
        )
    )
)


def _outside() -> list[pathlib.Path]:
    return [
        path
        for path in sorted(_PACKAGE.rglob("*.py"))
        if not str(path.relative_to(_PACKAGE)).startswith(_IMPORTERS)
    ]


def test_only_the_program_imports_the_adapter() -> None:
    """Guards against decisions that depend on the platform."""
    found = []
    for path in _outside():
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.ImportFrom)
                and node.module is not None
                and (
                    node.module.startswith("tanagerspoke.platform")
                    or (
                        node.module == "tanagerspoke"
                        and any(a.name == "platform" for a in node.names)
                    )
                )
            ):
                found.append(f"{path.relative_to(_PACKAGE)}:{node.lineno}")
    assert found == []


def test_wire_names_stand_in_the_adapter_only() -> None:
    """Guards against the platform's words in the product."""
    found = [
        f"{path.relative_to(_PACKAGE)}: {match.group()}"
        for path in _outside()
        for match in _WIRE_NAMES.finditer(path.read_text())
    ]
    assert found == []
