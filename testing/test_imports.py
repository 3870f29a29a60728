"""Import dependencies between the modules."""

from __future__ import annotations

import ast
from graphlib import TopologicalSorter
from pathlib import Path

SOURCES = Path(__file__).resolve().parent.parent / "src"


def test_imports_have_no_cycles() -> None:
    paths = {_module(path): path for path in SOURCES.rglob("*.py")}
    graph = {name: _imports(path) & paths.keys() for name, path in paths.items()}
    order = list(TopologicalSorter(graph).static_order())
    assert len(order) == len(paths) > 200


def _module(path: Path) -> str:
    return ".".join(path.relative_to(SOURCES).with_suffix("").parts).removesuffix(".__init__")


def _imports(path: Path) -> set[str]:
    """Return the modules that a file imports from, including those under TYPE_CHECKING."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    return {
        node.module for node in ast.walk(tree) if isinstance(node, ast.ImportFrom) and node.module
    }
