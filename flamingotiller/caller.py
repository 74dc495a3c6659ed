"""A caller: looks up entry instances, keeps the answer for its lifetime, and sends requests."""

from __future__ import annotations

import datetime
import itertools
import typing
import urllib.parse

from flamingotiller import client, clock, errors

LOOKUP_TIMEOUT = clock.seconds(2)


class Caller:
    """Sends an organisation's requests.

    Args:
        seeds: Addresses of entry instances to look up at.
        organisation: Whose requests they are.
        key: Its key, None for open routes.
        clk: Source of time.
    """

    def __init__(
        self, seeds: typing.Sequence[str], organisation: str, key: str | None, clk: clock.Clock
    ) -> None:
        self._seeds = list(seeds)
        self._organisation = organisation
        self._key = key
        self._clock = clk
        self._pool = client.ConnectionPool()
        self._client = client.Client(self._pool)
        self._instances: list[str] = []
        self._prefix = ""
        self._until = datetime.timedelta()
        self._numbers = itertools.count(1)

    async def close(self) -> None:
        """Closes connections."""
        await self._pool.close()

    async def instances(self) -> list[str]:
        """Returns the entry instances to use, best first.

        Raises:
            errors.UnavailableError: No instance answered the look-up.
        """
        if self._clock.monotonic() < self._until:
            return self._instances
        query = urllib.parse.urlencode({"organisation": self._organisation})
        for address in [*self._instances, *self._seeds]:
            try:
                answer = await self._client.call(
                    address, "GET", f"/v1/lookup?{query}", timeout=LOOKUP_TIMEOUT
                )
                document = client.raise_for_status(answer, step="look up", peer=address)
            except errors.FlamingotillerError:
                continue
            self._instances = [row["address"] for row in document["instances"]]
            self._prefix = document["request_id_prefix"]
            self._until = self._clock.monotonic() + clock.seconds(document["lifetime_s"])
            return self._instances
        raise errors.UnavailableError("no entry instance answered", step="look up")

    async def new_id(self) -> str:
        """Returns a request id made from the look-up's prefix."""
        await self.instances()
        return f"{self._prefix}{next(self._numbers)}"

    async def send(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        request_id: str | None = None,
        timeout: datetime.timedelta = clock.seconds(10),
        instance: str | None = None,
    ) -> client.Response:
        """Sends a request to the best instance, or to the one named.

        Raises:
            errors.TransportError: The exchange failed.
        """
        headers = [("flamingotiller-organisation", self._organisation)]
        if self._key is not None:
            headers.append(("flamingotiller-key", self._key))
        if request_id is not None:
            headers.append(("idempotency-key", request_id))
        address = instance or (await self.instances())[0]
        return await self._client.call(
            address, method, target, body, timeout=timeout, headers=headers, raw=True
        )
