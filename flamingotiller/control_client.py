"""Calls of the control instances: finds the leader, follows its hints, tries the others."""

from __future__ import annotations

import asyncio
import datetime
import typing
import uuid

from flamingotiller import client, clock, errors

REPORT_TIMEOUT = clock.seconds(3)
ROUND_PAUSE = clock.seconds(0.05)


class ControlClient:
    """Speaks with whichever control instance leads.

    Args:
        caller: Client with the right credential.
        addresses: Control instances.
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

        A request may reach the log more than once; its change id or claim makes that harmless.

        Raises:
            errors.FlamingotillerError: The leader's refusal, or why no leader could be asked.
        """
        deadline = self._clock.monotonic() + timeout
        last: errors.FlamingotillerError | None = None
        while True:
            for address in self._candidates():
                left = deadline - self._clock.monotonic()
                if left <= clock.ZERO:
                    raise errors.UnavailableError(
                        f"no control instance could decide: {last or 'timeout'}", step=target
                    )
                try:
                    answer = await self._client.call(address, method, target, body, timeout=left)
                    document = client.raise_for_status(answer, step=target, peer=address)
                except (errors.TransportError, errors.UnavailableError) as error:
                    last = error
                    self._leader = error.leader if isinstance(error, errors.NotLeaderError) else ""
                    if self._leader:
                        break
                    continue
                self._leader = address
                return document
            await asyncio.sleep(ROUND_PAUSE.total_seconds())

    def _candidates(self) -> list[str]:
        """Returns the control instances to ask, the likely leader first."""
        others = [address for address in self._addresses if address != self._leader]
        return [self._leader, *others] if self._leader else others

    async def report_quarantine(self, fingerprint: str, reason: str) -> None:
        """Asks for a fingerprint to be refused everywhere; a failure leaves it refused here."""
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
