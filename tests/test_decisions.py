"""Decisions stay in the decision module: no other module of the proxy makes an action of its interface."""

import ast
from collections.abc import Iterator
from pathlib import Path
from typing import get_args

from flintlatch import api

PACKAGE = Path(api.__file__).parent
ACTIONS = {action.__name__ for action in get_args(api.Action)}


def decides(path: Path) -> bool:
    return path.name == "choice.py" or "policy" in path.stem


def actions_made(tree: ast.Module) -> Iterator[int]:
    """Lines that construct an action that was imported from `flintlatch.api`."""
    names: set[str] = set()
    modules: set[str] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and node.module == "flintlatch.api":
            names |= {alias.asname or alias.name for alias in node.names if alias.name in ACTIONS}
        if isinstance(node, ast.ImportFrom) and node.module == "flintlatch":
            modules |= {alias.asname or alias.name for alias in node.names if alias.name == "api"}
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call):
            continue
        match node.func:
            case ast.Name(id=name) if name in names:
                yield node.lineno
            case ast.Attribute(value=ast.Name(id=module), attr=name) if module in modules and name in ACTIONS:
                yield node.lineno


def test_only_the_decision_module_makes_actions() -> None:
    found = [
        f"{path.relative_to(PACKAGE)}:{line}"
        for path in sorted(PACKAGE.rglob("*.py"))
        if not decides(path)
        for line in actions_made(ast.parse(path.read_text()))
    ]
    assert found == []


def test_the_decision_module_is_seen_making_them() -> None:
    assert len(list(actions_made(ast.parse((PACKAGE / "choice.py").read_text())))) > len(ACTIONS)


def test_an_action_made_elsewhere_is_found() -> None:
    text = (
        "from flintlatch import api\nfrom flintlatch.api import Send as S\nS('r', 's', 1.0)\napi.Fail('r')\n"
    )
    assert list(actions_made(ast.parse(text))) == [3, 4]
