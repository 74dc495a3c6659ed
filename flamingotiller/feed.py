"""Distribution of the configuration: every process has a feed to which others can subscribe.

An answer carries the changes since the subscriber's version, and the time since the log's quorum
last confirmed that nothing newer had been accepted. Each process measures this age on its own
clock, starting before it sent its request, so ages add up along a chain of feeds without
synchronised clocks: docs/design/spread.md."""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import typing

from flamingotiller import clock, configuration, errors

HOLD_TIMEOUT = clock.seconds(1.25)
CONFIRM_INTERVAL = clock.seconds(1)
REPORT_INTERVAL = clock.seconds(4)
REPORT_LIFETIME = clock.seconds(15)
FAN_OUT = 4
REPLACED_RETENTION = clock.seconds(10)


@dataclasses.dataclass(frozen=True)
class Report:
    """State of a process as it reports it.

    Attributes:
        zone: Zone of the process, ``control`` for a control instance.
        version: Configuration version in force.
        age_s: Age of its last confirmation in seconds, -1 for none.
        address: Address of the process.
        stamp: Increases from each report of a process to its next; not comparable between
            processes.
    """

    zone: str
    version: int
    age_s: float
    address: str
    stamp: int


@dataclasses.dataclass(frozen=True)
class ReplacedVersion:
    """A configuration version that was in force in this process.

    Attributes:
        view: Configuration in that version.
        replaced_at: Monotonic time at which it was replaced.
        skipped_subjects: Subjects that may have had other values in versions between this one and
            the next one in force here.
    """

    view: configuration.View
    replaced_at: datetime.timedelta
    skipped_subjects: frozenset[str]


class Feed:
    """Configuration of this process and the age of its last confirmation.

    Args:
        name: Name of this process in reports.
        zone: Zone of this process.
        state: The configuration, to which absorbed deltas are applied.
        clk: Source of monotonic time.
    """

    def __init__(
        self, name: str, zone: str, state: configuration.Configuration, clk: clock.Clock
    ) -> None:
        self.name = name
        self.zone = zone
        self.address = ""
        self.state = state
        self.view = configuration.View(state)
        self._clock = clk
        self._confirmed_as_of: datetime.timedelta | None = None
        # The version in force was accepted at this time or earlier.
        self._accepted_by = clk.monotonic()
        self._replaced: list[ReplacedVersion] = []
        self._pending_confirmation: tuple[int, datetime.timedelta] | None = None
        self._confirmation_notified_at: datetime.timedelta | None = None
        self._update = asyncio.Event()
        self._last_stamp = 0
        self._sent_by_name: dict[str, tuple[int, datetime.timedelta]] = {}
        self._report_by_name: dict[str, tuple[datetime.timedelta, Report]] = {}

    @property
    def version(self) -> int:
        """Configuration version in force here."""
        return self.view.version

    def age(self) -> datetime.timedelta | None:
        """Returns the age of the last confirmation, None before the first."""
        return (
            None
            if self._confirmed_as_of is None
            else self._clock.monotonic() - self._confirmed_as_of
        )

    def is_fresh(self, bound: datetime.timedelta) -> bool:
        """Returns whether the configuration was confirmed within ``bound``."""
        age = self.age()
        return age is not None and age <= bound

    def absorb(self, delta: dict[str, typing.Any]) -> bool:
        """Applies a delta; see ``configuration.Configuration.absorb``."""
        old_version = self.state.version
        absorbed = self.state.absorb(delta)
        if self.state.version != old_version:
            self.refresh()
        return absorbed

    def refresh(self) -> None:
        """Puts the current state in force and notifies subscribers."""
        now = self._clock.monotonic()
        skipped_subjects = self.state.changed_twice_since(self.view.version)
        self._replaced = [
            row for row in self._replaced if now - row.replaced_at <= REPLACED_RETENTION
        ]
        self._replaced.append(ReplacedVersion(self.view, now, skipped_subjects))
        self._accepted_by = now
        self.view = configuration.View(self.state)
        self._apply_confirmation()
        self._notify_subscribers()

    def confirm(self, version: int, as_of: datetime.timedelta) -> None:
        """Records that ``version`` was the newest accepted version at the time ``as_of``.

        The confirmation takes effect once this process has that version in force.
        """
        if self._pending_confirmation is None or as_of > self._pending_confirmation[1]:
            self._pending_confirmation = (version, as_of)
        self._apply_confirmation()
        now = self._clock.monotonic()
        if (
            self._confirmation_notified_at is None
            or now - self._confirmation_notified_at >= CONFIRM_INTERVAL * 0.9
        ):
            self._confirmation_notified_at = now
            self._notify_subscribers()

    def _apply_confirmation(self) -> None:
        if self._pending_confirmation is None or self.view.version < self._pending_confirmation[0]:
            return
        as_of = self._pending_confirmation[1]
        self._pending_confirmation = None
        if self._confirmed_as_of is None or as_of > self._confirmed_as_of:
            self._confirmed_as_of = as_of

    def _notify_subscribers(self) -> None:
        self._update.set()
        self._update = asyncio.Event()

    async def answer(self, request: dict[str, typing.Any]) -> dict[str, typing.Any]:
        """Answers a subscriber at the next update, or after ``HOLD_TIMEOUT`` without one.

        A subscriber that has an older version, or asks to be answered now, is not kept waiting.

        Args:
            request: Value of ``subscription`` at the subscriber.

        Raises:
            errors.InvalidInputError: The request is malformed.
        """
        received = self._clock.monotonic()
        try:
            after = int(request["after"])
            reports = {name: Report(*fields) for name, fields in request["reports"].items()}
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise errors.InvalidInputError(
                f"malformed subscription: {error}", step="feed"
            ) from error
        self._record_reports(reports, received)
        if after >= self.version and not request.get("now"):
            await self._wait_for_update()
        delta = self.state.delta(after) if after < self.version else None
        held = self._clock.monotonic() - received
        age = self.age()
        return {
            "version": self.version,
            "delta": delta,
            "age_s": None if age is None else age.total_seconds(),
            "held_s": held.total_seconds(),
            "since_s": (self._clock.monotonic() - self._accepted_by).total_seconds(),
        }

    async def _wait_for_update(self) -> None:
        try:
            async with asyncio.timeout(HOLD_TIMEOUT.total_seconds()):
                await self._update.wait()
        except TimeoutError:
            pass

    def apply_answer(
        self, answer: dict[str, typing.Any], sent: datetime.timedelta, peer: str
    ) -> bool:
        """Applies the changes and the confirmation in an answer of another feed.

        Args:
            answer: Value of ``answer`` at the other process.
            sent: Monotonic time at which this process sent its request.
            peer: Address of the other process.

        Returns:
            False if the other process has an older version than this one.

        Raises:
            errors.ProtocolError: The answer is malformed.
        """
        try:
            version, age, held = answer["version"], answer["age_s"], float(answer["held_s"])
            since = self._clock.monotonic() - clock.seconds(float(answer.get("since_s", 0.0)))
            if answer["delta"] is not None and not self.absorb(answer["delta"]):
                return False
            if version < self.version:
                return False
            if version == self.version:
                self._accepted_by = min(self._accepted_by, since)
            if age is not None and version <= self.version:
                # The peer measured the age after holding the request, so no earlier than
                # ``sent`` plus the time held.
                self.confirm(version, sent + clock.seconds(held) - clock.seconds(float(age)))
            return True
        except (KeyError, TypeError, ValueError, errors.InvalidInputError) as error:
            raise errors.ProtocolError(f"malformed answer of a feed: {error}", peer=peer) from error

    def last_replaced(self) -> ReplacedVersion | None:
        """Returns the version in force before the current one, None if none is recorded."""
        return self._replaced[-1] if self._replaced else None

    def replaced_within(self, span: datetime.timedelta) -> list[ReplacedVersion]:
        """Returns the replaced versions on which others may have acted within a span.

        The newest comes last. In a process that started within the span, the first one is the
        empty version with which it started; its skipped subjects are all that ever changed.

        Args:
            span: Length of time up to now, at most ``REPLACED_RETENTION``.
        """
        now = self._clock.monotonic()
        if now - self._accepted_by >= span:
            return []
        return [row for row in self._replaced if now - row.replaced_at < span]

    def _record_reports(self, reports: dict[str, Report], now: datetime.timedelta) -> None:
        for name, report in reports.items():
            known = self._report_by_name.get(name)
            # While the tree changes, reports arrive over several paths; older ones are ignored.
            if known is None or report.stamp > known[1].stamp:
                self._report_by_name[name] = (now, report)

    def _next_stamp(self) -> int:
        self._last_stamp = max(self._last_stamp + 1, int(self._clock.utc().timestamp() * 1000))
        return self._last_stamp

    def reports(self) -> dict[str, Report]:
        """Returns the latest reports of this process and its direct and indirect subscribers."""
        now = self._clock.monotonic()
        for name, (at, _) in list(self._report_by_name.items()):
            if now - at > REPORT_LIFETIME:
                del self._report_by_name[name]
                self._sent_by_name.pop(name, None)
        age = self.age()
        age_s = -1.0 if age is None else round(age.total_seconds(), 3)
        own = Report(self.zone, self.version, age_s, self.address, self._next_stamp())
        return {
            **{name: report for name, (_, report) in self._report_by_name.items()},
            self.name: own,
        }

    def _reports_to_send(self) -> dict[str, tuple[typing.Any, ...]]:
        """Returns the reports to send: those with a new version, others at ``REPORT_INTERVAL``."""
        now = self._clock.monotonic()
        unsent = {}
        for name, report in self.reports().items():
            version, at = self._sent_by_name.get(name, (-1, now))
            if report.version != version or now - at >= REPORT_INTERVAL:
                self._sent_by_name[name] = (report.version, now)
                unsent[name] = dataclasses.astuple(report)
        return unsent

    def subscription(self, *, now: bool = False) -> dict[str, typing.Any]:
        """Returns the request that this process sends to another feed.

        Args:
            now: Whether the other feed should answer without waiting for an update.
        """
        request: dict[str, typing.Any] = {"after": self.version, "reports": self._reports_to_send()}
        if now:
            request["now"] = True
        return request


def parent_position(position: int) -> int | None:
    """Returns the position of a member's parent in its zone's tree, None for the root."""
    return None if position == 0 else (position - 1) // FAN_OUT


def choose_sources(
    instance: str, live: typing.Sequence[tuple[str, str]], control: typing.Sequence[str]
) -> list[str]:
    """Returns the addresses to which an entry instance can subscribe, preferred ones first.

    Args:
        instance: Name of the instance.
        live: Names and addresses of the live members of its zone, itself included.
        control: Addresses of the control instances.
    """
    # The first seats of a zone vote on leases, so the order is reversed: the members with the most
    # subscribers come from the other end.
    ordered = sorted(live, reverse=True)
    position = next((i for i, (name, _) in enumerate(ordered) if name == instance), 0)
    parent = parent_position(position)
    others = [address for name, address in ordered if name != instance]
    # Instances start at different control instances, which spreads the load.
    start = sum(instance.encode()) % max(1, len(control))
    rotated = [*control[start:], *control[:start]]
    if parent is None:
        return rotated + others
    preferred = ordered[parent][1]
    return [preferred, *rotated, *(address for address in others if address != preferred)]
