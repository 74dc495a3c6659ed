"""Claims of request ids, by which a request that is not idempotent runs at most once.

An id is claimed at its one home before the request is dispatched. Ids handed out with a look-up
name the instance that keeps their claims and its epoch; the replicated log keeps the claims of
ids that callers choose themselves. A home that has lost its memory says so and grants nothing."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import enum
import typing

MAX_ID_LENGTH = 200
_PREFIX = "f1"


class State(enum.Enum):
    """Answer of a claim's home.

    ``GRANTED``: the arrival may run. ``RUNNING``: another arrival holds the id and may have run.
    ``FINISHED``: a run has ended and its outcome is kept by the holder. ``EXPIRED``: the home
    cannot know any more whether the id has run.
    """

    GRANTED = "granted"
    RUNNING = "running"
    FINISHED = "finished"
    EXPIRED = "expired"


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Answer to a claim.

    Attributes:
        state: What the home knows.
        holder: Address of the instance that ran the request, when finished.
    """

    state: State
    holder: str = ""


@dataclasses.dataclass(frozen=True)
class IssuedId:
    """A request id that starts with a prefix handed out by a look-up.

    Attributes:
        zone: Zone of the home.
        home: Instance that keeps the claims.
        epoch: Epoch of that instance.
        issued_ms: Milliseconds from the start of the epoch to the look-up.
    """

    zone: str
    home: str
    epoch: int
    issued_ms: int

    def prefix(self, nonce: str) -> str:
        """Returns the text that a caller extends by something unique for each request."""
        return f"{_PREFIX}.{self.zone}.{self.home}.{self.epoch}.{self.issued_ms}.{nonce}."


def parse_issued_id(text: str) -> IssuedId | None:
    """Returns what an id from a look-up says, None for an id that the caller chose."""
    parts = text.split(".", 6)
    if len(parts) != 7 or parts[0] != _PREFIX or not parts[6]:
        return None
    if not (
        parts[3].isascii() and parts[3].isdigit() and parts[4].isascii() and parts[4].isdigit()
    ):
        return None
    return IssuedId(parts[1], parts[2], int(parts[3]), int(parts[4]))


@dataclasses.dataclass
class _Claim:
    arrival: str
    holder: str
    claimed_at: datetime.timedelta
    finished: bool = False


class ClaimTable:
    """Claims kept at one home.

    Args:
        retention: How long a claim is remembered.
        capacity: Largest number of claims; beyond it no new claim is granted.
    """

    def __init__(self, retention: datetime.timedelta, capacity: int = 200_000) -> None:
        self.retention = retention
        self.capacity = capacity
        self._by_id: collections.OrderedDict[tuple[str, str], _Claim] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._by_id)

    def claim(
        self, organisation: str, request_id: str, arrival: str, holder: str, now: datetime.timedelta
    ) -> Verdict | None:
        """Claims an id for an arrival.

        Args:
            organisation: Owner of the id.
            request_id: The id.
            arrival: Unique per arrival; the same arrival may ask again.
            holder: Address of the instance where the request arrived.
            now: Time at the home.

        Returns:
            The verdict, or None when the table is full and nothing was decided.
        """
        self._prune(now)
        key = (organisation, request_id)
        held = self._by_id.get(key)
        if held is None:
            if len(self._by_id) >= self.capacity:
                return None
            self._by_id[key] = _Claim(arrival, holder, now)
            return Verdict(State.GRANTED)
        if held.finished:
            return Verdict(State.FINISHED, held.holder)
        return Verdict(State.GRANTED if held.arrival == arrival else State.RUNNING)

    def release(self, organisation: str, request_id: str, arrival: str) -> None:
        """Takes back a claim whose request was provably not run."""
        held = self._by_id.get((organisation, request_id))
        if held and held.arrival == arrival and not held.finished:
            del self._by_id[organisation, request_id]

    def finish(self, organisation: str, request_id: str, arrival: str) -> None:
        """Notes that the run has ended and that its holder keeps the outcome."""
        held = self._by_id.get((organisation, request_id))
        if held and held.arrival == arrival:
            held.finished = True

    def _prune(self, now: datetime.timedelta) -> None:
        while self._by_id:
            key, oldest = next(iter(self._by_id.items()))
            if now - oldest.claimed_at <= self.retention:
                return
            del self._by_id[key]

    def to_wire(self) -> list[typing.Any]:
        """Returns the JSON form, for snapshots."""
        return [
            [*key, c.arrival, c.holder, c.claimed_at.total_seconds(), c.finished]
            for key, c in self._by_id.items()
        ]

    def load(self, document: list[typing.Any]) -> None:
        """Fills the table from its JSON form."""
        for organisation, request_id, arrival, holder, at, finished in document:
            claim = _Claim(arrival, holder, datetime.timedelta(seconds=at), finished)
            self._by_id[organisation, request_id] = claim


class IssuedClaims:
    """Claims of the ids that this instance hands out; they live as long as its epoch.

    Args:
        home: Name of this instance.
        epoch: Its epoch; ids of any other are answered ``EXPIRED``.
        started: Monotonic time at which the epoch began.
        retention: Age of an id past which it is answered ``EXPIRED``.
    """

    def __init__(
        self, home: str, epoch: int, started: datetime.timedelta, retention: datetime.timedelta
    ) -> None:
        self._home = home
        self._epoch = epoch
        self._started = started
        self._retention = retention
        # A claim may be made as late as the retention after its id was issued, and must be
        # remembered until the id itself is refused.
        self._table = ClaimTable(2 * retention)

    def issue(self, zone: str, nonce: str, now: datetime.timedelta) -> str:
        """Returns a prefix of request ids."""
        issued_ms = int((now - self._started) / datetime.timedelta(milliseconds=1))
        return IssuedId(zone, self._home, self._epoch, issued_ms).prefix(nonce)

    def claim(
        self, organisation: str, request_id: str, arrival: str, holder: str, now: datetime.timedelta
    ) -> Verdict | None:
        """Claims an id; see ``ClaimTable.claim``."""
        issued = parse_issued_id(request_id)
        if issued is None or (issued.home, issued.epoch) != (self._home, self._epoch):
            return Verdict(State.EXPIRED)
        issued_at = self._started + datetime.timedelta(milliseconds=issued.issued_ms)
        if not now - self._retention <= issued_at <= now:
            return Verdict(State.EXPIRED)
        return self._table.claim(organisation, request_id, arrival, holder, now)

    def release(self, organisation: str, request_id: str, arrival: str) -> None:
        """See ``ClaimTable.release``."""
        self._table.release(organisation, request_id, arrival)

    def finish(self, organisation: str, request_id: str, arrival: str) -> None:
        """See ``ClaimTable.finish``."""
        self._table.finish(organisation, request_id, arrival)


@dataclasses.dataclass(frozen=True)
class Outcome:
    """A finished request's answer, kept for resends.

    Attributes:
        status: HTTP status.
        headers: Headers passed to the caller.
        body: The whole body.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class OutcomeStore:
    """Outcomes that this instance keeps, the oldest dropped beyond a bound in bytes.

    Args:
        retention: How long an outcome is kept.
        capacity_bytes: Bound on the bodies together.
    """

    MAX_BODY_BYTES = 64 * 1024

    def __init__(
        self, retention: datetime.timedelta, capacity_bytes: int = 32 * 1024 * 1024
    ) -> None:
        self._retention = retention
        self._capacity_bytes = capacity_bytes
        self._bytes = 0
        self._by_id: collections.OrderedDict[
            tuple[str, str], tuple[datetime.timedelta, Outcome]
        ] = collections.OrderedDict()

    def put(
        self, organisation: str, request_id: str, outcome: Outcome, now: datetime.timedelta
    ) -> None:
        """Keeps an outcome."""
        self._by_id[organisation, request_id] = (now, outcome)
        self._bytes += len(outcome.body)
        while self._by_id:
            at, oldest = next(iter(self._by_id.values()))
            if self._bytes <= self._capacity_bytes and now - at <= self._retention:
                return
            self._by_id.popitem(last=False)
            self._bytes -= len(oldest.body)

    def get(self, organisation: str, request_id: str) -> Outcome | None:
        """Returns a kept outcome, None if there is none."""
        held = self._by_id.get((organisation, request_id))
        return held[1] if held else None
