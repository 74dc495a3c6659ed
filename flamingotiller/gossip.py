"""Task that exchanges membership with other entry instances.

Each round it exchanges with one member of the zone. Every few rounds it also exchanges with an
instance of another zone, and with an address at which an unknown member of the zone may be found,
such as a seed. While it knows no other member, it tries these addresses in each round."""

from __future__ import annotations

import asyncio
import random
import typing

from flamingotiller import client, clock, errors, events, membership

if typing.TYPE_CHECKING:
    from flamingotiller import entry

EXCHANGE_TIMEOUT = clock.seconds(1)
ROUNDS_PER_ZONE_EXCHANGE = 6
ROUNDS_PER_SEED = 3
# Number of rounds after the start in which everything is done in each round.
STARTUP_ROUNDS = 10


class Gossip:
    """Keeps the member table of an entry instance up to date.

    Args:
        process: The entry instance.
        table: Its member table.
        rng: Source of random partners and pauses.
    """

    def __init__(
        self, process: entry.EntryInstance, table: membership.MemberTable, rng: random.Random
    ) -> None:
        self._process = process
        self._rng = rng
        self.table = table
        self._round = 0

    async def run(self) -> None:
        """Runs rounds of exchanges until cancelled."""
        while True:
            self._start_round()
            await asyncio.gather(self._exchange_in_zone(), self._exchange_between_zones())
            # Jitter keeps the instances from exchanging all at the same time.
            wait = self._process.config.gossip_interval * self._rng.uniform(0.8, 1.2)
            await asyncio.sleep(wait.total_seconds())

    def _start_round(self) -> None:
        self._round += 1
        self.table.increment_heartbeat(self._process.feed.version)
        for member in self.table.prune(self._process.clock.monotonic()):
            events.emit(events.MEMBER_DOWN, member=member.instance, zone=member.zone)

    def _is_due(self, rounds: int) -> bool:
        """Returns whether an action of every ``rounds`` rounds is due, as always at startup."""
        return self._round <= STARTUP_ROUNDS or self._round % rounds == 0

    async def _exchange_in_zone(self) -> None:
        partner = self.table.choose_partner(self._process.clock.monotonic(), self._rng)
        strangers = self.table.unknown_addresses(self._process.config.seeds)
        if partner:
            await self.exchange(partner.address)
        if strangers and (partner is None or self._is_due(ROUNDS_PER_SEED)):
            await self.greet(self._rng.choice(strangers))

    async def _exchange_between_zones(self) -> None:
        if not self._is_due(ROUNDS_PER_ZONE_EXCHANGE):
            return
        zones = list(self.table.summary_by_zone)
        if not zones:
            return
        addresses = self.table.addresses_in(self._rng.choice(zones))
        if addresses:
            await self.greet(self._rng.choice(addresses))

    async def exchange(self, address: str) -> None:
        """Exchanges with a member of this zone.

        A failure is not reported: a member that does not respond becomes silent in the table.
        """
        try:
            document = await self._call(address, "/v1/gossip", self.table.digest())
            wanted = self._merge(document["digest"])
            if document["wanted"] or wanted:
                more = {
                    "zone": self.table.own.zone,
                    "beats": {},
                    "records": self.table.records(document["wanted"]),
                    "wanted": wanted,
                }
                document = await self._call(address, "/v1/gossip", more)
                self._merge(document["digest"])
        except (errors.FlamingotillerError, KeyError, TypeError):
            return

    async def greet(self, address: str) -> None:
        """Exchanges zone summaries, and also members if the other instance is in this zone."""
        body = {"stamps": self.table.stamps(self._process.clock.monotonic()), "summaries": {}}
        try:
            document = await self._call(address, "/v1/greet", body)
            now = self._process.clock.monotonic()
            self.table.merge_summaries(document["summaries"], now)
            newer = self.table.summaries(now, _parse_stamps(document["stamps"]))
            if newer:
                more = {"stamps": self.table.stamps(now), "summaries": newer}
                await self._call(address, "/v1/greet", more)
            if document["zone"] == self.table.own.zone:
                await self.exchange(address)
        except (errors.FlamingotillerError, KeyError, TypeError):
            return

    async def _call(self, address: str, path: str, body: typing.Any) -> typing.Any:
        response = await self._process.client.call(
            address, "POST", path, body, timeout=EXCHANGE_TIMEOUT
        )
        return client.raise_for_status(response, step=path, peer=address)

    def _merge(self, digest: typing.Any) -> list[str]:
        known = set(self.table.member_by_instance)
        wanted = self.table.merge(digest, self._process.clock.monotonic())
        for name in self.table.member_by_instance.keys() - known:
            member = self.table.member_by_instance[name]
            events.emit(events.MEMBER_UP, member=name, zone=member.zone, epoch=member.epoch)
        return wanted

    def on_gossip(self, document: typing.Any) -> dict[str, typing.Any]:
        """Handles a digest from a member of this zone.

        Raises:
            errors.InvalidInputError: The digest is malformed or from another zone.
        """
        wanted = self._merge(document)
        digest = self.table.digest()
        requested = document.get("wanted", [])
        digest["records"] += self.table.records(name for name in requested if isinstance(name, str))
        return {"digest": digest, "wanted": wanted}

    def on_greeting(self, document: typing.Any) -> dict[str, typing.Any]:
        """Handles a greeting from an instance of any zone.

        Raises:
            errors.InvalidInputError: The greeting is malformed.
        """
        if not isinstance(document, dict) or not {"summaries", "stamps"} <= set(document):
            raise errors.InvalidInputError("malformed greeting", step="gossip")
        known = _parse_stamps(document["stamps"])
        now = self._process.clock.monotonic()
        self.table.merge_summaries(document["summaries"], now)
        return {
            "zone": self.table.own.zone,
            "stamps": self.table.stamps(now),
            "summaries": self.table.summaries(now, known),
        }

    async def announce_leaving(self) -> None:
        """Announces to every member of the zone that this instance is about to stop."""
        self.table.leave()
        now = self._process.clock.monotonic()
        others = [m for m in self.table.live(now) if m is not self.table.own]
        await asyncio.gather(*(self.exchange(member.address) for member in others))


def _parse_stamps(document: typing.Any) -> dict[str, int]:
    try:
        return {str(zone): int(stamp) for zone, stamp in document.items()}
    except (AttributeError, TypeError, ValueError) as error:
        raise errors.InvalidInputError(f"malformed stamps: {error}", step="gossip") from error
