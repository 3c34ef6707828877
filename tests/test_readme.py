"""The examples in the README work as shown."""

from __future__ import annotations

import json
import re
from pathlib import Path

import pytest

from load_balancer.process.config import read_config

README = (Path(__file__).parent.parent / "README.md").read_text()


def test_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    [code] = re.findall(r"```python\n(.*?)```", README, re.S)
    exec(compile(code, "README.md", "exec"), {})
    assert capsys.readouterr().out == "the fast one got more: True\n"


def test_quick_start_configuration_is_accepted() -> None:
    [text] = re.findall(r"```json\n(.*?)```", README, re.S)
    config = read_config(json.loads(text))
    assert config.listen == ("127.0.0.1", 8080)
    assert [request_class.name for request_class in config.settings.classes] == ["read"]
    assert config.cached_list is not None
    assert len(config.cached_list.addresses) == 2
