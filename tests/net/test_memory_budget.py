"""The memory budget is the exact sum of the charges of all owners."""

from __future__ import annotations

import random

import pytest

from load_balancer.net.memory_budget import MemoryAccount, MemoryBudget, MemoryLimits, MemoryOwner

LIMITS = MemoryLimits(requests_bytes=1000, responses_bytes=500)


def test_account_replaces_its_charge() -> None:
    budget = MemoryBudget(LIMITS)
    account = MemoryAccount(budget, MemoryOwner.REQUESTS)
    account.set(300)
    account.set(100)
    assert budget.charged_bytes[MemoryOwner.REQUESTS] == 100
    assert budget.peak_bytes[MemoryOwner.REQUESTS] == 300
    assert (budget.free_request_bytes, budget.free_response_bytes) == (900, 500)


def test_unsent_bytes_count_towards_the_limit_of_their_side() -> None:
    budget = MemoryBudget(LIMITS)
    budget.change(MemoryOwner.UNSENT_REQUESTS, 10)
    budget.change(MemoryOwner.UNSENT_RESPONSES, 20)
    budget.change(MemoryOwner.CLIENT_CONNECTIONS, 40)
    assert (budget.free_request_bytes, budget.free_response_bytes) == (990, 480)


def test_description_names_each_owner_with_its_charge_and_peak() -> None:
    budget = MemoryBudget(LIMITS)
    budget.change(MemoryOwner.RESPONSES, 4096)
    budget.change(MemoryOwner.RESPONSES, -1024)
    assert "responses 3 (peak 4)" in budget.describe()
    assert all(owner.value in budget.describe() for owner in MemoryOwner)


@pytest.mark.parametrize("seed", range(10))
def test_sum_is_zero_after_all_accounts_are_released(seed: int) -> None:
    rng, budget = random.Random(seed), MemoryBudget(LIMITS)
    accounts = [MemoryAccount(budget, rng.choice(list(MemoryOwner))) for _ in range(20)]
    for _ in range(500):
        rng.choice(accounts).set(rng.randrange(1000))
    assert sum(budget.charged_bytes.values()) == sum(account.charged_bytes for account in accounts)
    for account in accounts:
        account.set(0)
    assert not any(budget.charged_bytes.values())
