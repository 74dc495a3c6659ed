"""Polls a remote steward for the replicated state, starting from a few seed addresses.

Stewards poll the leader. Gateways poll any steward, preferring the nearest that responds. A
response proves that the state it describes was current when the poll was sent, minus the age that
the source reports for its own copy."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import datetime
import typing

from flamingotiller import client, clock, errors, events

# The source holds a poll for at most this long while there is nothing new.
LONG_POLL_TIMEOUT = clock.seconds(0.3)
# A response takes the long poll, a confirmation by a majority and a round trip between regions.
RESPONSE_TIMEOUT = LONG_POLL_TIMEOUT + clock.seconds(0.7)
# Pause after a failed poll, or after a peer that names no usable leader.
RETRY_PAUSE = clock.seconds(0.1)
# After a failed poll other peers are preferred for this long, doubled with each further failure.
BASE_BACKOFF = clock.seconds(0.6)
MAX_BACKOFF = clock.seconds(5)
# Base for unreachable stewards where any steward will do: each poll of one may cost a timeout.
UNREACHABLE_BASE_BACKOFF = clock.seconds(3)

PollBuilder = collections.abc.Callable[[], dict[str, typing.Any]]
ResponseHandler = collections.abc.Callable[[dict[str, typing.Any], datetime.timedelta], None]
Distance = collections.abc.Callable[[str], int]


class Follower:
    """Polls a source of the replicated state and replaces the source when it fails.

    Args:
        peer_client: Client for calls to stewards.
        seeds: Addresses of stewards from the settings.
        clk: Clock.
        build_poll: Returns the body of the next poll.
        on_response: Called with a response and the time at which its state was current.
        distance: Returns the distance to a peer; the nearest usable one is polled. None to poll
            the leader only.
        on_poll_failed: Called when the last poll got no response.

    Attributes:
        source: Address of the leader, or of the steward that responds; empty if unknown.
        last_source: Address of the peer that responded last; empty before the first response.
        known_peers: Addresses of stewards, learned from responses.
        confirmed_at: Latest time at which the received state was known to be current, None before
            the first response.
    """

    def __init__(
        self,
        peer_client: client.Client,
        seeds: collections.abc.Sequence[str],
        clk: clock.Clock,
        build_poll: PollBuilder,
        on_response: ResponseHandler,
        distance: Distance | None = None,
        on_poll_failed: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        self._peer_client = peer_client
        self._seeds = list(seeds)
        self._clock = clk
        self._build_poll = build_poll
        self._on_response = on_response
        self._distance = distance
        self._on_poll_failed = on_poll_failed
        self._avoid_until: dict[str, datetime.timedelta] = {}
        self._failures: collections.Counter[str] = collections.Counter()
        self._rotation = 0
        self._source_reached = False
        self._source_lost_at = clk.monotonic()
        self.source = ""
        self.last_source = ""
        self.known_peers: list[str] = []
        self.confirmed_at: datetime.timedelta | None = None

    def staleness(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the time since the state was last confirmed to be current.

        Before the first response this is a day, so that nothing counts as fresh.
        """
        return now - self.confirmed_at if self.confirmed_at is not None else datetime.timedelta(1)

    def set_seeds(self, seeds: collections.abc.Sequence[str]) -> None:
        """Replaces the seeds after a change of the settings."""
        self._seeds = list(seeds)

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            await self.step()

    async def step(self) -> None:
        """Polls one peer once; after a failure the next step may poll another."""
        peer = self._next_peer()
        sent = self._clock.monotonic()
        try:
            response = await self._send_poll(peer)
        except errors.NotLeaderError as error:
            self._on_poll_failed()
            await self._redirect(peer, error, sent)
        except errors.FlamingotillerError as error:
            self._on_poll_failed()
            await self._back_off(peer, error, sent)
        else:
            as_of = sent - clock.seconds(response["age_s"])
            self._record_response(peer, response, as_of)
            self._on_response(response, as_of)

    def _next_peer(self) -> str:
        now = self._clock.monotonic()
        if self._distance is None and self._is_usable(self.source, now):
            return self.source
        peers = list(dict.fromkeys([*self.known_peers, *self._seeds]))
        usable = [peer for peer in peers if self._is_usable(peer, now)]
        self._rotation += 1
        if not usable:
            return peers[self._rotation % len(peers)]
        if self._distance is not None:
            nearest = min(self._distance(peer) for peer in usable)
            usable = [peer for peer in usable if self._distance(peer) == nearest]
            if self.source in usable:
                return self.source
        return usable[self._rotation % len(usable)]

    def _is_usable(self, peer: str, now: datetime.timedelta) -> bool:
        return bool(peer) and self._avoid_until.get(peer, clock.ZERO) <= now

    async def _send_poll(self, peer: str) -> dict[str, typing.Any]:
        response = await self._peer_client.call(
            peer, "POST", "/v1/follow", self._build_poll(), timeout=RESPONSE_TIMEOUT
        )
        return client.raise_for_status(response, step="follow", peer=peer)

    async def _redirect(
        self, peer: str, error: errors.NotLeaderError, sent: datetime.timedelta
    ) -> None:
        now = self._clock.monotonic()
        hint = error.leader
        hint_usable = hint and hint != peer and self._avoid_until.get(hint, clock.ZERO) <= now
        self.source = hint if hint_usable else ""
        self._log_source_lost(peer, error, sent)
        if not hint_usable:
            await asyncio.sleep(RETRY_PAUSE.total_seconds())

    async def _back_off(
        self, peer: str, error: errors.FlamingotillerError, sent: datetime.timedelta
    ) -> None:
        unreachable = isinstance(error, (errors.ExchangeTimeoutError, errors.ConnectError))
        base = (
            UNREACHABLE_BASE_BACKOFF if unreachable and self._distance is not None else BASE_BACKOFF
        )
        backoff = base * 2 ** min(self._failures[peer], 8)
        self._failures[peer] += 1
        self._avoid_until[peer] = self._clock.monotonic() + min(backoff, MAX_BACKOFF)
        if peer == self.source:
            self.source = ""
        self._log_source_lost(peer, error, sent)
        await asyncio.sleep(RETRY_PAUSE.total_seconds())

    def _log_source_lost(
        self, peer: str, error: errors.FlamingotillerError, sent: datetime.timedelta
    ) -> None:
        if not self._source_reached:
            return
        self._source_reached = False
        self._source_lost_at = sent
        age = round(self.staleness(self._clock.monotonic()).total_seconds(), 3)
        events.emit(events.STATE_SOURCE_UNREACHABLE, peer=peer, error=str(error), age_s=age)

    def _record_response(
        self, peer: str, response: dict[str, typing.Any], as_of: datetime.timedelta
    ) -> None:
        self.source = self.last_source = peer
        self._failures.pop(peer, None)
        # A new source may be less up to date than the previous one.
        self.confirmed_at = max(self.confirmed_at or as_of, as_of)
        self.known_peers = list(response.get("members", self.known_peers))
        if not self._source_reached:
            self._source_reached = True
            outage = (self._clock.monotonic() - self._source_lost_at).total_seconds()
            events.emit(
                events.STATE_SOURCE_REACHED,
                peer=peer,
                revision=response.get("revision"),
                after_s=round(outage, 3),
            )
