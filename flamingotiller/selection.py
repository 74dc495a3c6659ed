"""Endpoint selection policies.

The system uses ``slot_permits``, which queues requests centrally at the holder of the service's
shard. The other policies choose immediately from the information local to one instance; they are
the baselines for the comparison in docs/MEASUREMENTS.md."""

from __future__ import annotations

import abc
import collections
import dataclasses
import datetime
import heapq
import itertools
import random
import typing

from flamingotiller import clock, kernel, shift

# Departed sessions of endpoints that a queue remembers.
MAX_DEPARTURES = 10_000
SLOW_START = clock.seconds(2)
SPILL_RAMP = shift.RampPolicy(interval=clock.seconds(1), fraction=0.25, minimum=1.0)
SHED_PAUSE = clock.seconds(0.05)
DEATH_PAUSE = clock.seconds(1)
PERMIT_GRACE = clock.seconds(1)
MAX_QUEUE_PER_SLOT = 50


@dataclasses.dataclass
class Endpoint:
    """An announced endpoint.

    Attributes:
        name: Name, unique within the service.
        service: Name of the service.
        address: ``host:port``.
        slots: Maximum number of concurrent requests.
        connections: Maximum number of connections from all instances together.
        expires_at: Monotonic time at which the announcement expires.
        leaving: Whether the endpoint accepts no new requests.
        load: Busy slots in the endpoint's last report, which may be stale or wrong.
        session: Identifies one run of the endpoint's process; a session that has left cannot
            return.
    """

    name: str
    service: str
    address: str
    slots: int
    connections: int
    expires_at: datetime.timedelta
    leaving: bool = False
    load: int = 0
    session: str = ""


class LocalPolicy(abc.ABC):
    """Base of the policies that use only an instance's own requests and the endpoints' reports."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._in_flight_by_name: dict[str, int] = {}

    def in_flight(self, name: str) -> int:
        """Returns this instance's requests in flight at an endpoint."""
        return self._in_flight_by_name.get(name, 0)

    def begin(self, name: str) -> None:
        """Records the start of a request."""
        self._in_flight_by_name[name] = self.in_flight(name) + 1

    def end(self, name: str) -> None:
        """Records the end of a request."""
        self._in_flight_by_name[name] = self.in_flight(name) - 1
        if self._in_flight_by_name[name] <= 0:
            del self._in_flight_by_name[name]

    @abc.abstractmethod
    def choose(self, endpoints: typing.Sequence[Endpoint]) -> Endpoint:
        """Returns one of the endpoints; the sequence must not be empty."""


@kernel.selection_policies.register("random")
class RandomPolicy(LocalPolicy):
    """Chooses at random, weighted by the number of slots."""

    def choose(self, endpoints: typing.Sequence[Endpoint]) -> Endpoint:
        """Returns one of the endpoints."""
        return self._rng.choices(endpoints, [endpoint.slots for endpoint in endpoints])[0]


@kernel.selection_policies.register("least_own")
class LeastOwnPolicy(LocalPolicy):
    """Chooses the endpoint with the fewest requests of this instance per slot."""

    def choose(self, endpoints: typing.Sequence[Endpoint]) -> Endpoint:
        """Returns one of the endpoints."""
        return min(endpoints, key=lambda e: (self.in_flight(e.name) / e.slots, self._rng.random()))


@kernel.selection_policies.register("two_choices")
class TwoChoicesPolicy(LocalPolicy):
    """Chooses, of two random endpoints, the one with fewer requests of this instance per slot."""

    def choose(self, endpoints: typing.Sequence[Endpoint]) -> Endpoint:
        """Returns one of the endpoints."""
        pair = self._rng.sample(list(endpoints), min(2, len(endpoints)))
        return min(pair, key=lambda e: self.in_flight(e.name) / e.slots)


@kernel.selection_policies.register("least_reported")
class LeastReportedPolicy(LocalPolicy):
    """Chooses the endpoint with the lowest reported load per slot."""

    def choose(self, endpoints: typing.Sequence[Endpoint]) -> Endpoint:
        """Returns one of the endpoints."""
        return min(endpoints, key=lambda e: (e.load / e.slots, self._rng.random()))


@dataclasses.dataclass(frozen=True)
class Permit:
    """Permission to run one request at an endpoint.

    Attributes:
        number: Number of the permit in the queue that granted it.
        endpoint: Name of the endpoint.
        address: Address of the endpoint.
    """

    number: int
    endpoint: str
    address: str


@dataclasses.dataclass(eq=False)
class Waiter:
    """A request that waits for a slot or holds one.

    Attributes:
        organisation: Organisation that sent the request.
        weight: Weight of the organisation.
        deadline: Monotonic time after which the request is no longer wanted.
        excluded: Endpoints at which the request has already failed.
        fingerprint: Identifies the request across retries.
        suspect: Whether the request has been in flight when an endpoint crashed.
        spill: Whether the request comes from another zone.
        permit: The permit, once granted.
        withdrawn: Whether the request left the queue without a permit.
        displaced: Whether the request was removed from a full queue to make room for one that is
            served earlier.
        death_recorded: Whether the crash of its endpoint has been recorded.
    """

    organisation: str
    weight: float
    deadline: datetime.timedelta
    excluded: frozenset[str] = frozenset()
    fingerprint: str = ""
    suspect: bool = False
    spill: bool = False
    permit: Permit | None = None
    withdrawn: bool = False
    death_recorded: bool = False
    displaced: bool = False


@dataclasses.dataclass
class _EndpointState:
    """An endpoint and the queue's record of its use."""

    endpoint: Endpoint
    announced_at: datetime.timedelta
    waiter_by_permit: dict[int, Waiter] = dataclasses.field(default_factory=dict)
    spill_count: int = 0
    paused_until: datetime.timedelta = clock.ZERO

    @property
    def used(self) -> int:
        return len(self.waiter_by_permit)

    def has_suspect(self) -> bool:
        return any(waiter.suspect for waiter in self.waiter_by_permit.values())


@kernel.selection_policies.register("slot_permits")
class SlotQueue:
    """Grants the slots of one service's endpoints in a zone, fairly between organisations.

    Waiting requests are ordered by virtual finish time (weighted fair queueing), so that an
    organisation that exceeds its share delays only its own requests.

    Args:
        service: Name of the service.
        first_number: Number of the first permit; see ``lease.first_number``.
    """

    def __init__(self, service: str, first_number: int = 1) -> None:
        self.service = service
        self.state_by_endpoint: dict[str, _EndpointState] = {}
        self._heap: list[tuple[float, int, Waiter]] = []
        self._waiting = 0
        self._virtual_time = 0.0
        self._finish_by_organisation: dict[str, float] = {}
        self._numbers = itertools.count(first_number)
        self._state_by_permit: dict[int, _EndpointState] = {}
        self._spill_ramp: shift.Ramp | None = None
        self._displaced: list[Waiter] = []
        self._inherited_by_name: dict[str, int] = {}
        # Names and sessions of endpoints that have left, oldest first.
        self._departures: collections.OrderedDict[tuple[str, str], None] = collections.OrderedDict()

    def waiters(self) -> list[Waiter]:
        """Returns the waiting requests."""
        return [waiter for _, _, waiter in self._heap if not waiter.withdrawn]

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return self._waiting

    def endpoints(self, now: datetime.timedelta) -> list[Endpoint]:
        """Returns the endpoints that accept new requests."""
        return [s.endpoint for s in self.state_by_endpoint.values() if _accepts_work(s, now)]

    def slots(self, now: datetime.timedelta) -> int:
        """Returns the total slots of the endpoints that accept new requests."""
        return sum(endpoint.slots for endpoint in self.endpoints(now))

    def in_flight(self) -> int:
        """Returns the number of permits in use."""
        return len(self._state_by_permit)

    # Endpoints

    def announce(self, endpoint: Endpoint, now: datetime.timedelta) -> bool:
        """Adds an endpoint or renews its announcement; returns whether it is new."""
        if (endpoint.name, endpoint.session) in self._departures:
            # This announcement was sent before the one to leave, but arrived after it.
            return False
        state = self.state_by_endpoint.get(endpoint.name)
        if state is None or now >= state.endpoint.expires_at:
            self.state_by_endpoint[endpoint.name] = _EndpointState(endpoint, now)
            return True
        state.endpoint = endpoint
        return False

    def drain(self, name: str) -> None:
        """Grants no more slots of an endpoint until it announces itself again."""
        state = self.state_by_endpoint.get(name)
        if state:
            state.endpoint.leaving = True

    def leave(self, name: str, session: str) -> bool:
        """Grants no more slots of a session of an endpoint, also if its announcements come later.

        Returns:
            Whether it is the session that the endpoint announced last. Another one has ended
            before, or its announcement has not arrived or has expired.
        """
        self._departures[name, session] = None
        self._departures.move_to_end((name, session))
        while len(self._departures) > MAX_DEPARTURES:
            self._departures.popitem(last=False)
        state = self.state_by_endpoint.get(name)
        if state is None or state.endpoint.session != session:
            return False
        state.endpoint.leaving = True
        return True

    def pause(self, name: str, now: datetime.timedelta, pause: datetime.timedelta) -> None:
        """Suspends grants of an endpoint's slots after it shed a request or broke a connection."""
        state = self.state_by_endpoint.get(name)
        if state:
            state.paused_until = max(state.paused_until, now + pause)

    def in_flight_by_endpoint(self) -> dict[str, int]:
        """Returns the number of permits in use, by endpoint."""
        return {name: s.used for name, s in self.state_by_endpoint.items() if s.used}

    def inherit(self, counts: typing.Mapping[str, int]) -> None:
        """Sets the number of permits of earlier queues that are still in use, by endpoint."""
        self._inherited_by_name = {name: count for name, count in counts.items() if count > 0}

    def endpoint_of(self, number: int) -> str:
        """Returns the name of a permit's endpoint, or an empty string for an unknown permit."""
        state = self._state_by_permit.get(number)
        return state.endpoint.name if state else ""

    def permits_at_same_endpoint(self, number: int) -> list[int]:
        """Returns the permits in use at a permit's endpoint, or none for an unknown permit.

        The permit itself is included.
        """
        state = self._state_by_permit.get(number)
        return list(state.waiter_by_permit) if state else []

    def on_death(self, number: int) -> list[str]:
        """Records that the connection of a permit's request broke without a response.

        Returns:
            Fingerprints of all requests that were at the endpoint; empty when the crash has
            already been recorded for another of them.
        """
        state = self._state_by_permit.get(number)
        if state is None or state.waiter_by_permit[number].death_recorded:
            return []
        for waiter in state.waiter_by_permit.values():
            waiter.death_recorded = True
        return [w.fingerprint for w in state.waiter_by_permit.values() if w.fingerprint]

    def mark_suspects(self, is_suspect: typing.Callable[[str], bool]) -> None:
        """Updates which of the waiting requests are suspect."""
        for _, _, waiter in self._heap:
            waiter.suspect = bool(waiter.fingerprint) and is_suspect(waiter.fingerprint)

    def expire(self, now: datetime.timedelta) -> list[Endpoint]:
        """Removes endpoints whose announcement has expired and returns them.

        Also reclaims permits whose request must have ended: the instance that held them crashed.
        """
        for number, state in list(self._state_by_permit.items()):
            if now >= state.waiter_by_permit[number].deadline + PERMIT_GRACE:
                self.release(number)
        expired = [
            s.endpoint
            for s in self.state_by_endpoint.values()
            if now >= s.endpoint.expires_at and not s.waiter_by_permit
        ]
        for endpoint in expired:
            del self.state_by_endpoint[endpoint.name]
        return expired

    # Requests

    def ask(self, waiter: Waiter, now: datetime.timedelta) -> bool:
        """Queues a request.

        Returns:
            False, with nothing queued, when the queue is full or, for a request from another
            zone, when no slot is free for it at once.
        """
        if waiter.spill:
            return self._ask_spill(waiter, now)
        started = max(
            self._virtual_time, self._finish_by_organisation.get(waiter.organisation, 0.0)
        )
        finish = started + 1.0 / waiter.weight
        full = self._waiting >= MAX_QUEUE_PER_SLOT * max(1, self.slots(now))
        if full and not self._displace(finish):
            return False
        self._finish_by_organisation[waiter.organisation] = finish
        heapq.heappush(self._heap, (finish, next(self._numbers), waiter))
        self._waiting += 1
        return True

    def _displace(self, finish: float) -> bool:
        """Makes room in a full queue for a request that would be served before the last one.

        The last request belongs to the organisation that exceeds its share most, so one
        organisation cannot block the others by filling the queue.
        """
        live = [item for item in self._heap if not item[2].withdrawn]
        last = max(live, key=lambda item: item[:2])
        if last[0] <= finish:
            return False
        last[2].displaced = True
        self.withdraw(last[2])
        self._displaced.append(last[2])
        return True

    def _ask_spill(self, waiter: Waiter, now: datetime.timedelta) -> bool:
        if self._waiting:
            return False
        if self._spill_ramp is None:
            self._spill_ramp = shift.Ramp(SPILL_RAMP, now)
        used = sum(state.spill_count for state in self.state_by_endpoint.values())
        self._spill_ramp.record(used, now)
        if used + 1 > self._spill_ramp.limit(self.slots(now), now):
            return False
        state = self._best_endpoint(waiter, now)
        if state is None:
            return False
        self._grant(waiter, state, now)
        self._spill_ramp.record(used + 1, now)
        return True

    def withdraw(self, waiter: Waiter) -> None:
        """Removes a request from the queue; a granted request must be released instead."""
        if waiter.permit is None and not waiter.withdrawn:
            waiter.withdrawn = True
            self._waiting -= 1

    def release(self, number: int) -> None:
        """Frees the slot of a permit; an unknown permit is ignored."""
        state = self._state_by_permit.pop(number, None)
        if state:
            waiter = state.waiter_by_permit.pop(number)
            state.spill_count -= waiter.spill

    def grant(self, now: datetime.timedelta) -> list[Waiter]:
        """Grants free slots in order.

        Returns:
            The requests that got a slot, expired, or were displaced.
        """
        finished, self._displaced = self._displaced, []
        skipped = []
        while self._heap:
            item = heapq.heappop(self._heap)
            waiter = item[2]
            if waiter.withdrawn:
                continue
            if now >= waiter.deadline:
                self.withdraw(waiter)
                finished.append(waiter)
                continue
            state = self._best_endpoint(waiter, now)
            if state is None:
                skipped.append(item)
                if not self._any_free(now):
                    break
                continue
            self._virtual_time = max(self._virtual_time, item[0] - 1.0 / waiter.weight)
            self._waiting -= 1
            self._grant(waiter, state, now)
            finished.append(waiter)
        for item in skipped:
            heapq.heappush(self._heap, item)
        if not self._heap:
            self._finish_by_organisation.clear()
        return finished

    def _grant(self, waiter: Waiter, state: _EndpointState, now: datetime.timedelta) -> None:
        permit = Permit(next(self._numbers), state.endpoint.name, state.endpoint.address)
        waiter.permit = permit
        state.waiter_by_permit[permit.number] = waiter
        state.spill_count += waiter.spill
        self._state_by_permit[permit.number] = state

    def _any_free(self, now: datetime.timedelta) -> bool:
        return any(
            _accepts_work(state, now) and self._has_free(state, now)
            for state in self.state_by_endpoint.values()
        )

    def _has_free(self, state: _EndpointState, now: datetime.timedelta) -> bool:
        inherited = self._inherited_by_name.get(state.endpoint.name, 0)
        return state.used < _slots_during_slow_start(state, now) and (
            state.used + inherited < state.endpoint.slots
        )

    def _best_endpoint(self, waiter: Waiter, now: datetime.timedelta) -> _EndpointState | None:
        candidates = [
            state
            for state in self.state_by_endpoint.values()
            if _accepts_work(state, now)
            and self._has_free(state, now)
            and state.endpoint.name not in waiter.excluded
            and not (waiter.suspect and state.has_suspect())
        ]
        return min(candidates, key=lambda s: s.used / s.endpoint.slots, default=None)


def _accepts_work(state: _EndpointState, now: datetime.timedelta) -> bool:
    endpoint = state.endpoint
    return not endpoint.leaving and now < endpoint.expires_at and now >= state.paused_until


def _slots_during_slow_start(state: _EndpointState, now: datetime.timedelta) -> int:
    """Returns the usable slots: a newly announced endpoint starts with a fraction of its slots."""
    fraction = min(1.0, (now - state.announced_at) / SLOW_START)
    return max(1, int(state.endpoint.slots * fraction))
