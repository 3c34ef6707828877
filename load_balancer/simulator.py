"""Adapter between the simulator's protocol and the balancer: decodes events and encodes actions.

Started as `python -B -m load_balancer.simulator`. One process hosts many balancers that share no state. Each
line on standard input is a batch of events; each line on standard output is the reply to one batch. Times are
in microseconds. This module makes no decisions. No other module uses the names of the protocol's messages.

Exit codes: 0 at the end of the input; 1 if standard output was closed or the process was interrupted; 2 if a
line is invalid, with the reason as one line on standard error.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterable
from typing import Any, TextIO

from load_balancer import messages
from load_balancer.errors import (
    InvalidFieldError,
    NotJsonError,
    NotJsonObjectError,
    NotUtf8Error,
    WireError,
)
from load_balancer.policy.balancer import Balancer
from load_balancer.settings import JsonObject, optional_field, read_settings, required_field

OUTCOMES = {  # by the `ending` of an attempt
    10: messages.Outcome.OK,
    20: messages.Outcome.ERROR,
    30: messages.Outcome.REJECTED,
    40: messages.Outcome.TIMEOUT,
    50: messages.Outcome.NO_CONNECTION,
    60: messages.Outcome.RESET,
    70: messages.Outcome.CANCELLED,
    80: messages.Outcome.NOT_SENT,
}
CLIENT_RETRY_BIT = 2  # mask for the `bitmap` of a request; set if the client has sent the request before
STATUSES = {  # by the `condition` of an endpoint
    "IN": messages.EndpointStatus.UP,
    "LAME": messages.EndpointStatus.DRAINING,
    "OUT": messages.EndpointStatus.REMOVED,
}
LIST_KINDS = {  # by the `form` of an ANNOUNCE event
    "changes": messages.EndpointListKind.CHANGES,
    "all": messages.EndpointListKind.COMPLETE,
    "remembered": messages.EndpointListKind.CACHED,
    "refused": messages.EndpointListKind.FAILED,
}


class InvalidLineError(WireError):
    """A line of the input is invalid."""

    def __init__(self, line_number: int, error: WireError) -> None:
        """Initialize the error.

        Args:
            line_number: The number of the line, counted from 1.
            error: The reason why the line is invalid.
        """
        super().__init__(f"line {line_number}: {error}")


def read_endpoint(row: Any, prefix: str) -> messages.Endpoint:
    """Decode one row of an endpoint list. Raises FieldError."""
    status = STATUSES.get(required_field(row, "condition", str, prefix))
    if status is None:
        raise InvalidFieldError(f"{prefix}condition", f"has an unknown value: {row['condition']!r:.60}")
    return messages.Endpoint(
        id=required_field(row, "backend", int, prefix),
        status=status,
        zone=optional_field(row, "campus", "", prefix),
        cell=optional_field(row, "bay", 0, prefix),
        incarnation_us=optional_field(row, "sinceUs", 0, prefix),
    )


def read_request(event: JsonObject) -> messages.Request:
    """Decode a REQ event. Raises FieldError."""
    owner = event.get("owner")
    return messages.Request(
        id=required_field(event, "msgId", str, "REQ."),
        class_name=required_field(event, "profile", str, "REQ."),
        time_remaining_us=required_field(event, "patienceLeftUs", int, "REQ."),
        tenant=owner if isinstance(owner, str) else None,
        retry=bool(optional_field(event, "bitmap", 0, "REQ.") & CLIENT_RETRY_BIT),
    )


def read_attempt_end(event: JsonObject) -> messages.AttemptEnded:
    """Decode an ATTEMPT_END event. Raises FieldError."""
    prefix = "ATTEMPT_END."
    return messages.AttemptEnded(
        request_id=required_field(event, "msgId", str, prefix),
        attempt_number=required_field(event, "attempt", int, prefix),
        endpoint_id=required_field(event, "backend", int, prefix),
        outcome=OUTCOMES.get(required_field(event, "ending", int, prefix), messages.Outcome.UNKNOWN),
        duration_us=required_field(event, "rttUs", int, prefix),
        is_request_finished=optional_field(event, "last", default=False, prefix=prefix),
    )


def read_health_check_end(event: JsonObject) -> messages.HealthCheckEnded:
    """Decode a SAMPLED event, the result of a health check. Raises FieldError."""
    outcome = OUTCOMES.get(required_field(event, "ending", int, "SAMPLED."))
    is_alive = outcome not in (messages.Outcome.TIMEOUT, messages.Outcome.NO_CONNECTION)
    gauge = event.get("gauge")
    busy_requests = gauge.get("busy_reqs") if isinstance(gauge, dict) else None
    return messages.HealthCheckEnded(
        required_field(event, "backend", int, "SAMPLED."),
        is_alive,
        busy_requests if isinstance(busy_requests, int | float) else None,
    )


EVENT_READERS: dict[str, Callable[[JsonObject], messages.Event]] = {
    "REQ": read_request,
    "ATTEMPT_END": read_attempt_end,
    "SAMPLED": read_health_check_end,
    "TIMEOUT_FIRED": lambda event: messages.TimerFired(
        required_field(event, "handle", int, "TIMEOUT_FIRED.")
    ),
    "WITHDRAWN": lambda event: messages.ClientGone(required_field(event, "msgId", str, "WITHDRAWN.")),
    "OPENED": lambda event: messages.StreamStarted(
        required_field(event, "msgId", str, "OPENED."), required_field(event, "attempt", int, "OPENED.")
    ),
}


def encode_action(action: messages.Action) -> JsonObject | None:
    """Return the JSON object of an action, or None if the protocol has no message for it."""
    match action:
        case messages.StartAttempt():
            return {
                "msg": "CALL_OUT",
                "msgId": action.request_id,
                "backend": action.endpoint_id,
                "tryForUs": action.timeout_us,
            }
        case messages.CancelAttempt():
            return {"msg": "RECALL", "msgId": action.request_id, "attempt": action.attempt_number}
        case messages.Reject():
            return {"msg": "REFUSE", "msgId": action.request_id, "notBeforeForUs": action.retry_after_us}
        case messages.Fail():
            return {"msg": "ABORT", "msgId": action.request_id}
        case _:
            return encode_instance_action(action)


def encode_instance_action(
    action: messages.SetTimer
    | messages.CancelTimer
    | messages.CheckHealth
    | messages.Subscribe
    | messages.CloseIdle
    | messages.Log,
) -> JsonObject | None:
    """Return the JSON object of an action that concerns no request, or None if there is no message for it."""
    match action:
        case messages.CancelTimer():
            return None
        case messages.SetTimer():
            return {"msg": "AFTER", "fireAtUs": action.at_us, "handle": action.timer_id}
        case messages.CheckHealth():
            return {"msg": "INSPECT", "backend": action.endpoint_id}
        case messages.Subscribe():
            return {"msg": "TAIL", "want": True}
        case messages.CloseIdle():
            return {"msg": "CLOSE", "backend": action.endpoint_id}
        case messages.Log():
            return {"msg": "SAY_LOG", "text": action.text}


class SimulatorSession:
    """The balancers of this process by instance, and the received endpoint lists by number."""

    def __init__(self) -> None:
        """Initialize without balancers and lists."""
        self._balancers: dict[int, Balancer] = {}
        # By the number of the list; a list replaces an earlier one with the same number.
        self._lists: dict[int, tuple[messages.Endpoint, ...]] = {}

    def handle_batch(self, batch: JsonObject) -> JsonObject:
        """Handle the events of one batch and return the reply. Raises WireError."""
        now_us = required_field(batch, "tUs", int)
        batch_number = required_field(batch, "n", int)
        replies = []
        for index, instance_batch in enumerate(required_field(batch, "proxys", list)):
            reply = self._handle_instance_batch(now_us, instance_batch, f"proxys[{index}].")
            if reply["decisions"]:
                replies.append(reply)
        return {"n": batch_number, "proxys": replies}

    def _handle_instance_batch(self, now_us: int, instance_batch: Any, prefix: str) -> JsonObject:
        """Handle the events of one instance in a batch and return its part of the reply. Raises WireError."""
        instance = required_field(instance_batch, "proxy", int, prefix)
        actions: list[messages.Action] = []
        for event in required_field(instance_batch, "events", list, prefix):
            actions += self._handle_event(now_us, instance, event)
        return {
            "proxy": instance,
            "decisions": [encoded for action in actions if (encoded := encode_action(action))],
        }

    def _handle_event(self, now_us: int, instance: int, event: JsonObject) -> list[messages.Action]:
        """Handle one event of one instance.

        Events of an unknown kind are ignored, and so are events of an instance that was not configured or is
        down.

        Raises:
            WireError: The event is invalid.
        """
        match required_field(event, "msg", str):
            case "MANIFEST":
                self._store_list(event)
                return []
            case "CONFIGURE":
                return self._start_balancer(now_us, instance, event)
            case "DOWN":
                self._balancers.pop(instance, None)
                return []
            case kind:
                balancer = self._balancers.get(instance)
                reader = self._event_reader(kind)
                if balancer is None or reader is None:
                    return []
                return balancer.handle(now_us, reader(event))

    def _event_reader(self, kind: str) -> Callable[[JsonObject], messages.Event] | None:
        return self._read_list_event if kind == "ANNOUNCE" else EVENT_READERS.get(kind)

    def _store_list(self, event: JsonObject) -> None:
        """Decode and store the endpoint list of a MANIFEST event. Raises FieldError."""
        rows = required_field(event, "rows", list, "MANIFEST.")
        endpoints = tuple(read_endpoint(row, f"MANIFEST.rows[{index}].") for index, row in enumerate(rows))
        self._lists[required_field(event, "bank", int, "MANIFEST.")] = endpoints

    def _start_balancer(self, now_us: int, instance: int, event: JsonObject) -> list[messages.Action]:
        """Start or replace the balancer of an instance, as a CONFIGURE event requests. Raises FieldError."""
        settings = read_settings(required_field(event, "settings", dict, "CONFIGURE."))
        balancer = Balancer(settings, required_field(event, "rngSeed", int, "CONFIGURE."))
        self._balancers[instance] = balancer
        return balancer.start(now_us)

    def _read_list_event(self, event: JsonObject) -> messages.EndpointListUpdate:
        """Decode an ANNOUNCE event, which refers to a stored list by its number. Raises FieldError."""
        kind = LIST_KINDS.get(required_field(event, "form", str, "ANNOUNCE."))
        if kind is None:
            raise InvalidFieldError("ANNOUNCE.form", f"has an unknown value: {event['form']!r:.60}")
        if kind is messages.EndpointListKind.FAILED:
            return messages.EndpointListUpdate(kind)
        list_number = required_field(event, "bank", int, "ANNOUNCE.")
        if list_number not in self._lists:
            raise InvalidFieldError(
                "ANNOUNCE.bank", f"refers to list {list_number}, which no MANIFEST event has sent"
            )
        version = optional_field(event, "epoch", 0, "ANNOUNCE.")
        return messages.EndpointListUpdate(kind, version, self._lists[list_number])


def serve(lines: Iterable[bytes], replies: TextIO) -> None:
    """Write a reply to each batch until the input ends.

    Args:
        lines: The input lines, one batch each.
        replies: The stream that the replies are written to, one line each.

    Raises:
        InvalidLineError: A line is invalid. All earlier lines have their replies.
    """
    session = SimulatorSession()
    for line_number, line in enumerate(lines, 1):
        try:
            reply = session.handle_batch(parse_batch(line))
        except WireError as error:
            raise InvalidLineError(line_number, error) from None
        replies.write(json.dumps(reply, separators=(",", ":")) + "\n")
        replies.flush()


def parse_batch(line: bytes) -> JsonObject:
    """Return the JSON object of an input line. Raises WireError."""
    try:
        batch = json.loads(line.decode())
    except UnicodeDecodeError as error:
        raise NotUtf8Error(error) from None
    except (json.JSONDecodeError, RecursionError) as error:
        raise NotJsonError(error) from None
    if not isinstance(batch, dict):
        raise NotJsonObjectError
    return batch


def main() -> int:
    """Reply to the batches on standard input, and return the exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout)
    except WireError as error:
        print(f"load_balancer: {error}", file=sys.stderr)
        return 2
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
