"""Spread of the configuration: every process is a feed that others subscribe to.

An answer carries what has changed and how long ago the log's quorum last confirmed that nothing
newer had been accepted. Ages are measured on each process's own clock from before its own request
was sent, so they add up along a chain without synchronised clocks: docs/design/spread.md."""

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
    """What a process says of itself.

    Attributes:
        zone: Its zone, ``control`` for a control instance.
        version: Configuration version in force.
        age_s: Age of its last confirmation in seconds, -1 for none.
        address: Its address.
        stamp: Grows from one report of a process to its next; only compared with its own.
    """

    zone: str
    version: int
    age_s: float
    address: str
    stamp: int


@dataclasses.dataclass(frozen=True)
class ReplacedVersion:
    """A version that was in force here and is not any more.

    Attributes:
        view: What it said.
        until: When it was replaced.
        skipped_subjects: Subjects that may have had other values in versions between this one and
            the next one in force here.
    """

    view: configuration.View
    until: datetime.timedelta
    skipped_subjects: frozenset[str]


class Feed:
    """The configuration that this process has, and how fresh it is.

    Args:
        name: Name of this process in reports.
        zone: Its zone.
        state: The configuration; absorbed deltas change it.
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
        self._as_of: datetime.timedelta | None = None
        # The version in force had been accepted by then.
        self._since = clk.monotonic()
        self._replaced: list[ReplacedVersion] = []
        self._pending: tuple[int, datetime.timedelta] | None = None
        self._published: datetime.timedelta | None = None
        self._news = asyncio.Event()
        self._last_stamp = 0
        self._sent_by_name: dict[str, tuple[int, datetime.timedelta]] = {}
        self._report_by_name: dict[str, tuple[datetime.timedelta, Report]] = {}

    @property
    def version(self) -> int:
        """Configuration version in force here."""
        return self.view.version

    def age(self) -> datetime.timedelta | None:
        """Returns the age of the last confirmation, None before the first."""
        return None if self._as_of is None else self._clock.monotonic() - self._as_of

    def is_fresh(self, bound: datetime.timedelta) -> bool:
        """Returns whether the configuration was confirmed within ``bound``."""
        age = self.age()
        return age is not None and age <= bound

    def absorb(self, delta: dict[str, typing.Any]) -> bool:
        """Takes over a delta; see ``configuration.Configuration.absorb``."""
        held = self.state.version
        taken = self.state.absorb(delta)
        if self.state.version != held:
            self.refresh()
        return taken

    def refresh(self) -> None:
        """Puts the present state in force and tells subscribers."""
        now = self._clock.monotonic()
        skipped_subjects = self.state.changed_twice_since(self.view.version)
        self._replaced = [row for row in self._replaced if now - row.until <= REPLACED_RETENTION]
        self._replaced.append(ReplacedVersion(self.view, now, skipped_subjects))
        self._since = now
        self.view = configuration.View(self.state)
        self._settle()
        self._wake()

    def confirm(self, version: int, as_of: datetime.timedelta) -> None:
        """Notes that ``version`` was the newest accepted one at a point in time.

        The confirmation counts once this process has that version in force.
        """
        if self._pending is None or as_of > self._pending[1]:
            self._pending = (version, as_of)
        self._settle()
        now = self._clock.monotonic()
        if self._published is None or now - self._published >= CONFIRM_INTERVAL * 0.9:
            self._published = now
            self._wake()

    def _settle(self) -> None:
        if self._pending is None or self.view.version < self._pending[0]:
            return
        as_of = self._pending[1]
        self._pending = None
        if self._as_of is None or as_of > self._as_of:
            self._as_of = as_of

    def _wake(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

    async def answer(self, request: dict[str, typing.Any]) -> dict[str, typing.Any]:
        """Answers a subscriber once there is news, or after a while without.

        Args:
            request: ``{"after", "reports"}`` as ``subscription`` makes it.

        Raises:
            errors.InvalidInputError: The request is malformed.
        """
        received = self._clock.monotonic()
        try:
            after = int(request["after"])
            reports = {name: Report(*fields) for name, fields in request["reports"].items()}
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise errors.InvalidInputError(f"bad subscription: {error}", step="feed") from error
        self._note(reports, received)
        if after >= self.version and not request.get("now"):
            await self._wait_news()
        delta = self.state.delta(after) if after < self.version else None
        held = self._clock.monotonic() - received
        age = self.age()
        return {
            "version": self.version,
            "delta": delta,
            "age_s": None if age is None else age.total_seconds(),
            "held_s": held.total_seconds(),
            "since_s": (self._clock.monotonic() - self._since).total_seconds(),
        }

    async def _wait_news(self) -> None:
        try:
            async with asyncio.timeout(HOLD_TIMEOUT.total_seconds()):
                await self._news.wait()
        except TimeoutError:
            pass

    def apply_answer(
        self, answer: dict[str, typing.Any], sent: datetime.timedelta, peer: str
    ) -> bool:
        """Takes over an answer of another feed.

        Args:
            answer: Value of ``answer`` at the other process.
            sent: When this process sent its request.
            peer: The other process.

        Returns:
            False when the other process is behind this one.

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
                self._since = min(self._since, since)
            if age is not None and version <= self.version:
                # The peer stated its age no earlier than the request plus the time it held it.
                self.confirm(version, sent + clock.seconds(held) - clock.seconds(float(age)))
            return True
        except (KeyError, TypeError, ValueError, errors.InvalidInputError) as error:
            raise errors.ProtocolError(f"bad answer of a feed: {error}", peer=peer) from error

    def last_replaced(self) -> ReplacedVersion | None:
        """Returns the version that was in force here before the present one, if lately."""
        return self._replaced[-1] if self._replaced else None

    def replaced_within(self, span: datetime.timedelta) -> list[ReplacedVersion]:
        """Returns the versions that others may have acted on within a span, the newest last.

        A process that started within the span has among them the empty version that it started
        with, whose skipped subjects are all that ever changed.

        Args:
            span: At most ``REPLACED_RETENTION``.
        """
        now = self._clock.monotonic()
        if now - self._since >= span:
            return []
        return [row for row in self._replaced if now - row.until < span]

    def _note(self, reports: dict[str, Report], now: datetime.timedelta) -> None:
        for name, report in reports.items():
            held = self._report_by_name.get(name)
            # Reports come over several paths while the tree changes; only news counts.
            if held is None or report.stamp > held[1].stamp:
                self._report_by_name[name] = (now, report)

    def _stamp(self) -> int:
        self._last_stamp = max(self._last_stamp + 1, int(self._clock.utc().timestamp() * 1000))
        return self._last_stamp

    def reports(self) -> dict[str, Report]:
        """Returns the latest reports of this process and of those that subscribe through it."""
        now = self._clock.monotonic()
        for name, (at, _) in list(self._report_by_name.items()):
            if now - at > REPORT_LIFETIME:
                del self._report_by_name[name]
                self._sent_by_name.pop(name, None)
        age = self.age()
        age_s = -1.0 if age is None else round(age.total_seconds(), 3)
        own = Report(self.zone, self.version, age_s, self.address, self._stamp())
        return {
            **{name: report for name, (_, report) in self._report_by_name.items()},
            self.name: own,
        }

    def _unsent(self) -> dict[str, tuple[typing.Any, ...]]:
        """Returns the reports to pass on: those with a new version, the others now and then."""
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
            now: Whether to be answered at once.
        """
        request: dict[str, typing.Any] = {"after": self.version, "reports": self._unsent()}
        if now:
            request["now"] = True
        return request


def parent_position(position: int) -> int | None:
    """Returns the position of a member's parent in its zone's tree, None for the root."""
    return None if position == 0 else (position - 1) // FAN_OUT


def choose_sources(
    instance: str, live: typing.Sequence[tuple[str, str]], control: typing.Sequence[str]
) -> list[str]:
    """Returns the addresses that an entry instance subscribes to, the preferred ones first.

    Args:
        instance: Name of the instance.
        live: Names and addresses of the live members of its zone, itself included.
        control: Addresses of the control instances.
    """
    # The first seats of a zone vote on leases; the other end of the order relays to many.
    ordered = sorted(live, reverse=True)
    position = next((i for i, (name, _) in enumerate(ordered) if name == instance), 0)
    parent = parent_position(position)
    others = [address for name, address in ordered if name != instance]
    # Instances start at different control instances, so that these share the load.
    start = sum(instance.encode()) % max(1, len(control))
    rotated = [*control[start:], *control[:start]]
    if parent is None:
        return rotated + others
    preferred = ordered[parent][1]
    return [preferred, *rotated, *(address for address in others if address != preferred)]
