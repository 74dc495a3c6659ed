"""Claims of request ids, which make a request that is not idempotent run at most once.

An id is claimed before its request is dispatched, at the one place that stores the id's claims, its
home. The home of an issued id, whose prefix came with a look-up, is the instance that issued the
prefix; the id names that instance and its epoch. The home of an id that the caller chose is the
replicated log. An instance loses its claims when it restarts: it then has another epoch and returns
``EXPIRED`` for ids of earlier ones."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import enum
import typing

MAX_ID_LENGTH = 200
_PREFIX = "f1"


class State(enum.Enum):
    """State of a request id at its home.

    ``GRANTED``: the request may run. ``RUNNING``: another request holds the claim and may have run.
    ``FINISHED``: a request with the id has run and the holder stores its outcome. ``EXPIRED``: the
    home no longer knows whether a request with the id has run.
    """

    GRANTED = "granted"
    RUNNING = "running"
    FINISHED = "finished"
    EXPIRED = "expired"


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Response to a claim.

    Attributes:
        state: State of the id.
        holder: Address of the instance that stores the outcome, if the state is ``FINISHED``.
    """

    state: State
    holder: str = ""


@dataclasses.dataclass(frozen=True)
class IssuedId:
    """The fields of a request id whose prefix was issued with a look-up.

    Attributes:
        zone: Zone of the home.
        home: Instance that issued the prefix and stores the claims.
        epoch: Epoch of that instance.
        issued_ms: Milliseconds from the start of the epoch to the look-up.
    """

    zone: str
    home: str
    epoch: int
    issued_ms: int

    def prefix(self, nonce: str) -> str:
        """Returns the prefix to which a caller adds a unique suffix for each request."""
        return f"{_PREFIX}.{self.zone}.{self.home}.{self.epoch}.{self.issued_ms}.{nonce}."


def parse_issued_id(text: str) -> IssuedId | None:
    """Parses an issued id; returns None for an id that the caller chose."""
    parts = text.split(".", 6)
    if len(parts) != 7 or parts[0] != _PREFIX or not parts[6]:
        return None
    if not (
        parts[3].isascii() and parts[3].isdecimal() and parts[4].isascii() and parts[4].isdecimal()
    ):
        return None
    return IssuedId(parts[1], parts[2], int(parts[3]), int(parts[4]))


@dataclasses.dataclass
class _Claim:
    token: str
    holder: str
    claimed_at: datetime.timedelta
    finished: bool = False


class ClaimTable:
    """Claims stored at one home.

    Args:
        retention: How long a claim is stored.
        capacity: Largest number of claims; once it is reached, no new id can be claimed.
    """

    def __init__(self, retention: datetime.timedelta, capacity: int = 200_000) -> None:
        self.retention = retention
        self.capacity = capacity
        self._by_id: collections.OrderedDict[tuple[str, str], _Claim] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._by_id)

    def claim(
        self, organisation: str, request_id: str, token: str, holder: str, now: datetime.timedelta
    ) -> Verdict | None:
        """Claims an id for one of the requests that carry it.

        Args:
            organisation: Owner of the id.
            request_id: The id.
            token: Token of the request, different when the caller resends it; a claim that is
                repeated with the same token is granted again.
            holder: Address of the instance that received the request.
            now: Time at the home.

        Returns:
            The verdict, or None if the table is full and the id was not claimed.
        """
        self._prune(now)
        key = (organisation, request_id)
        existing = self._by_id.get(key)
        if existing is None:
            if len(self._by_id) >= self.capacity:
                return None
            self._by_id[key] = _Claim(token, holder, now)
            return Verdict(State.GRANTED)
        if existing.finished:
            return Verdict(State.FINISHED, existing.holder)
        return Verdict(State.GRANTED if existing.token == token else State.RUNNING)

    def release(self, organisation: str, request_id: str, token: str) -> None:
        """Removes the claim of a request that certainly did not run."""
        existing = self._by_id.get((organisation, request_id))
        if existing and existing.token == token and not existing.finished:
            del self._by_id[organisation, request_id]

    def finish(self, organisation: str, request_id: str, token: str) -> None:
        """Records that the request has run and that the holder stores its outcome."""
        existing = self._by_id.get((organisation, request_id))
        if existing and existing.token == token:
            existing.finished = True

    def _prune(self, now: datetime.timedelta) -> None:
        while self._by_id:
            key, oldest = next(iter(self._by_id.items()))
            if now - oldest.claimed_at <= self.retention:
                return
            del self._by_id[key]

    def to_wire(self) -> list[typing.Any]:
        """Returns the JSON form, for snapshots."""
        return [
            [*key, claim.token, claim.holder, claim.claimed_at.total_seconds(), claim.finished]
            for key, claim in self._by_id.items()
        ]

    def load(self, document: list[typing.Any]) -> None:
        """Fills the table from its JSON form."""
        for organisation, request_id, token, holder, claimed_at_s, finished in document:
            claim = _Claim(token, holder, datetime.timedelta(seconds=claimed_at_s), finished)
            self._by_id[organisation, request_id] = claim


class IssuedClaims:
    """Claims of the ids that this instance issues, stored until its epoch ends.

    Args:
        home: Name of this instance.
        epoch: Its epoch; ids of another epoch are ``EXPIRED``.
        started: Monotonic time at which the epoch began.
        retention: Age above which an id is ``EXPIRED``.
    """

    def __init__(
        self, home: str, epoch: int, started: datetime.timedelta, retention: datetime.timedelta
    ) -> None:
        self._home = home
        self._epoch = epoch
        self._started = started
        self._retention = retention
        # An id may be claimed for as long as the retention after its issue, and the claim has to be
        # stored until the id itself expires.
        self._table = ClaimTable(2 * retention)

    def issue(self, zone: str, nonce: str, now: datetime.timedelta) -> str:
        """Issues a prefix of request ids."""
        issued_ms = int((now - self._started) / datetime.timedelta(milliseconds=1))
        return IssuedId(zone, self._home, self._epoch, issued_ms).prefix(nonce)

    def claim(
        self, organisation: str, request_id: str, token: str, holder: str, now: datetime.timedelta
    ) -> Verdict | None:
        """Claims an id; see ``ClaimTable.claim``."""
        issued = parse_issued_id(request_id)
        if issued is None or (issued.home, issued.epoch) != (self._home, self._epoch):
            return Verdict(State.EXPIRED)
        issued_at = self._started + datetime.timedelta(milliseconds=issued.issued_ms)
        if not now - self._retention <= issued_at <= now:
            return Verdict(State.EXPIRED)
        return self._table.claim(organisation, request_id, token, holder, now)

    def release(self, organisation: str, request_id: str, token: str) -> None:
        """See ``ClaimTable.release``."""
        self._table.release(organisation, request_id, token)

    def finish(self, organisation: str, request_id: str, token: str) -> None:
        """See ``ClaimTable.finish``."""
        self._table.finish(organisation, request_id, token)


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The response to a finished request, stored for resends.

    Attributes:
        status: HTTP status.
        headers: Headers sent to the caller.
        body: The complete body.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class OutcomeStore:
    """Outcomes stored at this instance; the oldest are dropped when the bodies grow too large.

    Args:
        retention: How long an outcome is stored.
        capacity_bytes: Limit of the total size of the bodies.
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
        """Stores an outcome and drops those that are too old or exceed the capacity."""
        self._by_id[organisation, request_id] = (now, outcome)
        self._bytes += len(outcome.body)
        while self._by_id:
            stored_at, oldest = next(iter(self._by_id.values()))
            if self._bytes <= self._capacity_bytes and now - stored_at <= self._retention:
                return
            self._by_id.popitem(last=False)
            self._bytes -= len(oldest.body)

    def get(self, organisation: str, request_id: str) -> Outcome | None:
        """Returns the stored outcome, None if there is none."""
        entry = self._by_id.get((organisation, request_id))
        return entry[1] if entry else None
