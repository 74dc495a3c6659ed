"""A cluster of stewards on real sockets and disks."""

import asyncio
import random

import polling

from flamingotiller import clock, errors, replica
from flamingotiller.fleet import accounting, steward

# Shorter than in production, to speed up the tests.
TIMING = replica.Timing(clock.seconds(0.03), clock.seconds(0.3))


def shorten_timeouts(monkeypatch):
    monkeypatch.setattr(steward, "TIMING", TIMING)
    monkeypatch.setattr(steward, "UPKEEP_INTERVAL", clock.seconds(0.03))


class StewardCluster:
    """Stewards at loopback addresses that share a port, as on the platform."""

    def __init__(self, folder, count=3, seeds=3, region_by_zone=None):
        self.region_by_zone = region_by_zone or {"a": "r"}
        self.folder = folder
        self.hosts = [f"127.0.0.{11 + n}" for n in range(count)]
        self.seed_count = seeds
        self.by_host = {}

    async def __aenter__(self):
        probe = await asyncio.start_server(lambda r, w: None, self.hosts[0], 0)
        self.port = probe.sockets[0].getsockname()[1]
        probe.close()
        await probe.wait_closed()
        for host in self.hosts:
            await self.start(host, found=True)
        return self

    async def __aexit__(self, *error):
        for node in list(self.by_host.values()):
            await node.stop()

    @property
    def seeds(self):
        return tuple(f"{host}:{self.port}" for host in self.hosts[: self.seed_count])

    async def start(self, host, found=False, zone=None, seeds=None):
        config = steward.StewardSettings(
            name=f"core-{host}", zone=zone or f"zone-{host}", region="r", host=host,
            peer_port=self.port, seeds=seeds or self.seeds, found=found, data=self.folder / host,
            report_interval=clock.seconds(1.5), region_by_zone=self.region_by_zone,
            tolerance=accounting.Tolerance(),
        )  # fmt: skip
        node = steward.Steward(config, clock.SystemClock(), random.Random(hash(host) % 1000))
        await node.start()
        self.by_host[host] = node
        return node

    async def stop(self, host):
        await self.by_host.pop(host).stop()

    def leaders(self):
        return [n for n in self.by_host.values() if n.log.is_leader]

    async def wait_for_voters(self, voters):
        """Waits for a single leader and the given number of voters; returns the leader."""
        await polling.wait_until(
            lambda: (
                len(self.leaders()) == 1
                and len(self.leaders()[0].log.replica.members.voters) == voters
            )
        )
        return self.leaders()[0]

    async def retry(self, call):
        """Repeats a call at one steward after another until it succeeds, as operators do."""
        for attempt in range(400):
            node = list(self.by_host.values())[attempt % len(self.by_host)]
            try:
                return await call(node)
            except errors.FlamingotillerError:
                await asyncio.sleep(0.02)
        raise AssertionError("no steward completed the call")
