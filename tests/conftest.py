"""What pytest offers to every test: the bound in real time on asynchronous tests."""

from __future__ import annotations

import inspect
from collections.abc import Generator

import pytest

from tests.support.time_limit import limited


@pytest.hookimpl(wrapper=True)
def pytest_runtest_call(item: pytest.Item) -> Generator[None, None, None]:
    """Bound the real time of each asynchronous test."""
    if isinstance(item, pytest.Function) and inspect.iscoroutinefunction(item.obj):
        item.obj = limited(item.obj)
    return (yield)
