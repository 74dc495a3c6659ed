"""Client of the control instances: finds the leader and retries elsewhere."""

from __future__ import annotations

import asyncio
import datetime
import typing
import uuid

from flamingotiller import client, clock, errors

REPORT_TIMEOUT = clock.seconds(3)
RETRY_INTERVAL = clock.seconds(0.05)


class ControlClient:
    """Sends requests to the leader of the control instances.

    Args:
        caller: Client with the credential for the control instances.
        addresses: Addresses of the control instances.
        clk: Source of time.
    """

    def __init__(self, caller: client.Client, addresses: typing.Sequence[str], clk: clock.Clock):
        self._client = caller
        self._addresses = list(addresses)
        self._clock = clk
        self._leader = ""

    async def call(
        self, method: str, target: str, body: typing.Any, timeout: datetime.timedelta
    ) -> typing.Any:
        """Sends a request to the leader.

        A request may reach the log more than once. That is harmless, since its change id or claim
        makes it idempotent.

        Raises:
            errors.UnavailableError: No control instance decided the request in time.
            errors.FlamingotillerError: The leader refused the request.
        """
        deadline = self._clock.monotonic() + timeout
        last_error: errors.FlamingotillerError | None = None
        while True:
            for address in self._candidates():
                remaining = deadline - self._clock.monotonic()
                if remaining <= clock.ZERO:
                    raise errors.UnavailableError(
                        f"no control instance could decide: {last_error or 'timeout'}", step=target
                    )
                try:
                    answer = await self._client.call(
                        address, method, target, body, timeout=remaining
                    )
                    document = client.raise_for_status(answer, step=target, peer=address)
                except (errors.TransportError, errors.UnavailableError) as error:
                    last_error = error
                    self._leader = error.leader if isinstance(error, errors.NotLeaderError) else ""
                    if self._leader:
                        break
                    continue
                self._leader = address
                return document
            await asyncio.sleep(RETRY_INTERVAL.total_seconds())

    def _candidates(self) -> list[str]:
        """Returns the control instances to ask, the likely leader first."""
        others = [address for address in self._addresses if address != self._leader]
        return [self._leader, *others] if self._leader else others

    async def report_quarantine(self, fingerprint: str, reason: str) -> None:
        """Requests the quarantine of a fingerprint on all instances.

        Errors are ignored; the fingerprint then stays quarantined at this instance only.
        """
        body = {
            "change_id": str(uuid.uuid4()),
            "subject": f"quarantine/{fingerprint}",
            "base": None,
            "value": {"reason": reason},
        }
        try:
            await self.call("POST", "/v1/reports/quarantine", body, REPORT_TIMEOUT)
        except errors.FlamingotillerError:
            return
