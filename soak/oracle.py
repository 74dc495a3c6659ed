"""What callers, operators and endpoints have seen, and which promise that breaks."""

from __future__ import annotations

import collections
import dataclasses
import math

# Answers that promise that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
REVOKE_S = 5.0
DRAIN_S = 2.5
EVACUATE_S = 5.0
APPLY_S = 2.5
# Bounds that need the control instances hold from so long after the last fault.
CONTROL_RECOVERY_S = 3.0
RECOVERY_S = 15.0
QUOTA_WINDOW_S = 5.0
QUOTA_OVERAGE = 0.1
QUOTA_SLACK = 20


@dataclasses.dataclass
class SentRequest:
    """A request that a caller has sent.

    Attributes:
        sent_at: When, monotonic seconds.
        at_most_once: Whether it may run once at most.
        organisation: Whose key it carries.
        key: The key.
        status: Status of the answer, 0 without one.
        runs: Endpoints that have run it.
    """

    sent_at: float
    at_most_once: bool
    organisation: str
    key: str
    status: int = 0
    runs: list[str] = dataclasses.field(default_factory=list)


class Oracle:
    """Collects what is seen and lists each broken promise once.

    Args:
        rate_by_organisation: Requests per second and burst of each contract.
    """

    def __init__(self, rate_by_organisation: dict[str, tuple[float, float]]) -> None:
        self.rate_by_organisation = rate_by_organisation
        self.violations: list[str] = []
        self.sent_by_id: dict[str, SentRequest] = {}
        self.revoked_at_by_key: dict[str, float] = {}
        self.drained_at_by_endpoint: dict[str, float] = {}
        self.evacuated_at_by_zone: dict[str, float] = {}
        self.acknowledged: list[tuple[float, int]] = []
        self.last_fault_at = 0.0
        self.faults_active = 0
        self._runs_by_organisation: dict[str, collections.deque[float]] = {}

    def is_undisturbed(self, at: float, now: float) -> bool:
        """Returns whether nothing was disturbed from a while before ``at`` until now."""
        return not self.faults_active and at - self.last_fault_at > CONTROL_RECOVERY_S and now >= at

    def on_fault(self, begins: bool, now: float) -> None:
        """Notes that a fault begins or ends."""
        self.faults_active += 1 if begins else -1
        self.last_fault_at = now

    def on_send(self, id_: str, sent: SentRequest) -> None:
        """Notes a request before its first byte is sent."""
        self.sent_by_id[id_] = sent

    def on_run(self, id_: str, endpoint: str, zone: str, organisation: str, now: float) -> None:
        """Notes that an endpoint begins to run a request."""
        sent = self.sent_by_id.get(id_)
        if sent is None:
            self.violations.append(f"unasked: {endpoint} runs {id_!r}")
            return
        sent.runs.append(endpoint)
        if sent.at_most_once and len(sent.runs) > 1:
            self.violations.append(f"twice: {id_} at {sent.runs}")
        if sent.status in NOT_RUN_STATUSES:
            self.violations.append(
                f"refused: {id_} was answered {sent.status} and runs at {endpoint}"
            )
        if organisation != sent.organisation:
            self.violations.append(f"unasked: {id_} runs for {organisation!r}")
        revoked_at = self.revoked_at_by_key.get(sent.key)
        if revoked_at is not None and sent.sent_at > revoked_at + REVOKE_S:
            late = sent.sent_at - revoked_at
            self.violations.append(f"revoked: {id_} sent {late:.2f} s after the key was withdrawn")
        drained_at = self.drained_at_by_endpoint.get(endpoint)
        if (
            drained_at is not None
            and sent.sent_at > drained_at + DRAIN_S
            and self.is_undisturbed(drained_at, now)
        ):
            self.violations.append(
                f"drain: {id_} {sent.sent_at - drained_at:.2f} s after {endpoint} left"
            )
        evacuated_at = self.evacuated_at_by_zone.get(zone)
        late = evacuated_at is not None and sent.sent_at > evacuated_at + EVACUATE_S
        if late and self.is_undisturbed(evacuated_at or 0.0, now):
            self.violations.append(f"evacuation: {id_} runs in {zone}")
        self._check_quota(organisation, now)

    def _check_quota(self, organisation: str, now: float) -> None:
        rate, burst = self.rate_by_organisation[organisation]
        runs = self._runs_by_organisation.setdefault(organisation, collections.deque())
        runs.append(now)
        while now - runs[0] > QUOTA_WINDOW_S:
            runs.popleft()
        allowed = (rate * QUOTA_WINDOW_S + burst) * (1 + QUOTA_OVERAGE) + QUOTA_SLACK
        if rate and len(runs) > allowed:
            self.violations.append(
                f"quota: {len(runs)} of {organisation} where {allowed:.0f} may run"
            )
            runs.clear()

    def on_answer(self, id_: str, status: int, body: bytes) -> None:
        """Notes a whole answer."""
        sent = self.sent_by_id[id_]
        sent.status = status
        if status in NOT_RUN_STATUSES and sent.runs:
            self.violations.append(
                f"refused: {id_} has run at {sent.runs} and was answered {status}"
            )
        if 200 <= status < 300:
            told, _, endpoint = body.decode("latin-1").partition(" ")
            if told != id_ or endpoint not in sent.runs:
                self.violations.append(f"mixed: {id_} was answered {body!r}, ran at {sent.runs}")

    def on_acknowledged(self, version: int, now: float) -> None:
        """Notes that a configuration was acknowledged."""
        self.acknowledged.append((now, version))

    def on_read(self, version: int, asked_at: float) -> None:
        """Notes a version that was read back."""
        due = [v for at, v in self.acknowledged if at + APPLY_S < asked_at]
        if due and version < max(due):
            self.violations.append(
                f"config: {version} was read, {max(due)} was acknowledged before"
            )

    def served(self, since: float, until: float) -> tuple[int, int]:
        """Returns requests of a span of time, and how many of them were answered 2xx."""
        found = [s for s in self.sent_by_id.values() if since <= s.sent_at < until]
        return len(found), sum(200 <= s.status < 300 for s in found)

    def served_with_valid_keys(
        self, organisation: str, since: float, until: float
    ) -> tuple[int, int]:
        """Returns the same of an organisation that is within its rate, with keys then in force."""
        found = [
            s
            for s in self.sent_by_id.values()
            if since <= s.sent_at < until
            and s.organisation == organisation
            and s.sent_at < self.revoked_at_by_key.get(s.key, math.inf)
        ]
        return len(found), sum(200 <= s.status < 300 for s in found)
