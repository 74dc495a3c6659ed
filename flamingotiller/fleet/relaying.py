"""Relays requests to other gateways while this one reaches no endpoint."""

from __future__ import annotations

import collections
import collections.abc
import contextlib
import dataclasses
import datetime
import random

import h11

from flamingotiller import clock, dispatch, wire
from flamingotiller.fleet import forwarding

# A relayed request is not relayed again; this marks the refusal of one for want of a path.
RELAYED_HEADER = forwarding.RELAYED_HEADER
NO_PATH_HEADER = b"flamingotiller-no-path"
# Statuses that promise that a request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Longest start of an endpoint's lifetime, in milliseconds.
MAX_BORN_DIGITS = 15
# The list of gateways is asked for again after this long.
LIST_LIFETIME = clock.seconds(5)
# A gateway that did not take a request is avoided for this long.
AVOIDANCE = clock.seconds(1)
# Requests in flight that a gateway of this region may have more than one of another region.
LOCAL_PREFERENCE = 4


@dataclasses.dataclass(frozen=True)
class Relay:
    """A gateway that takes requests of others.

    Attributes:
        address: Where callers and other gateways connect, ``IP:port``.
        region: Its region.
    """

    address: str
    region: str


class NoPathError(dispatch.ShedError):
    """The other gateway reaches no endpoint either; the request has not run."""


class RelayList:
    """Gateways that this one may relay requests to, as a steward named them last.

    Args:
        region: This gateway's region.
        rng: Random number generator that chooses between gateways with the same load.
    """

    def __init__(self, region: str, rng: random.Random) -> None:
        self._region = region
        self._rng = rng
        self._relays: tuple[Relay, ...] = ()
        self._updated_at: datetime.timedelta | None = None
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._avoid_until: dict[str, datetime.timedelta] = {}

    def is_due(self, now: datetime.timedelta) -> bool:
        """Returns whether the list should be asked for again."""
        is_old = self._updated_at is None or now - self._updated_at > LIST_LIFETIME
        return is_old or not self._relays

    @property
    def count(self) -> int:
        """Number of gateways that this one knows."""
        return len(self._relays)

    def update(
        self, relays: collections.abc.Iterable[tuple[str, str]], now: datetime.timedelta
    ) -> None:
        """Replaces the list by pairs of address and region."""
        self._relays = tuple(Relay(address, region) for address, region in relays)
        self._updated_at = now
        self._avoid_until = {a: until for a, until in self._avoid_until.items() if now < until}

    def choose(
        self,
        regions: frozenset[str],
        excluded: collections.abc.Collection[str],
        now: datetime.timedelta,
    ) -> Relay | None:
        """Returns the gateway with the fewest of this one's requests, preferably of its region.

        Args:
            regions: Regions that may serve the request, empty for all. Its body goes to no other,
                since the caller may not be of this region.
            excluded: Addresses of gateways that were tried before.
            now: Monotonic time.
        """
        usable = [
            relay
            for relay in self._relays
            if relay.address not in excluded
            and self._avoid_until.get(relay.address, clock.ZERO) <= now
            and (not regions or relay.region in regions)
        ]
        return min(usable, key=self._cost, default=None)

    def _cost(self, relay: Relay) -> tuple[int, float]:
        distance = 0 if relay.region == self._region else LOCAL_PREFERENCE
        return self._in_flight[relay.address] + distance, self._rng.random()

    @contextlib.contextmanager
    def in_flight(self, relay: Relay) -> collections.abc.Iterator[None]:
        """Counts a request at a gateway while the context is open."""
        self._in_flight[relay.address] += 1
        try:
            yield
        finally:
            self._in_flight[relay.address] -= 1
            if not self._in_flight[relay.address]:
                del self._in_flight[relay.address]

    def avoid(self, relay: Relay, now: datetime.timedelta) -> None:
        """Avoids a gateway for a moment that did not take a request."""
        self._avoid_until[relay.address] = now + AVOIDANCE


class RelayAttempt(forwarding.Attempt):
    """Sends a request to another gateway, which treats it like one of its own callers.

    The key goes along, and the other gateway counts the request against its organisation's rate.

    Attributes:
        leaving: Ids and starts of the lifetimes of endpoints that leave, as the response says.
    """

    leaving: tuple[tuple[str, int], ...] = ()

    def _added_headers(self) -> list[tuple[bytes, bytes]]:
        return [(RELAYED_HEADER, b"1")]

    def _on_head(self, head: h11.Response) -> None:
        for name, value in head.headers:
            born_ms, _, id_ = value.decode("latin-1").partition(" ")
            is_valid = id_ and born_ms.isdecimal() and len(born_ms) <= MAX_BORN_DIGITS
            if name == forwarding.LEAVING_HEADER and is_valid:
                self.leaving += ((id_, int(born_ms)),)

    def _not_run_error(self, head: h11.Response) -> dispatch.ShedError | None:
        if head.status_code not in NOT_RUN_STATUSES:
            return None
        self._check_refusal_is_new(head)
        self._dispatch_state.mark_not_run()
        if wire.header(head.headers, NO_PATH_HEADER) is None:
            # A refusal of the other gateway's own, which the caller gets.
            return None
        return NoPathError(
            "the other gateway reaches no endpoint", step="relay", peer=self._address
        )
