"""Parser of the settings object in the simulator's `launch` message and in the gateway's configuration.

All of the configuration's keys are mapped to the code's names here: a lane is a request class, `aimUs` its latency
objective, `giveUpUs` the client timeout, `value` the priority weight, `tipMultiple` and `fallUs` the collapse budget.
"""

from __future__ import annotations

import json
from typing import Any

from cloverkeel.balancing.settings import Effect, Goal, Prices, Reports, RequestClass, Scope, Settings, Tenant

EFFECTS = {"free": Effect.SAFE, "guarded": Effect.KEYED, "single_shot": Effect.UNSAFE}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.GROUP}
REPORTS = {"piggyback": Reports.ANSWERS, "pull": Reports.PROBES, "silent": Reports.NONE}
PRICES = {
    "cross_zone": "crossZone",
    "handshake": "handshake",
    "waste": "waste",
    "late_fail": "lateFail",
    "connection": "connection",
    "probe": "probe",
    "peer": "peer",
    "list_lines": "membershipMode",
}


class WireError(ValueError):
    """Raised for an invalid line or invalid settings; the message states the reason."""


def parse_settings(text: str) -> Settings:
    """Parse a settings object. Unknown keys are ignored; missing optional keys have defaults."""
    try:
        raw = json.loads(text)
    except json.JSONDecodeError as error:
        raise WireError(f"settings are not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise WireError("settings are not an object")
    try:
        return _parse_settings_object(raw)
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        raise WireError(f"settings cannot be used: {error}") from None


def _parse_settings_object(raw: dict[str, Any]) -> Settings:
    caps, contract = raw.get("caps", {}), raw.get("contract", {})
    prices = raw.get("prices", {})
    return Settings(
        classes=tuple(_parse_request_class(lane) for lane in raw.get("lanes", [])),
        goal=_parse_goal(raw.get("objectiveMix", {})),
        weight_by_work=raw.get("worthBy") == "work",
        proxies=int(raw.get("balancers", 1)),
        proxy=int(raw.get("index", 0)),
        zone=int(raw.get("zone", 0)),
        prices=Prices(**{name: float(prices.get(key, 0.0)) for name, key in PRICES.items()}),
        tenants=tuple(_parse_tenant(tenant) for tenant in raw.get("tenants", [])),
        overuse_weight=float(raw.get("overShareWorth", 1.0)),
        marks_retry=bool(raw.get("clients", {}).get("marksRetry", False)),
        max_attempts=int(caps.get("maxAttempts", 3)),
        may_cancel=bool(caps.get("mayCancel", False)),
        may_hedge=bool(caps.get("secondCopies", False)),
        may_probe=bool(caps.get("probes", False)),
        may_message_peers=bool(caps.get("peers", False)),
        reports=REPORTS.get(str(raw.get("report", {}).get("how")), Reports.NONE),
        attempts_per_connection=int(caps.get("multiplex", 1)),
        keepalive_us=int(caps.get("keepaliveUs", 60_000_000)),
        connect_timeout_us=int(caps.get("connectTimeoutUs", 1_000_000)),
        answer_slack_us=int(contract.get("answerSlackUs", 0)),
        stop_sending_within_us=int(contract.get("stopSendingWithinUs", 0)),
        cpu_us_per_s=int(caps.get("cpuUsPerS", 0)),
        servers_know_keys=bool(raw.get("familyInfo", {}).get("warmKeys", False)),
        list_is_pushed=raw.get("membershipMode", "pushed") == "pushed",
        max_poll_interval_us=int(contract.get("mustAskInUs", 10_000_000)),
        max_retry_after_us=int(caps.get("maxRetryAfterUs", 1_000_000)) if caps.get("retryAfter") else 0,
        start_capacity=float(contract.get("startCapacity", 1.0)),
        slow_start_us=int(contract.get("warmAfterUs", 0)),
        collapse_multiple=float(contract.get("tipMultiple", 1.0)),
        collapse_window_us=int(contract.get("fallUs", 1_000_000)),
        full_unproven=bool(contract.get("fullUnproven", False)),
        key_rest_us=int(contract.get("keyQuietUs", 0)),
    )


def _parse_goal(goal: dict[str, Any]) -> Goal:
    return Goal(
        overall=float(goal.get("whole", 1.0)),
        worst_window=float(goal.get("worstWindow", 0.0)),
        worst_class=float(goal.get("worstClass", 0.0)),
        worst_tenant=float(goal.get("worstTenant", 0.0)),
    )


def _parse_tenant(tenant: dict[str, Any]) -> Tenant:
    return Tenant(float(tenant.get("fraction", 0.0)), float(tenant.get("allowancePerS", "inf")))


def _parse_request_class(lane: dict[str, Any]) -> RequestClass:
    if "giveUpUs" not in lane:
        raise ValueError("a class has no giveUpUs")
    effect = str(lane.get("effect", "single_shot"))
    scope = str(lane.get("group", "all"))
    if effect not in EFFECTS:
        raise ValueError(f"effect '{effect}' is unknown")
    if scope not in SCOPES:
        raise ValueError(f"group '{scope}' is unknown")
    return RequestClass(
        objective_us=int(lane.get("aimUs", lane["giveUpUs"])),
        client_timeout_us=int(lane["giveUpUs"]),
        priority_weight=float(lane.get("value", 1.0)),
        late_weight=float(lane.get("lateValue", 0.0)),
        effect=EFFECTS[effect],
        scope=SCOPES[scope],
        window_us=int(lane.get("windowUs", 0)),
        in_order=bool(lane.get("sequential", False)),
        objective_stretch=float(lane.get("aimStretch", 0.0)),
    )
