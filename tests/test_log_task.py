"""Outbox of messages to a member of the log: replaced appends and the bound."""

import asyncio

from flamingotiller import log_task, replica_messages


def append(round_number):
    return replica_messages.Append(1, "a", 0, 0, [], 0, round_number)


VOTE_REQUEST = replica_messages.VoteRequest(1, "a", 0, 0, False)


def test_append_replaces_only_earlier_appends():
    """A member on a slow link gets the newest state at once, not every append queued before it, for
    example when many endpoints report after a restart."""

    async def scenario():
        outbox = log_task.Outbox()
        outbox.put(append(1))
        outbox.put(VOTE_REQUEST)
        outbox.put(append(2))
        outbox.put(append(3))
        assert [await outbox.get(), await outbox.get()] == [VOTE_REQUEST, append(3)]
        waiting = asyncio.ensure_future(outbox.get())
        await asyncio.sleep(0)
        assert not waiting.done()
        outbox.put(append(4))
        assert await waiting == append(4)

    asyncio.run(scenario())


def test_full_outbox_drops_its_oldest_messages():
    async def scenario():
        outbox = log_task.Outbox()
        requests = [replica_messages.VoteRequest(n, "a", 0, 0, False) for n in range(200)]
        for request in requests:
            outbox.put(request)
        received = [await outbox.get() for _ in range(log_task.MAX_QUEUED_MESSAGES)]
        assert received == requests[-log_task.MAX_QUEUED_MESSAGES :]

    asyncio.run(scenario())
