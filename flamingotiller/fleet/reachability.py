"""Opens connections to endpoints, to tell the end of an endpoint from the loss of all paths."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import datetime
import random

from flamingotiller import client, clock, errors
from flamingotiller.fleet import model

# Endpoints, in as many zones, that are tried to find out whether any can be reached.
MAX_SAMPLE = 9
# Samples without a reachable endpoint, one after the other, after which the paths count as lost.
FAILED_SAMPLES = 2
# Without a response for this long, while requests are in flight, the paths are checked.
MAX_SILENCE = clock.seconds(1)
# Pause after a check, whatever gave rise to the next one.
CHECK_PAUSE = clock.seconds(0.4)


class Prober:
    """Tries connections from this gateway to endpoints. One that opens is kept for requests.

    Args:
        pool: Connections to endpoints.
        rng: Random number generator for the choice of endpoints.
    """

    def __init__(self, pool: client.ConnectionPool, rng: random.Random) -> None:
        self._pool = pool
        self._rng = rng

    async def has_ended(
        self, endpoint: model.Endpoint, others: collections.abc.Iterable[model.Endpoint]
    ) -> bool:
        """Returns whether an endpoint that broke a connection has ended.

        It has if it refuses connections while another endpoint accepts one. A gateway that reaches
        no endpoint at all learns nothing of this one.
        """
        return await self._refuses(endpoint) and await self.reaches_any(
            other for other in others if other.address != endpoint.address
        )

    async def _refuses(self, endpoint: model.Endpoint) -> bool:
        try:
            await self._pool.add_idle(endpoint.address)
        except errors.ConnectError as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        return False

    async def reaches_any(self, endpoints: collections.abc.Iterable[model.Endpoint]) -> bool:
        """Returns whether any of a sample of endpoints, one in each zone, accepts a connection."""
        sample = self._sample(endpoints)
        # In the usual case the first one answers, and no other is troubled.
        if sample and await self._accepts(sample[0]):
            return True
        attempts = [asyncio.ensure_future(self._accepts(e)) for e in sample[1:]]
        try:
            for attempt in asyncio.as_completed(attempts):
                if await attempt:
                    return True
            return False
        finally:
            for attempt in attempts:
                attempt.cancel()

    async def _accepts(self, endpoint: model.Endpoint) -> bool:
        try:
            await self._pool.add_idle(endpoint.address)
        except errors.ConnectError:
            return False
        return True

    def _sample(self, endpoints: collections.abc.Iterable[model.Endpoint]) -> list[model.Endpoint]:
        shuffled = sorted(endpoints, key=lambda endpoint: endpoint.id)
        self._rng.shuffle(shuffled)
        one_by_zone = {endpoint.zone: endpoint for endpoint in shuffled}
        return list(one_by_zone.values())[:MAX_SAMPLE]


class PathMonitor:
    """Knows whether this gateway has lost its paths to all endpoints.

    It looks when a connection could not be opened, or when responses stay out, and then until an
    endpoint accepts a connection again.

    Args:
        prober: Tries connections.
        get_endpoints: Returns the endpoints in the view.
        clk: Clock.
        on_change: Called when the paths are lost or back.

    Attributes:
        lost: Whether no endpoint can be reached.
    """

    def __init__(
        self,
        prober: Prober,
        get_endpoints: collections.abc.Callable[[], collections.abc.Collection[model.Endpoint]],
        clk: clock.Clock,
        on_change: collections.abc.Callable[[bool], None],
    ) -> None:
        self._prober = prober
        self._get_endpoints = get_endpoints
        self._clock = clk
        self._on_change = on_change
        self._in_flight = 0
        self._heard_at = clk.monotonic()
        self._failed = asyncio.Event()
        self.lost = False

    @contextlib.contextmanager
    def in_flight(self) -> collections.abc.Iterator[None]:
        """Counts a request at an endpoint while the context is open."""
        if not self._in_flight:
            self._heard_at = self._clock.monotonic()
        self._in_flight += 1
        try:
            yield
        finally:
            self._in_flight -= 1

    def on_response(self) -> None:
        """Records that an endpoint has responded."""
        self._heard_at = self._clock.monotonic()

    def on_connect_failed(self) -> None:
        """Records that a connection to an endpoint could not be opened."""
        self._failed.set()

    async def run(self) -> None:
        """Checks the paths when there is a reason to, until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_PAUSE.total_seconds()):
                    await self._failed.wait()
            if self._failed.is_set() or self._is_silent() or self.lost:
                self._failed.clear()
                await self._check()
                await asyncio.sleep(CHECK_PAUSE.total_seconds())

    def _is_silent(self) -> bool:
        silence: datetime.timedelta = self._clock.monotonic() - self._heard_at
        return self._in_flight > 0 and silence > MAX_SILENCE

    async def _check(self) -> None:
        lost = True
        for _ in range(1 if self.lost else FAILED_SAMPLES):
            endpoints = self._get_endpoints()
            # Without any endpoint in the view nothing is known of paths.
            if not endpoints or await self._prober.reaches_any(endpoints):
                lost = False
                break
        if not lost:
            self._heard_at = self._clock.monotonic()
        if lost != self.lost:
            self.lost = lost
            self._on_change(lost)
