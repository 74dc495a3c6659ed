"""Client of an organisation: looks up entry instances, caches the result, and sends requests."""

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
        seeds: Addresses of entry instances to send look-ups to.
        organisation: Name of the organisation.
        key: Key of the organisation, or None to use open routes only.
        clk: Clock for the lifetime of look-ups.
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
        self._request_id_prefix = ""
        self._expires_at = datetime.timedelta()
        self._numbers = itertools.count(1)

    async def close(self) -> None:
        """Closes idle connections."""
        await self._pool.close()

    async def instances(self) -> list[str]:
        """Returns the addresses of the entry instances to use, best first.

        Raises:
            errors.UnavailableError: No instance answered the look-up.
        """
        if self._clock.monotonic() < self._expires_at:
            return self._instances
        query = urllib.parse.urlencode({"organisation": self._organisation})
        for address in [*self._instances, *self._seeds]:
            try:
                response = await self._client.call(
                    address, "GET", f"/v1/lookup?{query}", timeout=LOOKUP_TIMEOUT
                )
                document = client.raise_for_status(response, step="look up", peer=address)
            except errors.FlamingotillerError:
                continue
            self._instances = [row["address"] for row in document["instances"]]
            self._request_id_prefix = document["request_id_prefix"]
            self._expires_at = self._clock.monotonic() + clock.seconds(document["lifetime_s"])
            return self._instances
        raise errors.UnavailableError("no entry instance answered", step="look up")

    async def new_id(self) -> str:
        """Returns a new request id with the prefix given by the look-up."""
        await self.instances()
        return f"{self._request_id_prefix}{next(self._numbers)}"

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
        """Sends a request to ``instance``, by default the best one, and returns its response.

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
