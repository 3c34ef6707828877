"""The simulator adapter, started by the command of the deploy file and driven over pipes."""

from __future__ import annotations

import json
import os
import random
import subprocess
from typing import Any

import pytest

from load_balancer import messages
from load_balancer.messages import Rules, Settings
from load_balancer.settings import read_settings
from load_balancer.simulator import EVENT_READERS, encode_action, read_request
from tests.support.proxy_process import ROOT, deploy_command, raw_settings
from tests.support.units import SECOND_US


def run_adapter(text: str, hash_seed: int = 0) -> subprocess.CompletedProcess[str]:
    """Run the adapter on this input and return the completed process."""
    env = {**os.environ, "PYTHONHASHSEED": str(hash_seed)}
    return subprocess.run(
        deploy_command("sim"),
        input=text,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env=env,
        check=False,
        timeout=60,
    )


def start_events(seed: int = 5, **changes: Any) -> list[dict[str, Any]]:
    """Return the events that configure an instance and send it a list of six endpoints.

    Args:
        seed: The seed of the instance.
        changes: Settings that replace the usual ones.
    """
    rows = [
        {"backend": number, "condition": "IN", "campus": "z", "bay": number % 2, "sinceUs": None}
        for number in range(6)
    ]
    return [
        {"msg": "CONFIGURE", "rngSeed": seed, "settings": raw_settings(**changes)},
        {"msg": "MANIFEST", "bank": 0, "rows": rows},
        {"msg": "ANNOUNCE", "form": "remembered", "epoch": 1, "bank": 0},
    ]


def request_event(request_id: str, class_name: str = "read") -> dict[str, Any]:
    """Return a request event with 5 s of time remaining and a field that is unknown to the adapter."""
    return {
        "msg": "REQ",
        "msgId": request_id,
        "profile": class_name,
        "patienceLeftUs": 5 * SECOND_US,
        "unheardOf": 1,
    }


def batch(number: int, events_by_instance: dict[int, list[dict[str, Any]]], at_us: int) -> dict[str, Any]:
    """Return a batch of events in the simulator's format."""
    groups = [{"proxy": instance, "events": events} for instance, events in events_by_instance.items()]
    return {"tUs": at_us, "n": number, "proxys": groups}


def random_requests(instance: int, batch_number: int) -> list[dict[str, Any]]:
    """Return up to three request events, determined by the instance and the batch number."""
    rng = random.Random(instance * 1000 + batch_number)
    return [
        request_event(f"q{instance}_{batch_number}_{number}", rng.choice(("read", "pay")))
        for number in range(rng.randrange(4))
    ]


def random_batches(instances: range, count: int = 60) -> list[dict[str, Any]]:
    """Return `count` batches, of which the first one configures the instances."""
    starts = {instance: start_events(seed=instance) for instance in instances}
    batches = [batch(0, starts, SECOND_US)]
    for number in range(1, count):
        events = {instance: random_requests(instance, number) for instance in instances}
        batches.append(batch(number, events, SECOND_US + number * 5000))
    return batches


def replies_to(batches: list[dict[str, Any]], hash_seed: int = 0) -> list[dict[str, Any]]:
    """Return the adapter's replies to these batches, which must be valid."""
    completed = run_adapter("".join(json.dumps(message) + "\n" for message in batches), hash_seed)
    assert completed.returncode == 0, completed.stderr
    return [json.loads(line) for line in completed.stdout.splitlines()]


def decisions_in(reply: dict[str, Any]) -> list[dict[str, Any]]:
    """Return the decisions of all instances in a reply."""
    return [decision for group in reply["proxys"] for decision in group["decisions"]]


def decisions_of(instance: int, replies: list[dict[str, Any]]) -> list[Any]:
    """Return the decisions of one instance in each of the replies."""
    return [
        [group["decisions"] for group in reply["proxys"] if group["proxy"] == instance] for reply in replies
    ]


def test_simulator_adapter_starts_replies_and_exits() -> None:
    replies = replies_to(random_batches(range(2)))
    assert [reply["n"] for reply in replies] == list(range(60))
    message_names = {decision["msg"] for reply in replies for decision in decisions_in(reply)}
    assert {"TAIL", "CALL_OUT", "AFTER"} <= message_names


def test_empty_input_and_empty_batch() -> None:
    assert run_adapter("").returncode == 0
    assert replies_to([{"tUs": 1, "n": 3, "proxys": []}]) == [{"n": 3, "proxys": []}]


def test_same_events_give_the_same_actions_for_any_hash_seed() -> None:
    batches = random_batches(range(3))
    assert replies_to(batches, hash_seed=1) == replies_to(batches, hash_seed=2)


def test_instances_act_the_same_in_one_process_and_in_several() -> None:
    together = replies_to(random_batches(range(3)))
    for instance in range(3):
        alone = replies_to(random_batches(range(instance, instance + 1)))
        assert decisions_of(instance, alone) == decisions_of(instance, together)


def batch_line(*events: Any) -> str:
    """Return a batch with these events of one instance, encoded as a line."""
    return json.dumps(batch(0, {0: list(events)}, SECOND_US))


def without_field(fields: dict[str, Any], name: str) -> dict[str, Any]:
    """Return the fields without the one of this name."""
    return {other: value for other, value in fields.items() if other != name}


ENDPOINT_ROW = {"backend": 1, "condition": "IN"}
ATTEMPT_END = {
    "msg": "ATTEMPT_END",
    "msgId": "r",
    "attempt": 0,
    "backend": 1,
    "ending": 10,
    "rttUs": 9,
    "last": True,
}
INVALID_LINES = {
    "not JSON": ("{", "not JSON"),
    "plain text": ("nonsense", "not JSON"),
    "an array": ("[1]", "not a JSON object"),
    "a number": ("3", "not a JSON object"),
    "no time": ('{"n":1,"proxys":[]}', "tUs"),
    "no number": ('{"tUs":1,"proxys":[]}', "required field n"),
    "no groups": ('{"tUs":1,"n":1}', "proxys"),
    "groups not an array": ('{"tUs":1,"n":1,"proxys":7}', "proxys"),
    "group not an object": ('{"tUs":1,"n":1,"proxys":[5]}', "proxys[0].proxy"),
    "no events": ('{"tUs":1,"n":1,"proxys":[{"proxy":1}]}', "proxys[0].events"),
    "no msg": (batch_line({"msgId": "r"}), "msg"),
    "list never sent": (
        batch_line(*start_events()[:1], {"msg": "ANNOUNCE", "form": "all", "bank": 9}),
        "ANNOUNCE.bank",
    ),
    "unknown form": (
        batch_line(*start_events()[:1], {"msg": "ANNOUNCE", "form": "odd", "bank": 0}),
        "ANNOUNCE.form",
    ),
    "row without id": (
        batch_line(
            {"msg": "MANIFEST", "bank": 0, "rows": [ENDPOINT_ROW, without_field(ENDPOINT_ROW, "backend")]}
        ),
        "MANIFEST.rows[1].backend",
    ),
    "row in unknown condition": (
        batch_line({"msg": "MANIFEST", "bank": 0, "rows": [{**ENDPOINT_ROW, "condition": "ODD"}]}),
        "MANIFEST.rows[0].condition",
    ),
    "request without class": (
        batch_line(*start_events(), without_field(request_event("r"), "profile")),
        "REQ.profile",
    ),
    "time remaining as text": (
        batch_line(*start_events(), {**request_event("r"), "patienceLeftUs": "5"}),
        "REQ.patienceLeftUs",
    ),
    "outcome without latency": (
        batch_line(*start_events(), without_field(ATTEMPT_END, "rttUs")),
        "ATTEMPT_END.rttUs",
    ),
    "class twice": (
        batch_line(*start_events(lanes=raw_settings()["lanes"] * 2)[:1]),
        "field settings.lanes ",
    ),
    "no classes": (batch_line(*start_events(lanes=[])[:1]), "field settings.lanes "),
    "index too large": (batch_line(*start_events(instances=2, index=2)[:1]), "field settings.index "),
    "negative tick": (batch_line(*start_events(tickUs=-1)[:1]), "field settings.tickUs "),
}


@pytest.mark.parametrize(("line", "expected_text"), INVALID_LINES.values(), ids=INVALID_LINES.keys())
def test_invalid_line_is_reported_in_one_line(line: str, expected_text: str) -> None:
    valid_line = '{"tUs":1,"n":7,"proxys":[]}'
    completed = run_adapter(f"{valid_line}\n{line}\n")
    assert completed.returncode == 2
    [error_line] = completed.stderr.splitlines()
    assert "line 2" in error_line
    assert expected_text in error_line
    assert completed.stdout == '{"n":7,"proxys":[]}\n'


def test_line_that_is_not_utf8_is_reported_in_one_line() -> None:
    completed = subprocess.run(
        deploy_command("sim"),
        input=b'{"tUs":1,"n":1,"proxys":[\xff]}\n',
        capture_output=True,
        cwd=ROOT,
        check=False,
        timeout=60,
    )
    assert completed.returncode == 2
    assert completed.stdout == b""
    [error_line] = completed.stderr.decode().splitlines()
    assert "line 1" in error_line
    assert "UTF-8" in error_line


REQUIRED_SETTINGS = {
    "lanes": None,
    "contract": None,
    "limits": None,
    "lanes[1].name": ("lanes", 1, "name"),
    "lanes[0].idempotency": ("lanes", 0, "idempotency"),
    "lanes[0].onTimeUs": ("lanes", 0, "onTimeUs"),
    "contract.coldUs": ("contract", "coldUs"),
    "limits.maxAttempts": ("limits", "maxAttempts"),
}


@pytest.mark.parametrize(("name", "path"), REQUIRED_SETTINGS.items())
def test_missing_setting_is_named_in_full(name: str, path: tuple[Any, ...] | None) -> None:
    settings = raw_settings()
    *outer_keys, last_key = path or (name,)
    inner: Any = settings
    for key in outer_keys:
        inner = inner[key]
    del inner[last_key]
    completed = run_adapter(batch_line({"msg": "CONFIGURE", "rngSeed": 1, "settings": settings}) + "\n")
    assert completed.returncode == 2
    assert f"missing required field settings.{name}" in completed.stderr
    assert len(completed.stderr.splitlines()) == 1


def test_missing_optional_settings_have_documented_defaults() -> None:
    all_settings = raw_settings()
    required = {name: all_settings[name] for name in ("lanes", "contract", "limits")}
    settings = read_settings(required)
    assert settings == Settings(settings.classes, settings.rules, settings.limits)
    assert settings.rules.max_poll_interval_us == Rules().max_poll_interval_us


def test_unknown_messages_and_fields_are_ignored() -> None:
    unknown_events = [{"msg": "NEWS", "a": 1}, {**ATTEMPT_END, "gauge": {"unheard_of": 3}, "extra": [1]}]
    assert (
        run_adapter(batch_line(*start_events(), *unknown_events, request_event("r")) + "\n").returncode == 0
    )


def endpoint_of_first_attempt(batches: list[dict[str, Any]]) -> int:
    """Return the endpoint of the first attempt in the reply to the last of these batches."""
    last_reply = replies_to(batches)[-1]
    return int(next(item["backend"] for item in decisions_in(last_reply) if item["msg"] == "CALL_OUT"))


def decisions_after(ending: int) -> dict[str, dict[str, Any]]:
    """Return the decisions by message name after the first attempt of an unsafe request has this ending."""
    batches = random_batches(range(1), count=1)
    batches.append(batch(1, {0: [request_event("r", "pay")]}, 2 * SECOND_US))
    attempt_ended = {
        "msg": "ATTEMPT_END",
        "msgId": "r",
        "attempt": 0,
        "backend": endpoint_of_first_attempt(batches),
    }
    attempt_ended |= {"ending": ending, "rttUs": 9, "last": False, "gauge": None}
    batches.append(batch(2, {0: [attempt_ended, {"msg": "NEWS"}]}, 3 * SECOND_US))
    return {decision["msg"]: decision for decision in decisions_in(replies_to(batches)[2])}


@pytest.mark.parametrize(
    ("ending", "message_name"), [(20, "ABORT"), (60, "ABORT"), (999, "ABORT"), (30, "CALL_OUT")]
)
def test_outcomes_are_read_from_the_wire(ending: int, message_name: str) -> None:
    assert message_name in decisions_after(ending)


def test_client_retry_is_read_from_its_bit() -> None:
    retries = [
        read_request({**request_event("r"), "bitmap": bitmap}).retry for bitmap in (None, 0, 1, 2, 3, 4)
    ]
    assert retries == [False, False, False, True, True, False]


def test_list_id_is_reused_within_a_batch_and_after_a_restart() -> None:
    events = [
        *start_events(),
        {"msg": "MANIFEST", "bank": 0, "rows": [{"backend": 77, "condition": "IN"}]},
        {"msg": "ANNOUNCE", "form": "all", "epoch": 2, "bank": 0},
        request_event("a"),
        {"msg": "DOWN"},
        request_event("lost"),
        *start_events(),
        request_event("b"),
    ]
    [reply] = replies_to([batch(0, {0: events}, SECOND_US)])
    attempts = [item for item in reply["proxys"][0]["decisions"] if item["msg"] == "CALL_OUT"]
    assert [attempt["msgId"] for attempt in attempts] == ["a", "b"]
    assert attempts[0]["backend"] == 77
    assert attempts[1]["backend"] < 6


def test_health_checks_are_encoded_and_decoded() -> None:
    assert encode_action(messages.CheckHealth(7)) == {"msg": "INSPECT", "backend": 7}
    assert encode_action(messages.CancelTimer(7)) is None  # the simulator has no such message
    read_result = EVENT_READERS["SAMPLED"]
    with_load = {"backend": 7, "ending": 10, "gauge": {"busy_reqs": 2.5}}
    assert read_result(with_load) == messages.HealthCheckEnded(7, True, 2.5)
    without_load = {"backend": 7, "ending": 20, "gauge": None}
    assert read_result(without_load) == messages.HealthCheckEnded(7, True)
    assert read_result({"backend": 7, "ending": 40}) == messages.HealthCheckEnded(7, False)
