"""Checks that platform details stay within the platform adapter."""

import ast
import pathlib
import re

_PACKAGE = pathlib.Path(__file__).parent.parent.parent / "tanagerspoke"
# The edge program assembles the adapter and the product; stand-ins implement
# the platform's side.
_ALLOWED_IMPORTERS = (
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
            "Api-Key",
            "X-Tenant",
            "api_keys",
            "expected_revision",
            "traffic_split",
            "seq_no",
            "cold_left_s",
            "X-Cold-Ms",
            "evacuate/",
            "max_conns",
        )
    )
)


def _modules_outside_the_adapter() -> list[pathlib.Path]:
    return [
        path
        for path in sorted(_PACKAGE.rglob("*.py"))
        if not str(path.relative_to(_PACKAGE)).startswith(_ALLOWED_IMPORTERS)
    ]


def test_only_programs_and_standins_import_the_adapter() -> None:
    """Guards against product code that depends on the platform."""
    violations = []
    for path in _modules_outside_the_adapter():
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
                violations.append(f"{path.relative_to(_PACKAGE)}:{node.lineno}")
    assert violations == []


def test_wire_names_occur_in_the_adapter_only() -> None:
    """Guards against the platform's wire names in product code."""
    violations = [
        f"{path.relative_to(_PACKAGE)}: {match.group()}"
        for path in _modules_outside_the_adapter()
        for match in _WIRE_NAMES.finditer(path.read_text())
    ]
    assert violations == []
