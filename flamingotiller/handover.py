"""Permits over a change of holder: the holder before keeps its queues until their permits have been
released, and the new one leaves the slots in use alone, as far as the members of the zone say."""

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
# A holder that let its lease run out may notice it, and answer, later than its successor asks.
EMPTY_ROUNDS_TO_STOP = 10


class Handover:
    """The queues that this instance held, and what it inherits from others.

    Args:
        process: The entry instance.
    """

    def __init__(self, process: entry.EntryInstance) -> None:
        self._process = process
        self._retired: list[selection.SlotQueue] = []

    def retire(self, queue: selection.SlotQueue) -> None:
        """Keeps a queue that grants no more until its permits have been released."""
        if queue.in_flight():
            self._retired.append(queue)

    def queue_of(self, number: int) -> selection.SlotQueue | None:
        """Returns the retired queue that granted a permit, None if there is none."""
        return next((queue for queue in self._retired if queue.endpoint_of(number)), None)

    def expire(self, now: datetime.timedelta) -> None:
        """Forgets queues without permits, and permits whose requests must have ended."""
        for queue in self._retired:
            queue.expire(now)
        self._retired = [queue for queue in self._retired if queue.in_flight()]

    def counts(self, service: str) -> collections.Counter[str]:
        """Returns the permits of retired queues of a service, by endpoint."""
        total: collections.Counter[str] = collections.Counter()
        for queue in self._retired:
            if queue.service == service:
                total.update(queue.in_flight_by_endpoint())
        return total

    async def wait_released(self, limit: datetime.timedelta) -> None:
        """Waits until every permit of retired queues has been released, up to a limit."""
        end = self._process.clock.monotonic() + limit
        while self._process.clock.monotonic() < end:
            self.expire(self._process.clock.monotonic())
            if not self._retired:
                return
            await asyncio.sleep(POLL_INTERVAL.total_seconds())

    async def poll_predecessors(self, queue: selection.SlotQueue) -> None:
        """Keeps a new queue informed of the permits of the holders before."""
        quiet = 0
        while quiet < EMPTY_ROUNDS_TO_STOP:
            now = self._process.clock.monotonic()
            others = [m for m in self._process.table.live(now) if m is not self._process.table.own]
            found = await asyncio.gather(*(self._poll(m.address, queue.service) for m in others))
            total = sum(found, start=self.counts(queue.service))
            queue.inherit(total)
            quiet = 0 if total else quiet + 1
            await asyncio.sleep(POLL_INTERVAL.total_seconds())

    async def _poll(self, address: str, service: str) -> collections.Counter[str]:
        body = {"service": service}
        try:
            answer = await self._process.client.call(
                address, "POST", "/v1/slots/inherited", body, timeout=POLL_TIMEOUT
            )
            document = client.raise_for_status(answer, step="inherit", peer=address)
            return collections.Counter({str(n): int(c) for n, c in document["counts"].items()})
        except (errors.FlamingotillerError, KeyError, TypeError, ValueError, AttributeError):
            # What one that cannot be asked has granted may be shed by the endpoint.
            return collections.Counter()

    def on_inherited_request(self, body: typing.Any) -> dict[str, typing.Any]:
        """Answers the new holder of a service's shard.

        Raises:
            errors.InvalidInputError: The question is malformed.
        """
        try:
            service = str(body["service"])
        except (KeyError, TypeError) as error:
            raise errors.InvalidInputError(f"bad question: {error}", step="inherit") from error
        return {"counts": dict(self.counts(service))}
