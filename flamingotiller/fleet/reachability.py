"""Opens connections to endpoints, to tell the end of an endpoint from the loss of a path to it."""

from __future__ import annotations

import asyncio
import collections.abc
import random

from flamingotiller import client, errors
from flamingotiller.fleet import model

# Endpoints, in as many zones, that are tried to find out whether any can be reached.
MAX_SAMPLE = 9


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
        attempts = [asyncio.ensure_future(self._accepts(e)) for e in self._sample(endpoints)]
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
