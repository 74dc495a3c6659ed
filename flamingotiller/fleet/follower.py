"""Follows the log's state from afar: finds a source from a few seeds, polls it, and dates what it
says.

Stewards follow the leader. Gateways follow any steward, the nearest that answers. An answer proves
that the state it leads to was the newest at the moment the poll was sent, less the age that the
source states of its own knowledge."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import datetime
import typing

from flamingotiller import client, clock, errors, events

# The leader holds a poll at most this long when there is nothing to tell.
LONG_POLL_TIMEOUT = clock.seconds(0.3)
# An answer takes the hold, a confirmation by a majority and the way between regions.
ANSWER_TIMEOUT = LONG_POLL_TIMEOUT + clock.seconds(0.7)
# Pause after a round of peers that do not know the leader.
RETRY_PAUSE = clock.seconds(0.1)
# A peer that did not answer is asked again only after the others, doubled with each further time.
AVOID_FOR = clock.seconds(0.6)
LONGEST_AVOIDANCE = clock.seconds(5)
# Where any steward will do, one that is silent is left for longer: each try costs a timeout.
SILENT_AVOIDANCE = clock.seconds(3)

PollBuilder = collections.abc.Callable[[], dict[str, typing.Any]]
ResponseHandler = collections.abc.Callable[[dict[str, typing.Any], datetime.timedelta], None]
Distance = collections.abc.Callable[[str], int]


class Follower:
    """Polls the leader, whoever it is.

    Args:
        peers: Client for calls to control instances.
        seeds: Addresses known from the settings.
        clk: Source of time.
        build_poll: Makes the body of the next poll.
        on_response: Takes an answer and the time at which what it says was the newest.
        distance: Returns a peer's distance; the nearest that answers is asked. Given for those that
            follow any steward, left out for those that follow the leader.
        on_poll_failed: Told that the last poll has no answer.

    Attributes:
        source: Address of the leader, or of the steward that answers, as far as known.
        known: Addresses of control instances, learned from answers.
        confirmed_at: When what was last answered was the newest, None before the first answer.
    """

    def __init__(
        self,
        peers: client.Client,
        seeds: collections.abc.Sequence[str],
        clk: clock.Clock,
        build_poll: PollBuilder,
        on_response: ResponseHandler,
        distance: Distance | None = None,
        on_poll_failed: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        self._peers = peers
        self._seeds = list(seeds)
        self._clock = clk
        self._build_poll = build_poll
        self._on_response = on_response
        self._distance = distance
        self._on_poll_failed = on_poll_failed
        self._avoid_until: dict[str, datetime.timedelta] = {}
        self._failures: collections.Counter[str] = collections.Counter()
        self._turn = 0
        self._reached = False
        self._lost_at = clk.monotonic()
        self.source = ""
        self.known: list[str] = []
        self.confirmed_at: datetime.timedelta | None = None

    def staleness(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the age of what was last proved newest; huge before the first answer."""
        return now - self.confirmed_at if self.confirmed_at is not None else datetime.timedelta(1)

    def set_seeds(self, seeds: collections.abc.Sequence[str]) -> None:
        """Replaces the seeds, after the settings have changed."""
        self._seeds = list(seeds)

    async def run(self) -> None:
        """Polls for ever."""
        while True:
            await self.step()

    async def step(self) -> None:
        """Polls one peer and takes its answer, or finds out whom to ask next."""
        peer = self._next_peer()
        sent = self._clock.monotonic()
        try:
            answer = await self._ask(peer)
        except errors.NotLeaderError as error:
            self._on_poll_failed()
            await self._redirect(peer, error, sent)
        except errors.FlamingotillerError as error:
            self._on_poll_failed()
            await self._fail(peer, error, sent)
        else:
            as_of = sent - clock.seconds(answer["age_s"])
            self._note_answer(peer, answer, as_of)
            self._on_response(answer, as_of)

    def _next_peer(self) -> str:
        now = self._clock.monotonic()
        if self._distance is None and self._is_usable(self.source, now):
            return self.source
        peers = list(dict.fromkeys([*self.known, *self._seeds]))
        usable = [p for p in peers if self._is_usable(p, now)]
        self._turn += 1
        if not usable:
            return peers[self._turn % len(peers)]
        if self._distance is not None:
            nearest = min(self._distance(peer) for peer in usable)
            usable = [peer for peer in usable if self._distance(peer) == nearest]
            if self.source in usable:
                return self.source
        return usable[self._turn % len(usable)]

    def _is_usable(self, peer: str, now: datetime.timedelta) -> bool:
        return bool(peer) and self._avoid_until.get(peer, clock.ZERO) <= now

    async def _ask(self, peer: str) -> dict[str, typing.Any]:
        answer = await self._peers.call(
            peer, "POST", "/v1/follow", self._build_poll(), timeout=ANSWER_TIMEOUT
        )
        return client.raise_for_status(answer, step="follow", peer=peer)

    async def _redirect(
        self, peer: str, error: errors.NotLeaderError, sent: datetime.timedelta
    ) -> None:
        now = self._clock.monotonic()
        hint = error.leader
        usable = hint and hint != peer and self._avoid_until.get(hint, clock.ZERO) <= now
        self.source = hint if usable else ""
        self._note_silence(peer, error, sent)
        if not usable:
            await asyncio.sleep(RETRY_PAUSE.total_seconds())

    async def _fail(
        self, peer: str, error: errors.FlamingotillerError, sent: datetime.timedelta
    ) -> None:
        silent = isinstance(error, (errors.ExchangeTimeoutError, errors.ConnectError))
        base = SILENT_AVOIDANCE if silent and self._distance is not None else AVOID_FOR
        span = base * 2 ** min(self._failures[peer], 8)
        self._failures[peer] += 1
        self._avoid_until[peer] = self._clock.monotonic() + min(span, LONGEST_AVOIDANCE)
        if peer == self.source:
            self.source = ""
        self._note_silence(peer, error, sent)
        await asyncio.sleep(RETRY_PAUSE.total_seconds())

    def _note_silence(
        self, peer: str, error: errors.FlamingotillerError, sent: datetime.timedelta
    ) -> None:
        if not self._reached:
            return
        self._reached = False
        self._lost_at = sent
        age = round(self.staleness(self._clock.monotonic()).total_seconds(), 3)
        events.emit(events.LEADER_UNREACHED, peer=peer, error=str(error), age_s=age)

    def _note_answer(
        self, peer: str, answer: dict[str, typing.Any], as_of: datetime.timedelta
    ) -> None:
        self.source = peer
        self._failures.pop(peer, None)
        # Another source may know less than the one before it.
        self.confirmed_at = max(self.confirmed_at or as_of, as_of)
        self.known = list(answer.get("members", self.known))
        if not self._reached:
            self._reached = True
            after = (self._clock.monotonic() - self._lost_at).total_seconds()
            events.emit(
                events.LEADER_REACHED,
                peer=peer,
                revision=answer.get("revision"),
                after_s=round(after, 3),
            )
