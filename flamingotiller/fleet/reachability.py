"""Opens connections to endpoints, to tell the end of an endpoint from the loss of all paths."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import datetime
import random

from flamingotiller import client, clock, errors
from flamingotiller.fleet import model

# Endpoints that are tried to find out whether any can be reached. Some may have ended, so there are
# several of a zone where there are few zones.
MAX_SAMPLE = 12
# How long the first endpoint of a sample may take before the others are tried as well.
FIRST_PROBE_TIMEOUT = clock.seconds(0.1)
# Without a response for so many times the usual time between two, within the bounds, the paths are
# checked if requests are in flight.
SILENCE_FACTOR = 8
MIN_SILENCE = clock.seconds(0.25)
MAX_SILENCE = clock.seconds(1)
# Responses over which the usual time between two is averaged.
INTERVAL_WINDOW = 20
# Pause after a check, whatever gave rise to the next one.
CHECK_PAUSE = clock.seconds(0.4)
# How often the gateway looks whether responses stay out.
SILENCE_INTERVAL = clock.seconds(0.1)


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
        """Returns whether any of a sample of endpoints, in all zones, accepts a connection."""
        sample = self._sample(endpoints)
        attempts = [asyncio.ensure_future(self._accepts(e)) for e in sample[:1]]
        try:
            # In the usual case the first one answers, and no other is troubled.
            if attempts:
                timeout = FIRST_PROBE_TIMEOUT.total_seconds()
                done, _ = await asyncio.wait(attempts, timeout=timeout)
                if done and attempts[0].result():
                    return True
            attempts += [asyncio.ensure_future(self._accepts(e)) for e in sample[1:]]
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
        first = list(one_by_zone.values())
        taken = {endpoint.id for endpoint in first}
        return [*first, *(e for e in shuffled if e.id not in taken)][:MAX_SAMPLE]


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
        self._mean_interval = MAX_SILENCE / SILENCE_FACTOR
        self._failed = asyncio.Event()
        self._check_in_progress: asyncio.Future[None] | None = None
        self.lost = False

    async def close(self) -> None:
        """Cancels a check in progress."""
        if self._check_in_progress is not None:
            self._check_in_progress.cancel()
            await asyncio.gather(self._check_in_progress, return_exceptions=True)

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
        now = self._clock.monotonic()
        interval = min(now - self._heard_at, MAX_SILENCE)
        self._mean_interval += (interval - self._mean_interval) / INTERVAL_WINDOW
        self._heard_at = now

    def on_connect_failed(self) -> None:
        """Records that a connection to an endpoint could not be opened."""
        self._failed.set()

    async def run(self) -> None:
        """Checks the paths when there is a reason to, until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SILENCE_INTERVAL.total_seconds()):
                    await self._failed.wait()
            if self._failed.is_set() or self.is_silent or self.lost:
                self._failed.clear()
                await self.verify()
                await asyncio.sleep(CHECK_PAUSE.total_seconds())

    @property
    def is_silent(self) -> bool:
        """Whether responses stay out though requests are in flight."""
        silence: datetime.timedelta = self._clock.monotonic() - self._heard_at
        usual = min(MAX_SILENCE, max(MIN_SILENCE, SILENCE_FACTOR * self._mean_interval))
        return self._in_flight > 0 and silence > usual

    async def verify(self) -> bool:
        """Tries endpoints now, in one check for all that ask at a time; returns whether the paths
        are lost."""
        if self._check_in_progress is None:
            self._check_in_progress = asyncio.ensure_future(self._check())
            self._check_in_progress.add_done_callback(self._on_checked)
        await asyncio.shield(self._check_in_progress)
        return self.lost

    def _on_checked(self, check: asyncio.Future[None]) -> None:
        self._check_in_progress = None

    async def _check(self) -> None:
        endpoints = self._get_endpoints()
        # Without any endpoint in the view nothing is known of paths.
        lost = bool(endpoints) and not await self._prober.reaches_any(endpoints)
        if lost != self.lost:
            self.lost = lost
            self._on_change(lost)
        if not lost:
            # The check is as good as a response.
            self._heard_at = self._clock.monotonic()
