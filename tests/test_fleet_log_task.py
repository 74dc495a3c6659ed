"""Messages that wait for a member of the log, and what a lost one costs."""

import asyncio

from flamingotiller import replica_messages
from flamingotiller.fleet import log_task


def append(round_number):
    return replica_messages.Append(1, "a", 0, 0, [], 0, round_number)


VOTE = replica_messages.VoteRequest(1, "a", 0, 0, False)


def test_append_replaces_earlier_ones_and_nothing_else():
    """Many reports after a restart: a member on a slow link gets the newest state at once."""

    async def work():
        outbox = log_task.Outbox()
        outbox.put(append(1))
        outbox.put(VOTE)
        outbox.put(append(2))
        outbox.put(append(3))
        assert [await outbox.get(), await outbox.get()] == [VOTE, append(3)]
        waiting = asyncio.ensure_future(outbox.get())
        await asyncio.sleep(0)
        assert not waiting.done()
        outbox.put(append(4))
        assert await waiting == append(4)

    asyncio.run(work())


def test_outbox_is_bounded():
    async def work():
        outbox = log_task.Outbox()
        votes = [replica_messages.VoteRequest(n, "a", 0, 0, False) for n in range(200)]
        for vote in votes:
            outbox.put(vote)
        found = [await outbox.get() for _ in range(log_task.QUEUE_PER_PEER)]
        assert found == votes[-log_task.QUEUE_PER_PEER :]

    asyncio.run(work())
