"""Permits across a change of the holder of a service's shard.

The previous holder keeps its queues until their permits have been released. The new holder polls
the members of its zone for such permits and does not grant the slots that they occupy."""

from __future__ import annotations

import asyncio
import collections
import datetime
import typing

from flamingotiller import client, clock, errors, selection

if typing.TYPE_CHECKING:
    from flamingotiller import entry

POLL_INTERVAL = clock.seconds(0.2)
POLL_TIMEOUT = clock.seconds(0.5)
# Consecutive rounds without permits after which polling stops. One is not enough: a holder whose
# lease ran out may notice this, and report its permits, only after its successor has polled it.
EMPTY_ROUNDS_TO_STOP = 10


class Handover:
    """Retired queues of this instance, and permits inherited from earlier holders.

    Args:
        process: The entry instance.
    """

    def __init__(self, process: entry.EntryInstance) -> None:
        self._process = process
        self._retired: list[selection.SlotQueue] = []

    def retire(self, queue: selection.SlotQueue) -> None:
        """Keeps a queue, which grants no further permits, until its permits have been released."""
        if queue.in_flight():
            self._retired.append(queue)

    def queue_of(self, number: int) -> selection.SlotQueue | None:
        """Returns the retired queue that granted a permit, None if there is none."""
        return next((queue for queue in self._retired if queue.endpoint_of(number)), None)

    def expire(self, now: datetime.timedelta) -> None:
        """Drops permits whose requests must have ended, and queues without permits."""
        for queue in self._retired:
            queue.expire(now)
        self._retired = [queue for queue in self._retired if queue.in_flight()]

    def counts(self, service: str) -> collections.Counter[str]:
        """Returns the number of permits of a service's retired queues, by endpoint."""
        total: collections.Counter[str] = collections.Counter()
        for queue in self._retired:
            if queue.service == service:
                total.update(queue.in_flight_by_endpoint())
        return total

    async def wait_released(self, limit: datetime.timedelta) -> None:
        """Waits until all permits of retired queues have been released, at most for ``limit``."""
        end = self._process.clock.monotonic() + limit
        while self._process.clock.monotonic() < end:
            self.expire(self._process.clock.monotonic())
            if not self._retired:
                return
            await asyncio.sleep(POLL_INTERVAL.total_seconds())

    async def poll_predecessors(self, queue: selection.SlotQueue) -> None:
        """Polls the zone for permits of earlier holders and passes them to a new queue."""
        empty_rounds = 0
        while empty_rounds < EMPTY_ROUNDS_TO_STOP:
            now = self._process.clock.monotonic()
            others = [m for m in self._process.table.live(now) if m is not self._process.table.own]
            counts = await asyncio.gather(*(self._poll(m.address, queue.service) for m in others))
            total = sum(counts, start=self.counts(queue.service))
            queue.inherit(total)
            empty_rounds = 0 if total else empty_rounds + 1
            await asyncio.sleep(POLL_INTERVAL.total_seconds())

    async def _poll(self, address: str, service: str) -> collections.Counter[str]:
        body = {"service": service}
        try:
            response = await self._process.client.call(
                address, "POST", "/v1/slots/inherited", body, timeout=POLL_TIMEOUT
            )
            document = client.raise_for_status(response, step="inherit", peer=address)
            return collections.Counter({str(n): int(c) for n, c in document["counts"].items()})
        except (errors.FlamingotillerError, KeyError, TypeError, ValueError, AttributeError):
            # The permits of a member that cannot be polled are not counted; if this overloads the
            # endpoint, it sheds the excess.
            return collections.Counter()

    def on_inherited_request(self, body: typing.Any) -> dict[str, typing.Any]:
        """Handles the poll of the new holder of a service's shard.

        Raises:
            errors.InvalidInputError: The request is malformed.
        """
        try:
            service = str(body["service"])
        except (KeyError, TypeError) as error:
            raise errors.InvalidInputError(f"malformed request: {error}", step="inherit") from error
        return {"counts": dict(self.counts(service))}
