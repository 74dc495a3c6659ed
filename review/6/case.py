"""Servers in trouble send bodies without end: does every request get its answer in time?

Some backends answer a part of their requests with a head of status 500 and a body that goes on
until the caller closes, one newline a chunk. Consumers wait for up to six seconds, and the routes'
timeout is one second. Counted are the requests without an answer at the timeout, and those of them
without one half a second later. With TROUBLE=0 all answers end.
"""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "stand_ins_2"))
import rig  # noqa: E402

HOST = "register.example"
TIMEOUT_S, LATER_S, CONSUMER_WAITS_S = 1.0, 0.5, 6.0
BACKENDS, IN_TROUBLE, SPOILED_SHARE = 6, 3, 0.05
CONSUMERS, PAUSE_S, PLAY_S = 12, 0.2, 40.0


class Desk(rig.Backend):
    """A backend that spoils some of its answers if it is in trouble."""

    in_trouble = False

    async def finish(self, writer, status, fields, content):
        """Sends the answer, or one without end."""
        if not self.in_trouble or random.random() >= SPOILED_SHARE:
            await super().finish(writer, status, fields, content)
            return
        self.record.write("body without end", request=dict(fields)["X-Request-Id"])
        lines = ["HTTP/1.1 500 -", *(f"{n}: {v}" for n, v in fields), "Transfer-Encoding: chunked"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        while True:
            writer.write(b"1\r\n\n\r\n" * 2000)
            await writer.drain()
            await asyncio.sleep(0.001)


class Tally:
    """How long requests have waited for their answers."""

    def __init__(self) -> None:
        self.served = self.late = self.much_later = 0

    def count(self, waited_s: float) -> None:
        """Counts a request by the time until its answer, or until its consumer gave up."""
        self.late += waited_s > TIMEOUT_S
        self.much_later += waited_s > TIMEOUT_S + LATER_S


async def consume(system: rig.System, record: rig.Record, tally: Tally) -> None:
    """Sends requests until it is cancelled."""
    consumer = rig.Consumer(system.frontend_of(system.gateways[0]))
    while True:
        id_ = rig.new_id()
        is_filing = random.random() < 0.25
        target = f"/{'filings' if is_filing else 'names'}/{random.randrange(90)}"
        fields = [("Host", HOST), ("X-Request-Id", id_)]
        fields.append(("X-Deadline-Ms", f"{CONSUMER_WAITS_S * 1000:.0f}"))
        sent_at = record.write("sent", request=id_, path=target)
        method = "POST" if is_filing else "GET"
        answer = await consumer.ask(method, target, fields, timeout_s=CONSUMER_WAITS_S)
        waited_s = record.now() - sent_at
        status = answer.status if answer else None
        record.write("answered", request=id_, status=status, after_s=round(waited_s, 3))
        tally.served += status == 200
        tally.count(waited_s)
        await asyncio.sleep(random.uniform(0.5, 1.5) * PAUSE_S)


async def case(folder: pathlib.Path, record: rig.Record) -> bool:
    """Plays the case; returns whether the rule was broken."""
    system = rig.System(folder)
    operator = rig.Operator(system, record)
    zones = list(rig.ZONES)
    desks = [Desk(operator, record, "desk", zones[n % 3]) for n in range(BACKENDS)]
    for desk in desks[:IN_TROUBLE]:
        desk.in_trouble = rig.TROUBLE
    consumers: list[asyncio.Task] = []
    try:
        system.start_all()
        await operator.configure(
            {
                "r-names": rig.route(HOST, "/names/", "desk", timeout="1000ms"),
                "r-filings": rig.route(
                    HOST, "/filings/", "desk", timeout="1000ms", routeType="non_idempotent"
                ),
            },
            {"desk": rig.service()},
        )
        for desk in desks:
            await desk.start()
        await system.wait_until_ready()
        await asyncio.sleep(5)
        tally = Tally()
        consumers += [asyncio.create_task(consume(system, record, tally)) for _ in range(CONSUMERS)]
        await asyncio.sleep(PLAY_S)
        record.write(
            "result",
            served=tally.served,
            unanswered_at_the_timeout=tally.late,
            still_half_a_second_later=tally.much_later,
        )
        if tally.served < 100:
            raise rig.CannotRunError(f"only {tally.served} requests were served")
        return tally.much_later >= 8 and tally.much_later > tally.late / 2
    finally:
        for task in consumers:
            task.cancel()
        for desk in desks:
            await desk.crash()
        system.end_all()


if __name__ == "__main__":
    rig.run_case(__file__, case)
