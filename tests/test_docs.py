"""Links in the pages have targets, and the files, modules and names in them exist."""

from __future__ import annotations

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "load_balancer"
PAGES = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])

LINK = re.compile(r"\]\((?!https?:)([^)#\s]*)(?:#([^)\s]*))?\)")
FILE = re.compile(r"`((?:load_balancer|tests|benchmarks|docs|deploy|journal|\.ci)/[^`\s]*)`")
MODULE = re.compile(r"`((?:process|net|policy|messages)/[a-z_/]*)(?:\.([A-Za-z_.]+))?`")


# Pages that describe the present program. Incidents and measurements keep the names of their time.
DESCRIPTIONS = [
    ROOT / name
    for name in (
        "README.md",
        "CONTRIBUTING.md",
        "docs/architecture.md",
        "docs/design.md",
        "docs/glossary.md",
        "docs/open.md",
    )
]
CLASS_NAME = re.compile(r"\b[A-Z][a-z]+(?:[A-Z][a-z]+)+\b")
CODE = re.compile(r"```mermaid\n.*?```|`[^`\n]+`", re.S)


def page_id(page: Path) -> str:
    return str(page.relative_to(ROOT))


def anchor(heading: str) -> str:
    """Return the anchor that Markdown viewers generate for a heading."""
    return re.sub(r"[^\w\- ]", "", heading.lower()).strip().replace(" ", "-")


def anchors(page: Path) -> set[str]:
    return {anchor(heading) for heading in re.findall(r"^#+ (.*)$", page.read_text(), re.M)}


def defined_names(module: Path) -> set[str]:
    """Return the names that a module defines: `function`, `CONSTANT`, `Class` and `Class.method`."""
    names: set[str] = set()
    for node in ast.parse(module.read_text()).body:
        if isinstance(node, ast.Assign):
            names.update(target.id for target in node.targets if isinstance(target, ast.Name))
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            names.add(node.name)
        if isinstance(node, ast.ClassDef):
            names.add(node.name)
            methods = [part for part in node.body if isinstance(part, ast.FunctionDef | ast.AsyncFunctionDef)]
            names.update(f"{node.name}.{method.name}" for method in methods)
    return names


def is_broken(page: Path, path: str, fragment: str) -> bool:
    target = (page.parent / path).resolve() if path else page
    return not target.exists() or bool(fragment and fragment not in anchors(target))


def is_defined(path: str, name: str) -> bool:
    """Return whether the module or package exists and, if a name is given, the module defines it."""
    module = PACKAGE / f"{path.rstrip('/')}.py"
    if name:
        return module.exists() and name in defined_names(module)
    return module.exists() or (PACKAGE / path).is_dir()


def test_links_lead_to_existing_pages_and_headings() -> None:
    broken = [
        (page_id(page), path, fragment)
        for page in PAGES
        for path, fragment in LINK.findall(page.read_text())
        if is_broken(page, path, fragment)
    ]
    assert broken == []


def test_files_named_in_pages_exist() -> None:
    missing = [
        (page_id(page), name)
        for page in PAGES
        for name in FILE.findall(page.read_text())
        if not (ROOT / name).exists()
    ]
    assert missing == []


def test_modules_and_names_in_pages_exist() -> None:
    missing = [
        (page_id(page), path, name)
        for page in PAGES
        for path, name in MODULE.findall(page.read_text())
        if not is_defined(path, name)
    ]
    assert missing == []


def test_classes_named_in_descriptions_exist() -> None:
    classes = {name for module in PACKAGE.rglob("*.py") for name in defined_names(module)}
    missing = [
        (page_id(page), name)
        for page in DESCRIPTIONS
        for code in CODE.findall(page.read_text())
        for name in CLASS_NAME.findall(code)
        if name not in classes
    ]
    assert missing == []


def test_every_module_is_on_the_architecture_page() -> None:
    page = (ROOT / "docs/architecture.md").read_text()
    modules = [path.relative_to(PACKAGE).with_suffix("") for path in PACKAGE.rglob("*.py")]
    missing = [str(module) for module in modules if module.name != "__init__" and str(module) not in page]
    assert missing == []


def test_every_incident_is_in_the_index() -> None:
    incidents = {page.name for page in ROOT.glob("docs/incidents/*.md")} - {"README.md"}
    index = (ROOT / "docs/incidents/README.md").read_text()
    assert {path for path, _ in LINK.findall(index) if "/" not in path} == incidents
