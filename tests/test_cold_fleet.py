"""Cold backends under what many balancers send."""

from __future__ import annotations

import pytest

from snowvalve import interface as i
from snowvalve.decide import Server
from tests.helpers import Hand, settings


def test_a_call_looks_at_no_more_backends_than_its_subset(monkeypatch: pytest.MonkeyPatch) -> None:
    """With all of 880 backends cold, each call looked at all of them for each one in its subset."""
    looks = 0
    capacity = Server.capacity

    def counted(server: Server, now: int, rules: i.Rules) -> float:
        nonlocal looks
        looks += 1
        return capacity(server, now, rules)

    hand = Hand(settings(instances=880), backends=0)
    hand.news(*(i.Backend(n, since_us=hand.now) for n in range(880)))
    monkeypatch.setattr(Server, "capacity", counted)
    hand.request("r")
    assert 0 < looks <= 2 * len(hand.balancer.subset)
