"""Stewards on real sockets and disks: founding, joining, orders, reads, lost disks, full disks."""

import asyncio
import contextlib
import random
import shutil

import eventual
import pytest

from flamingotiller import clock, errors, journal, replica
from flamingotiller.fleet import accounting, model, state, steward

# Short elections, so that tests need not wait for those of production.
TIMING = replica.Timing(clock.seconds(0.03), clock.seconds(0.3))


@pytest.fixture(autouse=True)
def quick(monkeypatch):
    monkeypatch.setattr(steward, "TIMING", TIMING)
    monkeypatch.setattr(steward, "UPKEEP_INTERVAL", clock.seconds(0.03))


class Stewards:
    """Stewards at loopback addresses that share a port, as on the platform."""

    def __init__(self, folder, count=3, seeds=3):
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
        for process in list(self.by_host.values()):
            await process.stop()

    @property
    def seeds(self):
        return tuple(f"{host}:{self.port}" for host in self.hosts[: self.seed_count])

    async def start(self, host, found=False, zone=None):
        config = steward.StewardSettings(
            name=f"core-{host}", zone=zone or f"zone-{host}", region="r", host=host,
            peer_port=self.port, seeds=self.seeds, found=found, data=self.folder / host,
            report_interval=clock.seconds(1.5), region_by_zone={"a": "r"},
            tolerance=accounting.Tolerance(),
        )  # fmt: skip
        process = steward.Steward(config, clock.SystemClock(), random.Random(hash(host) % 1000))
        await process.start()
        self.by_host[host] = process
        return process

    async def stop(self, host):
        await self.by_host.pop(host).stop()

    def leaders(self):
        return [p for p in self.by_host.values() if p.log.leads]

    async def settled(self, voters):
        """Waits for one leader and a membership of so many voters."""
        await eventual.holds(
            lambda: (
                len(self.leaders()) == 1
                and len(self.leaders()[0].log.replica.members.voters) == voters
            )
        )
        return self.leaders()[0]

    async def decide(self, act):
        """Repeats an order at any steward until it is decided, as operators do."""
        for attempt in range(400):
            process = list(self.by_host.values())[attempt % len(self.by_host)]
            try:
                return await act(process)
            except errors.FlamingotillerError:
                await asyncio.sleep(0.02)
        raise AssertionError("never decided")


def order(version, base, digest="x"):
    items = {"limits/": model.to_document(model.Limits(head_bytes=version))}
    return steward.Order(version, base, digest, items, {"version": f"r{version}"})


def run(work):
    return asyncio.run(work)


def test_seeds_found_the_log_others_join_and_orders_are_taken_anywhere(tmp_path):
    async def work():
        async with Stewards(tmp_path, count=5) as site:
            await site.settled(5)
            first = await site.decide(lambda p: p.configure(order(3, 0)))
            assert first == state.Result(state.ACCEPTED, 3)
            for process in site.by_host.values():
                assert (await process.configure(order(3, 0))).verdict == state.ACCEPTED
                assert (await process.configure(order(4, 0, "y"))).verdict == state.CONFLICT
                assert await process.read_configuration() == {"version": "r3"}

    run(work())


def test_order_reaches_a_steward_that_lags_behind_its_base(tmp_path):
    """The whole order goes to the leader, which knows the version that it builds on."""

    async def work():
        async with Stewards(tmp_path) as site:
            leader = await site.settled(3)
            await site.decide(lambda p: p.configure(order(1, 0)))
            lagging = next(p for p in site.by_host.values() if p is not leader)
            lagging.state = state.FleetState()
            assert (await lagging.configure(order(2, 1))).verdict == state.ACCEPTED
            assert leader.state.source == {"version": "r2"}

    run(work())


def test_of_racing_orders_one_wins(tmp_path):
    async def work():
        async with Stewards(tmp_path) as site:
            await site.settled(3)
            await site.decide(lambda p: p.configure(order(1, 0)))
            processes = list(site.by_host.values())
            results = await asyncio.gather(
                *(p.configure(order(2, 1, f"d{n}")) for n, p in enumerate(processes))
            )
            assert sorted(r.verdict for r in results) == ["accepted", "conflict", "conflict"]

    run(work())


def test_acknowledged_survives_the_kill_of_all_and_the_leader_is_replaced(tmp_path):
    async def work():
        async with Stewards(tmp_path) as site:
            await site.settled(3)
            await site.decide(lambda p: p.configure(order(5, 0)))
            await site.decide(lambda p: p.evacuate("a", True))
            for host in site.hosts:
                await site.stop(host)
            for host in site.hosts:
                await site.start(host)
            leader = await site.settled(3)
            assert await site.decide(lambda p: p.read_configuration()) == {"version": "r5"}
            assert "evacuation/a" in leader.state.table.item_by_subject
            await site.stop(leader.config.host)
            await site.decide(lambda p: p.configure(order(6, 5)))

    run(work())


def test_lost_disk_comes_back_as_a_new_member_that_knows_all(tmp_path):
    async def work():
        async with Stewards(tmp_path) as site:
            leader = await site.settled(3)
            await site.decide(lambda p: p.configure(order(5, 0)))
            victim = next(h for h in site.hosts if site.by_host[h] is not leader)
            old = site.by_host[victim].log.replica.identity
            await site.stop(victim)
            shutil.rmtree(tmp_path / victim)
            process = await site.start(victim)
            assert process.log.replica.identity != old
            await eventual.holds(lambda: process.log.replica.identity in members(site).voters)
            assert old not in members(site).voters
            assert process.state.version == 5

    run(work())


def members(site):
    leaders = site.leaders()
    return (
        leaders[0].log.replica.members
        if leaders
        else next(iter(site.by_host.values())).log.replica.members
    )


def test_steward_without_a_majority_is_not_sure_and_says_so(tmp_path):
    async def work():
        async with Stewards(tmp_path) as site:
            leader = await site.settled(3)
            await site.decide(lambda p: p.configure(order(5, 0)))
            for host in site.hosts:
                if site.by_host[host] is not leader:
                    await site.stop(host)
            with pytest.raises(errors.UnavailableError):
                await leader.read_configuration()
            with pytest.raises(errors.UnavailableError):
                await leader.configure(order(6, 5))

    run(work())


def test_full_disk_of_the_leader_loses_nothing_and_works_again(tmp_path, monkeypatch):
    async def work():
        async with Stewards(tmp_path) as site:
            leader = await site.settled(3)
            await site.decide(lambda p: p.configure(order(5, 0)))
            store = leader.log.replica.store
            refuse = errors.SyncFailedError("no space left", step="sync")

            def fail():
                raise refuse

            with monkeypatch.context() as full:
                full.setattr(store, "sync", fail)
                full.setattr(store, "rewrite", fail)
                await site.decide(lambda p: p.configure(order(6, 5)))
                await eventual.holds(lambda: any(p is not leader for p in site.leaders()))
            await eventual.holds(lambda: not leader.log.storage_failed)
            await eventual.holds(lambda: leader.state.version == 6)
            await site.stop(leader.config.host)
            with contextlib.closing(journal.DiskJournal(tmp_path / leader.config.host)) as held:
                assert held.last_index > 0

    run(work())


def test_drain_and_departure_are_known_to_all_once_acknowledged(tmp_path):
    async def work():
        async with Stewards(tmp_path) as site:
            await site.settled(3)
            record = model.Endpoint("e1", 1000, 1, "s", "10.0.0.1:80", "a", 4)
            await site.decide(lambda p: p.report(record))
            draining = model.Endpoint("e1", 1000, 2, "s", "10.0.0.1:80", "a", 4, True)
            await site.decide(lambda p: p.report(draining))
            assert site.leaders()[0].state.endpoint("e1").draining
            await site.decide(lambda p: p.leave("e1", 1000))
            assert site.leaders()[0].state.endpoint("e1") is None

    run(work())


def test_report_of_an_unknown_zone_is_refused(tmp_path):
    async def work():
        async with Stewards(tmp_path) as site:
            await site.settled(3)
            with pytest.raises(errors.InvalidInputError):
                process = next(iter(site.by_host.values()))
                await process.report(model.Endpoint("e1", 1, 1, "s", "10.0.0.1:80", "nowhere", 4))

    run(work())
