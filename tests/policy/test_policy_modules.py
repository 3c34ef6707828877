"""Size, imports and docstrings of the policy modules, and their list in the deploy file."""

import ast
from graphlib import TopologicalSorter
from pathlib import Path

import pytest

POLICY = Path(__file__).parent.parent.parent / "load_balancer" / "policy"
MODULES = sorted(POLICY.glob("*.py"))
ALLOWED_IMPORTS = {
    "__future__",
    "bisect",
    "collections.abc",
    "dataclasses",
    "enum",
    "load_balancer",
    "math",
    "operator",
    "random",
    "typing",
}


def imported_modules(path: Path) -> set[str]:
    names = set[str]()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names.add(node.module or "")
    return names


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.name)
def test_module_size_is_limited(path: Path) -> None:
    lines = path.read_text().splitlines()
    assert len(lines) <= 400
    assert max(len(line) for line in lines) <= 110


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.name)
def test_module_imports_no_clock_and_no_io(path: Path) -> None:
    outside_imports = {
        name for name in imported_modules(path) if not name.startswith("load_balancer.policy.")
    }
    assert outside_imports <= ALLOWED_IMPORTS


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.name)
def test_module_has_a_docstring(path: Path) -> None:
    assert ast.get_docstring(ast.parse(path.read_text()))


def test_imports_have_no_cycle_and_none_is_for_type_checking_only() -> None:
    imports = {
        f"load_balancer.policy.{path.stem}": {
            name for name in imported_modules(path) if name.startswith("load_balancer.policy.")
        }
        for path in MODULES
    }
    assert not any("TYPE_CHECKING" in path.read_text() for path in MODULES)
    list(TopologicalSorter(imports).static_order())  # raises CycleError if the imports have a cycle


def test_deploy_file_names_every_policy_module() -> None:
    deploy_text = (POLICY.parent.parent / "deploy" / "balancer.toml").read_text()
    assert all(f'"load_balancer/policy/{path.name}"' in deploy_text for path in MODULES)
