"""Choice of an endpoint.

``slot_permits`` queues centrally at the holder of the service's shard and is what the system uses;
the other policies choose at once from what one instance knows and are the baselines that it is
measured against in docs/MEASUREMENTS.md."""

from __future__ import annotations

import abc
import dataclasses
import datetime
import heapq
import itertools
import random
import typing

from flamingotiller import clock, kernel, shift

SLOW_START = clock.seconds(2)
SPILL_RAMP = shift.RampPolicy(interval=clock.seconds(1), fraction=0.25, minimum=1.0)
SHED_PAUSE = clock.seconds(0.05)
DEATH_PAUSE = clock.seconds(1)
PERMIT_GRACE = clock.seconds(1)
MAX_QUEUE_PER_SLOT = 50


@dataclasses.dataclass
class Endpoint:
    """An endpoint in service.

    Attributes:
        name: Unique within its service.
        service: What it serves.
        address: ``host:port``.
        slots: Requests that it runs at once.
        connections: Connections that it accepts from all instances together.
        expires_at: Monotonic time at which its announcement runs out.
        leaving: Whether it takes no new work.
        load: Busy slots as it last reported; may lag or mislead.
        session: Distinguishes its runs; one that has left cannot come back.
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
    """Chooses from what one instance knows: its own requests and the endpoints' reports."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._in_flight_by_name: dict[str, int] = {}

    def in_flight(self, name: str) -> int:
        """Returns this instance's requests in flight at an endpoint."""
        return self._in_flight_by_name.get(name, 0)

    def begin(self, name: str) -> None:
        """Notes a request sent."""
        self._in_flight_by_name[name] = self.in_flight(name) + 1

    def end(self, name: str) -> None:
        """Notes the end of a request."""
        self._in_flight_by_name[name] = self.in_flight(name) - 1
        if self._in_flight_by_name[name] <= 0:
            del self._in_flight_by_name[name]

    @abc.abstractmethod
    def choose(self, endpoints: typing.Sequence[Endpoint]) -> Endpoint:
        """Returns one of the endpoints, of which there is at least one."""


@kernel.selection_policies.register("random")
class RandomPolicy(LocalPolicy):
    """Any endpoint, by its number of slots."""

    def choose(self, endpoints: typing.Sequence[Endpoint]) -> Endpoint:
        """Returns one of the endpoints."""
        return self._rng.choices(endpoints, [endpoint.slots for endpoint in endpoints])[0]


@kernel.selection_policies.register("least_own")
class LeastOwnPolicy(LocalPolicy):
    """The endpoint with the fewest requests of this instance per slot."""

    def choose(self, endpoints: typing.Sequence[Endpoint]) -> Endpoint:
        """Returns one of the endpoints."""
        return min(endpoints, key=lambda e: (self.in_flight(e.name) / e.slots, self._rng.random()))


@kernel.selection_policies.register("two_choices")
class TwoChoicesPolicy(LocalPolicy):
    """The better of two random endpoints by this instance's requests per slot."""

    def choose(self, endpoints: typing.Sequence[Endpoint]) -> Endpoint:
        """Returns one of the endpoints."""
        pair = self._rng.sample(list(endpoints), min(2, len(endpoints)))
        return min(pair, key=lambda e: self.in_flight(e.name) / e.slots)


@kernel.selection_policies.register("least_reported")
class LeastReportedPolicy(LocalPolicy):
    """The endpoint with the lowest reported load per slot."""

    def choose(self, endpoints: typing.Sequence[Endpoint]) -> Endpoint:
        """Returns one of the endpoints."""
        return min(endpoints, key=lambda e: (e.load / e.slots, self._rng.random()))


@dataclasses.dataclass(frozen=True)
class Permit:
    """The right to run one request at an endpoint.

    Attributes:
        number: Identifies the permit at its queue.
        endpoint: Name of the endpoint.
        address: Its address.
    """

    number: int
    endpoint: str
    address: str


@dataclasses.dataclass(eq=False)
class Waiter:
    """A request that waits for a slot.

    Attributes:
        organisation: Whose request it is.
        weight: Weight of the organisation.
        deadline: Monotonic time past which it is not wanted any more.
        excluded: Endpoints that have already failed it.
        fingerprint: Identifies it when it is sent again.
        suspect: Whether it was in flight when an endpoint died.
        spill: Whether it comes from another zone.
        permit: Set once granted.
        withdrawn: Whether it left the queue without a permit.
        displaced: Whether it left the full queue for a request served before it.
        death_noted: Whether the death of its endpoint has been noted.
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
    death_noted: bool = False
    displaced: bool = False


@dataclasses.dataclass
class _EndpointState:
    """An endpoint and what the queue knows of its use."""

    endpoint: Endpoint
    since: datetime.timedelta
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
    """Hands out the slots of one service's endpoints in a zone, fairly between organisations.

    Waiting requests are ordered by virtual finish time (weighted fair queueing), so that an
    organisation that sends more than its part waits behind itself only.

    Args:
        service: The service.
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

    def waiters(self) -> list[Waiter]:
        """Returns the requests in the queue."""
        return [waiter for _, _, waiter in self._heap if not waiter.withdrawn]

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return self._waiting

    def endpoints(self, now: datetime.timedelta) -> list[Endpoint]:
        """Returns the endpoints that take new work."""
        return [s.endpoint for s in self.state_by_endpoint.values() if _accepts_work(s, now)]

    def slots(self, now: datetime.timedelta) -> int:
        """Returns the slots of the endpoints that take new work."""
        return sum(endpoint.slots for endpoint in self.endpoints(now))

    def in_flight(self) -> int:
        """Returns the permits in use."""
        return len(self._state_by_permit)

    # Endpoints

    def announce(self, endpoint: Endpoint, now: datetime.timedelta) -> bool:
        """Adds an endpoint or renews its announcement; returns whether it is new."""
        state = self.state_by_endpoint.get(endpoint.name)
        if state is None or now >= state.endpoint.expires_at:
            self.state_by_endpoint[endpoint.name] = _EndpointState(endpoint, now)
            return True
        if state.endpoint.leaving and state.endpoint.session == endpoint.session:
            # A renewal that was overtaken by the announcement to leave.
            return False
        state.endpoint = endpoint
        return False

    def leave(self, name: str) -> None:
        """Gives an endpoint no new work any more."""
        state = self.state_by_endpoint.get(name)
        if state:
            state.endpoint.leaving = True

    def pause(self, name: str, now: datetime.timedelta, pause: datetime.timedelta) -> None:
        """Gives an endpoint no new work for a while, after it shed or broke a connection."""
        state = self.state_by_endpoint.get(name)
        if state:
            state.paused_until = max(state.paused_until, now + pause)

    def in_flight_by_endpoint(self) -> dict[str, int]:
        """Returns the permits in use by endpoint."""
        return {name: s.used for name, s in self.state_by_endpoint.items() if s.used}

    def inherit(self, counts: typing.Mapping[str, int]) -> None:
        """Notes how many permits of earlier queues are in use, by endpoint."""
        self._inherited_by_name = {name: count for name, count in counts.items() if count > 0}

    def endpoint_of(self, number: int) -> str:
        """Returns the name of a permit's endpoint, empty when the permit is not held."""
        state = self._state_by_permit.get(number)
        return state.endpoint.name if state else ""

    def permits_at_same_endpoint(self, number: int) -> list[int]:
        """Returns the permits at a permit's endpoint, itself included; none if it is not held."""
        state = self._state_by_permit.get(number)
        return list(state.waiter_by_permit) if state else []

    def on_death(self, number: int) -> list[str]:
        """Notes that the connection of a permit broke without an answer.

        Returns:
            Fingerprints of all requests that were at the endpoint; empty when its death has
            been noted by way of another of them.
        """
        state = self._state_by_permit.get(number)
        if state is None or state.waiter_by_permit[number].death_noted:
            return []
        for waiter in state.waiter_by_permit.values():
            waiter.death_noted = True
        return [w.fingerprint for w in state.waiter_by_permit.values() if w.fingerprint]

    def mark_suspects(self, is_suspect: typing.Callable[[str], bool]) -> None:
        """Looks again at which of the waiting requests are suspected."""
        for _, _, waiter in self._heap:
            waiter.suspect = bool(waiter.fingerprint) and is_suspect(waiter.fingerprint)

    def expire(self, now: datetime.timedelta) -> list[Endpoint]:
        """Removes endpoints whose announcement has run out and returns them.

        Permits whose request must have ended are taken back too: their instance has died.
        """
        for number, state in list(self._state_by_permit.items()):
            if now >= state.waiter_by_permit[number].deadline + PERMIT_GRACE:
                self.release(number)
        gone = [
            s.endpoint
            for s in self.state_by_endpoint.values()
            if now >= s.endpoint.expires_at and not s.waiter_by_permit
        ]
        for endpoint in gone:
            del self.state_by_endpoint[endpoint.name]
        return gone

    # Requests

    def ask(self, waiter: Waiter, now: datetime.timedelta) -> bool:
        """Queues a request.

        Returns:
            False, with nothing queued, when the queue is full or, for a request of another
            zone, when nothing is free for it at once.
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

        The last one belongs to the organisation that has sent most beyond its part, so that one
        organisation cannot keep the others out by filling the queue.
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
        self._spill_ramp.note(used, now)
        if used + 1 > self._spill_ramp.limit(self.slots(now), now):
            return False
        state = self._best_endpoint(waiter, now)
        if state is None:
            return False
        self._grant(waiter, state, now)
        self._spill_ramp.note(used + 1, now)
        return True

    def withdraw(self, waiter: Waiter) -> None:
        """Takes a request out of the queue; one that was granted must be released instead."""
        if waiter.permit is None and not waiter.withdrawn:
            waiter.withdrawn = True
            self._waiting -= 1

    def release(self, number: int) -> None:
        """Takes a permit back."""
        state = self._state_by_permit.pop(number, None)
        if state:
            waiter = state.waiter_by_permit.pop(number)
            state.spill_count -= waiter.spill

    def grant(self, now: datetime.timedelta) -> list[Waiter]:
        """Grants free slots in order and returns the requests that got one or left without one."""
        done, self._displaced = self._displaced, []
        skipped = []
        while self._heap:
            item = heapq.heappop(self._heap)
            waiter = item[2]
            if waiter.withdrawn:
                continue
            if now >= waiter.deadline:
                self.withdraw(waiter)
                done.append(waiter)
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
            done.append(waiter)
        for item in skipped:
            heapq.heappush(self._heap, item)
        if not self._heap:
            self._finish_by_organisation.clear()
        return done

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
    """Returns the slots in use for now: an endpoint just back starts with a part of them."""
    part = min(1.0, (now - state.since) / SLOW_START)
    return max(1, int(state.endpoint.slots * part))
