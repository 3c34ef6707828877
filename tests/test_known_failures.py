"""Only the lines of KNOWN-RED.txt that name a test make its failure expected."""

from __future__ import annotations

from tests.support.known_failures import listed_tests


def test_only_whole_lines_that_name_a_test_are_listed() -> None:
    text = (
        "1. bench, day x: test: no entry\ntest: tests/a.py::test_b\n  test: tests/c.py::test_d\n"
        "intermittent: tests/e.py::test_f\n intermittent: tests/g.py::test_h\n"
    )
    assert listed_tests(text) == {"tests/a.py::test_b": True, "tests/e.py::test_f": False}
