"""Checks the system's guarantees against what callers, operators and endpoints observe."""

from __future__ import annotations

import collections
import dataclasses
import math

# Statuses that guarantee that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# How long after the acknowledgement of an operation its effect may be incomplete.
REVOKE_S = 5.0
DRAIN_S = 2.5
EVACUATE_S = 5.0
APPLY_S = 2.5
# Bounds that depend on the control instances are checked from this long after the last fault.
CONTROL_RECOVERY_S = 3.0
RECOVERY_S = 15.0
# No more than MAX_GONE requests may reach endpoints later than this after their callers have left.
GONE_S = 0.5
MAX_GONE = 3
QUOTA_WINDOW_S = 5.0
QUOTA_OVERAGE = 0.1
QUOTA_SLACK = 20


@dataclasses.dataclass
class SentRequest:
    """A request sent by a caller.

    Attributes:
        sent_at: Time of sending, monotonic seconds.
        at_most_once: Whether it must not run more than once.
        organisation: Organisation that the key belongs to.
        key: API key in the request.
        status: Status of the answer, 0 if there was none.
        runs: Endpoints that started to run it, one entry for each time.
        left_at: Time at which the caller closed its connection without waiting, 0 if it did not.
    """

    sent_at: float
    at_most_once: bool
    organisation: str
    key: str
    status: int = 0
    runs: list[str] = dataclasses.field(default_factory=list)
    left_at: float = 0.0


class Oracle:
    """Records observed events and lists the guarantees that they violate.

    Args:
        rate_by_organisation: Requests per second and burst of each organisation.
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
        self._gone_count = 0

    def is_undisturbed(self, at: float, now: float) -> bool:
        """Returns whether no fault was active from ``CONTROL_RECOVERY_S`` before ``at`` to now."""
        return not self.faults_active and at - self.last_fault_at > CONTROL_RECOVERY_S and now >= at

    def on_fault(self, begins: bool, now: float) -> None:
        """Records the start or the end of a fault."""
        self.faults_active += 1 if begins else -1
        self.last_fault_at = now

    def on_send(self, id_: str, sent: SentRequest) -> None:
        """Records a request; called before its first byte is sent."""
        self.sent_by_id[id_] = sent

    def on_left(self, id_: str, now: float) -> None:
        """Records that the caller of a request has closed its connection."""
        self.sent_by_id[id_].left_at = now

    def on_run(self, id_: str, endpoint: str, zone: str, organisation: str, now: float) -> None:
        """Records and checks that an endpoint starts to run a request."""
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
        if sent.left_at and now > sent.left_at + GONE_S:
            self._gone_count += 1
            if self._gone_count > MAX_GONE:
                late_s = now - sent.left_at
                self.violations.append(f"gone: {id_} runs {late_s:.2f} s after its caller left")
        if organisation != sent.organisation:
            self.violations.append(f"unasked: {id_} runs for {organisation!r}")
        revoked_at = self.revoked_at_by_key.get(sent.key)
        if revoked_at is not None and sent.sent_at > revoked_at + REVOKE_S:
            delay_s = sent.sent_at - revoked_at
            self.violations.append(
                f"revoked: {id_} sent {delay_s:.2f} s after the key was withdrawn"
            )
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
        """Records and checks a complete answer."""
        sent = self.sent_by_id[id_]
        sent.status = status
        if status in NOT_RUN_STATUSES and sent.runs:
            self.violations.append(
                f"refused: {id_} has run at {sent.runs} and was answered {status}"
            )
        if 200 <= status < 300:
            answered_id, _, endpoint = body.decode("latin-1").partition(" ")
            if answered_id != id_ or endpoint not in sent.runs:
                self.violations.append(f"mixed: {id_} was answered {body!r}, ran at {sent.runs}")

    def on_acknowledged(self, version: int, now: float) -> None:
        """Records an acknowledged configuration version."""
        self.acknowledged.append((now, version))

    def on_read(self, version: int, read_at: float) -> None:
        """Checks a configuration version that was read; ``read_at`` is when the read was sent."""
        expected = [v for at, v in self.acknowledged if at + APPLY_S < read_at]
        if expected and version < max(expected):
            self.violations.append(
                f"config: {version} was read, {max(expected)} was acknowledged before"
            )

    def served(self, since: float, until: float) -> tuple[int, int]:
        """Returns the number of requests sent in a period, and of those answered 2xx."""
        matching = [s for s in self.sent_by_id.values() if since <= s.sent_at < until]
        return len(matching), sum(200 <= s.status < 300 for s in matching)

    def served_with_valid_keys(
        self, organisation: str, since: float, until: float
    ) -> tuple[int, int]:
        """Returns the same numbers for one organisation, counting only keys in force when sent and
        callers that waited.

        Only meaningful for an organisation that stays within its rate.
        """
        matching = [
            s
            for s in self.sent_by_id.values()
            if since <= s.sent_at < until
            and s.organisation == organisation
            and not s.left_at
            and s.sent_at < self.revoked_at_by_key.get(s.key, math.inf)
        ]
        return len(matching), sum(200 <= s.status < 300 for s in matching)
