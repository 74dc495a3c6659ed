"""Stewards on real sockets and disks: bootstrap, joining, updates, reads, lost and full disks."""

import asyncio
import contextlib
import dataclasses
import random
import shutil

import polling
import pytest
import steward_cluster

from flamingotiller import clock, errors, events, journal, log_task, server
from flamingotiller.fleet import accounting, model, presence, state, steward
from flamingotiller.platform import calls

StewardCluster = steward_cluster.StewardCluster


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch):
    steward_cluster.shorten_timeouts(monkeypatch)


def update(version, base, digest="x"):
    items = {"limits/": model.to_document(model.Limits(head_bytes=version))}
    return steward.ConfigurationUpdate(version, base, digest, items, {"version": f"r{version}"})


def current_members(cluster):
    leaders = cluster.leaders()
    node = leaders[0] if leaders else next(iter(cluster.by_host.values()))
    return node.log.replica.members


def test_seeds_bootstrap_the_log_and_any_steward_accepts_updates(tmp_path):
    async def scenario():
        async with StewardCluster(tmp_path, count=5) as cluster:
            await cluster.wait_for_voters(5)
            result = await cluster.retry(lambda n: n.configure(update(3, 0)))
            assert result == state.Result(state.ACCEPTED, 3)
            for node in cluster.by_host.values():
                assert (await node.configure(update(3, 0))).verdict == state.ACCEPTED
                assert (await node.configure(update(4, 0, "y"))).verdict == state.CONFLICT
                assert await node.read_configuration() == {"version": "r3"}

    asyncio.run(scenario())


def test_update_at_a_steward_that_lags_behind_its_base(tmp_path):
    """The whole update is forwarded to the leader, which has applied the base version."""

    async def scenario():
        async with StewardCluster(tmp_path) as cluster:
            leader = await cluster.wait_for_voters(3)
            await cluster.retry(lambda n: n.configure(update(1, 0)))
            lagging = next(n for n in cluster.by_host.values() if n is not leader)
            lagging.state = state.FleetState()
            assert (await lagging.configure(update(2, 1))).verdict == state.ACCEPTED
            assert leader.state.source == {"version": "r2"}

    asyncio.run(scenario())


def test_one_of_several_concurrent_updates_wins(tmp_path):
    async def scenario():
        async with StewardCluster(tmp_path) as cluster:
            await cluster.wait_for_voters(3)
            await cluster.retry(lambda n: n.configure(update(1, 0)))
            nodes = list(cluster.by_host.values())
            results = await asyncio.gather(
                *(node.configure(update(2, 1, f"d{n}")) for n, node in enumerate(nodes))
            )
            assert sorted(r.verdict for r in results) == ["accepted", "conflict", "conflict"]

    asyncio.run(scenario())


def test_acknowledged_updates_survive_a_restart_of_all_and_the_loss_of_the_leader(tmp_path):
    async def scenario():
        async with StewardCluster(tmp_path) as cluster:
            await cluster.wait_for_voters(3)
            await cluster.retry(lambda n: n.configure(update(5, 0)))
            await cluster.retry(lambda n: n.evacuate("a", True))
            for host in cluster.hosts:
                await cluster.stop(host)
            for host in cluster.hosts:
                await cluster.start(host)
            leader = await cluster.wait_for_voters(3)
            assert await cluster.retry(lambda n: n.read_configuration()) == {"version": "r5"}
            assert "evacuation/a" in leader.state.table.item_by_subject
            await cluster.stop(leader.config.host)
            await cluster.retry(lambda n: n.configure(update(6, 5)))

    asyncio.run(scenario())


def test_steward_with_a_lost_disk_rejoins_as_a_new_member_with_the_full_state(tmp_path):
    async def scenario():
        async with StewardCluster(tmp_path) as cluster:
            leader = await cluster.wait_for_voters(3)
            await cluster.retry(lambda n: n.configure(update(5, 0)))
            wiped_host = next(h for h in cluster.hosts if cluster.by_host[h] is not leader)
            old_identity = cluster.by_host[wiped_host].log.replica.identity
            await cluster.stop(wiped_host)
            shutil.rmtree(tmp_path / wiped_host)
            node = await cluster.start(wiped_host)
            assert node.log.replica.identity != old_identity
            await polling.wait_until(
                lambda: node.log.replica.identity in current_members(cluster).voters
            )
            assert old_identity not in current_members(cluster).voters
            assert node.state.version == 5

    asyncio.run(scenario())


def long_update(version, length):
    # Not compressible, so that it is as long on the wire as in memory.
    text = random.Random(version).randbytes(length // 2).hex()
    items = {"limits/": model.to_document(model.Limits(head_bytes=version))}
    return steward.ConfigurationUpdate(
        version, version - 1, str(version), items, {"version": f"r{version}", "text": text}
    )


@pytest.mark.parametrize(
    ("count", "length", "compacts"),
    [(24, 500_000, False), (1, 9_000_000, False), (1, 9_000_000, True)],
    ids=["many entries", "a long entry", "a long snapshot"],
)
def test_steward_with_a_lost_disk_catches_up_with_a_log_of_any_length(
    tmp_path, count, length, compacts
):
    """A steward that lost its disk never caught up with more than 8 MiB, since that was sent in one
    message and refused unheard; with the next lost disk no configuration could be read any more."""

    async def scenario():
        async with StewardCluster(tmp_path) as cluster:
            await cluster.wait_for_voters(3)
            for version in range(1, count + 1):
                await cluster.retry(lambda n, v=version: n.configure(long_update(v, length)))
            newest = long_update(count, length)
            for node in cluster.by_host.values():
                await polling.wait_until(lambda n=node: n.state.version == count)
                if compacts:
                    node.log.replica.compact(node.log._applied, node.dump())
            for _ in range(2):
                leader = await cluster.wait_for_voters(3)
                host = leader.config.host
                await cluster.stop(host)
                shutil.rmtree(tmp_path / host)
                node = await cluster.start(host)
                identity = node.log.replica.identity
                await polling.wait_until(lambda i=identity: i in current_members(cluster).voters)
                assert await cluster.retry(lambda n: n.read_configuration()) == newest.source

    asyncio.run(scenario())


def nested(depth):
    value = []
    for _ in range(depth - 1):
        value = [value]
    return value


def test_configuration_that_the_log_cannot_hold_is_refused_and_blocks_nothing(tmp_path):
    """A leader kept such an entry in memory, could neither write nor send it, and committed nothing
    any more."""

    async def scenario():
        async with StewardCluster(tmp_path) as cluster:
            await cluster.wait_for_voters(3)
            for node in cluster.by_host.values():
                deep = dataclasses.replace(update(1, 0), source={"x": nested(248)})
                with pytest.raises(errors.InvalidInputError):
                    await node.configure(deep)
            good = dataclasses.replace(update(1, 0), source={"x": nested(90)})
            await cluster.retry(lambda n: n.configure(good))
            assert await cluster.retry(lambda n: n.read_configuration()) == good.source

    asyncio.run(scenario())


def test_log_of_long_entries_is_compacted_by_its_length(tmp_path, monkeypatch):
    """A log of a few hundred large configurations took all memory of an instance, since it was
    compacted by the number of its entries alone."""
    monkeypatch.setattr(log_task, "SNAPSHOT_LOG_BYTES", 200_000)

    async def scenario():
        async with StewardCluster(tmp_path) as cluster:
            await cluster.wait_for_voters(3)
            for version in range(1, 31):
                await cluster.retry(lambda n, v=version: n.configure(long_update(v, 50_000)))
            for node in cluster.by_host.values():
                await polling.wait_until(lambda n=node: n.state.version == 30)
                await polling.wait_until(lambda n=node: n.log.replica.store.entry_bytes < 300_000)
                assert (tmp_path / node.config.host / "log").stat().st_size < 400_000

    asyncio.run(scenario())


def test_refused_message_between_stewards_is_logged(tmp_path, monkeypatch):
    """Messages to a member were refused and sent again for good, and no log told of it."""
    emitted = []
    monkeypatch.setattr(events, "emit", lambda event, **fields: emitted.append((event, fields)))

    async def scenario():
        async with StewardCluster(tmp_path) as cluster:
            leader = await cluster.wait_for_voters(3)
            follower = next(n for n in cluster.by_host.values() if n is not leader)
            identity = follower.log.replica.identity
            limits = follower._server.limits
            follower._server.limits = server.Limits(body_bytes=1)

            def lines(event):
                return [f for e, f in emitted if e is event and f["member"] == identity]

            await polling.wait_until(lambda: lines(events.MEMBER_UNREACHABLE))
            assert "body is too large" in lines(events.MEMBER_UNREACHABLE)[0]["error"]
            follower._server.limits = limits
            await polling.wait_until(lambda: lines(events.MEMBER_REACHED))

    asyncio.run(scenario())


def test_steward_with_a_damaged_journal_rejoins_as_a_new_member_with_the_full_state(tmp_path):
    """After a loss of power a steward did not start again, since its journal was damaged, though
    one with an empty disk does; the damaged files are kept."""

    async def scenario():
        async with StewardCluster(tmp_path) as cluster:
            leader = await cluster.wait_for_voters(3)
            await cluster.retry(lambda n: n.configure(update(5, 0)))
            host = next(h for h in cluster.hosts if cluster.by_host[h] is not leader)
            old_identity = cluster.by_host[host].log.replica.identity
            await cluster.stop(host)
            log = tmp_path / host / "log"
            damaged = bytearray(log.read_bytes())
            damaged[30] ^= 0xFF
            log.write_bytes(bytes(damaged))
            # Settings may still say that the system starts for the first time.
            node = await cluster.start(host, found=True)
            assert node.log.replica.identity not in (old_identity, "")
            assert not node.log.replica.identity.startswith("founder")
            await polling.wait_until(
                lambda: node.log.replica.identity in current_members(cluster).voters
            )
            assert old_identity not in current_members(cluster).voters
            assert node.state.version == 5
            assert (tmp_path / host / "log.damaged").read_bytes() == bytes(damaged)

    asyncio.run(scenario())


def test_steward_without_a_majority_refuses_reads_and_updates(tmp_path):
    async def scenario():
        async with StewardCluster(tmp_path) as cluster:
            leader = await cluster.wait_for_voters(3)
            await cluster.retry(lambda n: n.configure(update(5, 0)))
            for host in cluster.hosts:
                if cluster.by_host[host] is not leader:
                    await cluster.stop(host)
            with pytest.raises(errors.UnavailableError):
                await leader.read_configuration()
            with pytest.raises(errors.UnavailableError):
                await leader.configure(update(6, 5))

    asyncio.run(scenario())


def test_full_disk_of_the_leader_loses_nothing_and_recovers(tmp_path, monkeypatch):
    async def scenario():
        async with StewardCluster(tmp_path) as cluster:
            leader = await cluster.wait_for_voters(3)
            await cluster.retry(lambda n: n.configure(update(5, 0)))
            store = leader.log.replica.store
            sync_error = errors.SyncFailedError("no space left", step="sync")

            def fail_sync():
                raise sync_error

            with monkeypatch.context() as patch:
                patch.setattr(store, "sync", fail_sync)
                patch.setattr(store, "rewrite", fail_sync)
                await cluster.retry(lambda n: n.configure(update(6, 5)))
                await polling.wait_until(lambda: any(n is not leader for n in cluster.leaders()))
            await polling.wait_until(lambda: not leader.log.storage_failed)
            await polling.wait_until(lambda: leader.state.version == 6)
            await cluster.stop(leader.config.host)
            with contextlib.closing(
                journal.DiskJournal(tmp_path / leader.config.host)
            ) as disk_journal:
                assert disk_journal.last_index > 0

    asyncio.run(scenario())


def long_ago(node):
    return node.clock.monotonic() - clock.seconds(5)


def test_order_that_has_waited_for_too_long_is_not_carried_out(tmp_path):
    """A steward that woke from a freeze withdrew an evacuation that had been begun anew and
    acknowledged elsewhere meanwhile; the zone got requests again, for good."""

    async def scenario():
        async with StewardCluster(tmp_path) as cluster:
            await cluster.wait_for_voters(3)
            await cluster.retry(lambda n: n.report(model.Endpoint("e", 1, 1, "s", "x:1", "a", 4)))
            await cluster.retry(lambda n: n.evacuate("a", True, n.clock.monotonic()))
            for node in cluster.by_host.values():
                with pytest.raises(errors.UnavailableError):
                    await node.evacuate("a", False, long_ago(node))
                # A departure that names no lifetime has no place among others either.
                with pytest.raises(errors.UnavailableError):
                    await node.leave("e", None, long_ago(node))
            await cluster.retry(lambda n: n.configure(update(1, 0)))
            for node in cluster.by_host.values():
                await polling.wait_until(lambda n=node: n.state.version == 1)
                assert "evacuation/a" in node.state.table.item_by_subject
                assert node.state.endpoint("e") is not None
            await cluster.retry(lambda n: n.evacuate("a", False, n.clock.monotonic()))
            await cluster.retry(lambda n: n.leave("e", None, n.clock.monotonic()))
            assert cluster.leaders()[0].state.endpoint("e") is None

    asyncio.run(scenario())


def test_order_that_reaches_the_leader_too_late_is_not_carried_out(tmp_path):
    async def scenario():
        async with StewardCluster(tmp_path) as cluster:
            leader = await cluster.wait_for_voters(3)
            command = {"kind": "evacuate", "zone": "a", "active": True}
            now_s = (await leader._tell_time(None))["now_s"]
            body = {"command": command, "process": leader._process_id, "expires_s": now_s - 0.1}
            with pytest.raises(errors.UnavailableError):
                await leader._order(body)
            # A leader that has started again may have another clock.
            with pytest.raises(errors.UnavailableError):
                await leader._order({**body, "process": "other", "expires_s": now_s + 60})
            assert "evacuation/a" not in leader.state.table.item_by_subject
            await leader._order({**body, "expires_s": now_s + 60})
            assert "evacuation/a" in leader.state.table.item_by_subject

    asyncio.run(scenario())


def test_leader_of_an_earlier_build_gets_orders_as_before(tmp_path, monkeypatch):
    async def scenario():
        async with StewardCluster(tmp_path) as cluster:
            leader = await cluster.wait_for_voters(3)
            follower = next(n for n in cluster.by_host.values() if n is not leader)
            await polling.wait_until(lambda: follower._leader_address() == leader.config.address)
            monkeypatch.delitem(steward._OPERATIONS, "clock")
            monkeypatch.delitem(steward._OPERATIONS, "order")
            await follower.evacuate("a", True, follower.clock.monotonic())
            assert "evacuation/a" in leader.state.table.item_by_subject

    asyncio.run(scenario())


def test_order_is_undecided_if_an_earlier_build_takes_the_lead_meanwhile(tmp_path, monkeypatch):
    """It would be answered with 400, after which operators do not send an order again."""

    async def scenario():
        async with StewardCluster(tmp_path) as cluster:
            leader = await cluster.wait_for_voters(3)
            follower = next(n for n in cluster.by_host.values() if n is not leader)
            await polling.wait_until(lambda: follower._leader_address() == leader.config.address)
            monkeypatch.delitem(steward._OPERATIONS, "order")
            with pytest.raises(errors.UnavailableError):
                await follower.evacuate("a", True, follower.clock.monotonic())

    asyncio.run(scenario())


def test_order_whose_sender_has_gone_is_not_carried_out(tmp_path, monkeypatch):
    """Its bytes and the end of its connection arrive together, as after a cut."""
    monkeypatch.setattr(steward, "CALLER_CHECK_TIME", clock.seconds(1))
    monkeypatch.setattr(steward, "ORDER_LIFETIME", clock.seconds(60))

    async def scenario():
        async with StewardCluster(tmp_path, region_by_zone={"a": "r"}) as cluster:
            node = await cluster.wait_for_voters(3)
            listener = server.Server(calls.ControlHandler(node).serve, clk=node.clock)
            port = await listener.start("127.0.0.1", 0)
            for end_together in (True, False):
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(
                    b"POST /rpc?call=evacuations.begin&of=a HTTP/1.1\r\nHost: h\r\n"
                    b"Content-Length: 0\r\n\r\n"
                )
                if not end_together:
                    await polling.wait_until(lambda: listener.request_count == 1)
                writer.close()
                await asyncio.sleep(1.5 * steward.CALLER_CHECK_TIME.total_seconds())
                await node.configure(update(node.state.version + 1, node.state.version))
                assert "evacuation/a" not in node.state.table.item_by_subject
            await listener.close()

    asyncio.run(scenario())


def test_order_that_waited_for_a_full_disk_is_not_carried_out_later(tmp_path, monkeypatch):
    monkeypatch.setattr(steward, "DECISION_TIMEOUT", clock.seconds(0.1))

    async def scenario():
        async with StewardCluster(tmp_path, count=1, seeds=1) as cluster:
            node = await cluster.wait_for_voters(1)
            await cluster.retry(lambda n: n.configure(update(1, 0)))
            store = node.log.replica.store

            def fail():
                raise errors.SyncFailedError("no space left", step="sync")

            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(store, "sync", fail)
                patch.setattr(store, "rewrite", fail)
                with pytest.raises(errors.StorageError):
                    await node.log.propose(
                        {"kind": "locate", "identity": "n", "zone": "z"}, clock.seconds(1)
                    )
                with pytest.raises(errors.UnavailableError):
                    await node._propose({"kind": "evacuate", "zone": "a", "active": True})
            await cluster.retry(lambda n: n.configure(update(2, 1)))
            assert "evacuation/a" not in node.state.table.item_by_subject

    asyncio.run(scenario())


def test_level_of_the_rules_rises_once_all_members_have_told_theirs(tmp_path):
    async def scenario():
        async with StewardCluster(tmp_path) as cluster:
            await cluster.wait_for_voters(3)
            await polling.wait_until(
                lambda: all(n.state.level == state.LEVEL for n in cluster.by_host.values())
            )

    asyncio.run(scenario())


class JumpingClock(clock.SystemClock):
    """Clock that can jump forward, as after the process was suspended."""

    offset = clock.ZERO

    def monotonic(self):
        return super().monotonic() + self.offset


def test_leader_that_was_suspended_takes_no_endpoint_for_silent(tmp_path, monkeypatch):
    """It had received no reports while it was suspended, and removed every endpoint."""
    jumping_clock = JumpingClock()
    monkeypatch.setattr(clock, "SystemClock", lambda: jumping_clock)

    async def scenario():
        async with StewardCluster(tmp_path) as cluster:
            await cluster.wait_for_voters(3)
            await cluster.retry(lambda n: n.report(model.Endpoint("e", 1, 1, "s", "x:1", "a", 4)))
            for _ in range(3):
                # All stewards are suspended for longer than an endpoint may be silent.
                jumping_clock.offset += clock.seconds(30)
                await cluster.retry(lambda n: n.read_configuration())
                await asyncio.sleep(0.3)
                for node in cluster.by_host.values():
                    assert node.state.endpoint("e") is not None

    asyncio.run(scenario())


def test_leader_whose_disk_was_full_still_counts_what_it_has_granted(tmp_path, monkeypatch):
    """It opened new accounts in the same term and granted an organisation's burst once more."""
    monkeypatch.setattr(log_task, "STORAGE_RETRY_INTERVAL", clock.seconds(0.01))

    async def scenario():
        async with StewardCluster(tmp_path, count=1, seeds=1) as cluster:
            leader = await cluster.wait_for_voters(1)
            organisation = model.Organisation("o", (), 0, 10.0, 100.0, frozenset())
            items = {"organisation/o": model.to_document(organisation)}
            update_of_rate = steward.ConfigurationUpdate(1, 0, "d", items, {"version": "r1"})
            await cluster.retry(lambda n: n.configure(update_of_rate))
            # Accounts of a term open slowly.
            leader.log.leading_since -= clock.seconds(60)
            leader_state = leader._require_leader_state()

            async def draw(number):
                draw = accounting.Draw("elsewhere", 0, 1000, number=number)
                body = {"organisation": "o", "draw": dataclasses.astuple(draw)}
                return (await leader._on_branch_draw(body))["grant"][0]

            await polling.wait_until(
                lambda: leader.log.holds_leader_lease(leader.clock.monotonic())
            )
            granted_at = leader.clock.monotonic()
            assert await draw(1) >= 90

            def fail():
                raise errors.SyncFailedError("no space left", step="sync")

            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(leader.log.replica.store, "rewrite", fail)
                leader.log.storage_failed = True
                assert leader._get_leader_state(leader.clock.monotonic()) is None
                await asyncio.sleep(0.05)
            await polling.wait_until(lambda: leader.log.is_leader)
            assert leader._require_leader_state() is not None
            assert leader._leader_state.since == leader_state.since
            await polling.wait_until(
                lambda: leader.log.holds_leader_lease(leader.clock.monotonic())
            )
            elapsed_s = (leader.clock.monotonic() - granted_at).total_seconds()
            # In a window all that the contract allows may be granted again, evenly.
            window_s = leader.config.tolerance.window.total_seconds()
            refill = (10.0 * window_s + 100.0) / window_s * elapsed_s
            assert await draw(2) <= 1.2 * refill + 1

    asyncio.run(scenario())


def test_order_in_progress_is_answered_when_its_steward_stops(tmp_path):
    """A stop closed the connections of orders and of other stewards' calls at once."""

    async def scenario():
        async with StewardCluster(tmp_path) as cluster:
            leader = await cluster.wait_for_voters(3)
            follower = next(n for n in cluster.by_host.values() if n is not leader)
            await polling.wait_until(lambda: follower._leader_address() == leader.config.address)
            begun = asyncio.Event()
            propose = leader.log.propose

            async def propose_slowly(*arguments):
                begun.set()
                await asyncio.sleep(0.1)
                return await propose(*arguments)

            leader.log.propose = propose_slowly
            order = asyncio.ensure_future(follower.configure(update(1, 0)))
            await begun.wait()
            await cluster.stop(leader.config.host)
            assert (await order).verdict == state.ACCEPTED

    asyncio.run(scenario())


def test_updates_go_on_after_each_disk_in_turn_was_full(tmp_path):
    """Operators of a like system saw updates refused long after the last disk had room again."""

    async def scenario():
        async with StewardCluster(tmp_path) as cluster:
            await cluster.wait_for_voters(3)
            version = 0
            for _ in range(2):
                for node in list(cluster.by_host.values()):
                    write_durably = journal._write_durably
                    folder = node.log.replica.store._folder

                    def write_unless_full(path, data, folder=folder, write=write_durably):
                        if path.parent == folder:
                            raise OSError(28, "No space left on device")
                        write(path, data)

                    def fail(*_):
                        raise errors.SyncFailedError("no space left", step="sync")

                    with pytest.MonkeyPatch.context() as patch:
                        patch.setattr(journal, "_write_durably", write_unless_full)
                        patch.setattr(node.log.replica.store, "sync", fail)
                        for _ in range(2):
                            version += 1
                            await cluster.retry(lambda n, v=version: n.configure(update(v, v - 1)))
                        await polling.wait_until(lambda n=node: n.log.storage_failed)
                    await polling.wait_until(lambda n=node: not n.log.storage_failed)
                    await polling.wait_until(lambda n=node, v=version: n.state.version == v)
            for node in cluster.by_host.values():
                await polling.wait_until(lambda n=node: n.ready())
            assert await cluster.retry(lambda n: n.read_configuration()) == {
                "version": f"r{version}"
            }

    asyncio.run(scenario())


def test_acknowledged_drain_and_departure_are_in_the_leaders_state(tmp_path):
    async def scenario():
        async with StewardCluster(tmp_path) as cluster:
            await cluster.wait_for_voters(3)
            record = model.Endpoint("e1", 1000, 1, "s", "10.0.0.1:80", "a", 4)
            await cluster.retry(lambda n: n.report(record))
            draining = model.Endpoint("e1", 1000, 2, "s", "10.0.0.1:80", "a", 4, True)
            await cluster.retry(lambda n: n.report(draining))
            assert cluster.leaders()[0].state.endpoint("e1").draining
            await cluster.retry(lambda n: n.leave("e1", 1000))
            assert cluster.leaders()[0].state.endpoint("e1") is None

    asyncio.run(scenario())


def test_report_with_an_unknown_zone_is_refused(tmp_path):
    async def scenario():
        async with StewardCluster(tmp_path) as cluster:
            await cluster.wait_for_voters(3)
            with pytest.raises(errors.InvalidInputError):
                node = next(iter(cluster.by_host.values()))
                await node.report(model.Endpoint("e1", 1, 1, "s", "10.0.0.1:80", "nowhere", 4))

    asyncio.run(scenario())


def test_reports_that_change_nothing_reach_the_leader_with_the_next_poll_only(tmp_path):
    """Hundreds of endpoints that report all the time: a report without news costs the leader no
    call, and the leader still knows that its endpoint is alive."""

    async def scenario():
        async with StewardCluster(tmp_path) as cluster:
            leader = await cluster.wait_for_voters(3)
            await cluster.retry(lambda n: n.configure(update(1, 0)))
            follower = next(n for n in cluster.by_host.values() if n is not leader)
            record = model.Endpoint("e", 1, 1, "s", "127.0.0.1:1", "a", 4)
            items = {
                "limits/": model.to_document(model.Limits()),
                "service/s": model.to_document(model.Service("s", 10, 1.0, 1.0)),
            }
            await cluster.retry(
                lambda n: n.configure(steward.ConfigurationUpdate(2, 1, "s", items, {}))
            )
            await cluster.retry(lambda n: n.report(record))
            await polling.wait_until(lambda: follower.state.endpoint("e") is not None)
            await polling.wait_until(
                lambda: follower._state_age(follower.clock.monotonic()) < steward.MAX_STATE_AGE
            )
            executed = []

            async def execute(operation, arguments):
                executed.append(operation)

            follower._execute = execute
            registry_of_leader = leader._require_leader_state().registry
            before = registry_of_leader._reported_at_by_id["e"]
            for sequence in range(2, 6):
                await follower.report(dataclasses.replace(record, sequence=sequence))
            assert executed == []
            # A leader of an earlier build does not read renewals, so it gets the reports.
            follower._leader_takes_renewals = False
            await follower.report(dataclasses.replace(record, sequence=6))
            assert executed == ["report"]
            await polling.wait_until(lambda: registry_of_leader._reported_at_by_id["e"] > before)

    asyncio.run(scenario())


def test_steward_without_contact_to_the_leader_acknowledges_no_report(tmp_path):
    """Its state says that the endpoint is known, but nobody tells the leader that it is alive."""

    async def scenario():
        async with StewardCluster(tmp_path) as cluster:
            leader = await cluster.wait_for_voters(3)
            await cluster.retry(lambda n: n.configure(update(1, 0)))
            follower = next(n for n in cluster.by_host.values() if n is not leader)
            for node in list(cluster.by_host.values()):
                if node is not follower:
                    await node.stop()
            await polling.wait_until(
                lambda: follower._state_age(follower.clock.monotonic()) > steward.MAX_STATE_AGE
            )
            follower.state.table.put("service/s", {})
            follower._leader_takes_renewals = True
            with pytest.raises(errors.UnavailableError):
                await follower.report(model.Endpoint("e", 1, 1, "s", "127.0.0.1:1", "a", 4))

    asyncio.run(scenario())


def test_steward_whose_seeds_are_gone_follows_the_leader_that_its_log_names(tmp_path):
    """After a restart a steward whose settings named only instances that were gone never confirmed
    its state, and so served no gateway, though it was a member of the log."""

    async def scenario():
        async with StewardCluster(tmp_path) as cluster:
            leader = await cluster.wait_for_voters(3)
            await cluster.retry(lambda n: n.configure(update(5, 0)))
            host = next(h for h in cluster.hosts if cluster.by_host[h] is not leader)
            await cluster.stop(host)
            node = await cluster.start(host, seeds=(f"127.0.0.99:{cluster.port}",))
            await polling.wait_until(
                lambda: node._state_age(node.clock.monotonic()) < steward.MAX_STATE_AGE
            )
            assert node.state.version == 5

    asyncio.run(scenario())


def test_leader_alone_grants_requests_to_limited_endpoints_and_a_new_one_starts_without_any(
    tmp_path,
):
    """Each gateway kept to an endpoint's limit alone, so all of them together exceeded it."""

    async def scenario():
        async with StewardCluster(tmp_path) as cluster:
            leader = await cluster.wait_for_voters(3)
            followers = [n for n in cluster.by_host.values() if n is not leader]
            body = {"endpoint": "e 1", "rate": 0.0}

            async def granted(node):
                # A steward that does not lead, or whose lease has run out, grants nothing.
                while True:
                    with contextlib.suppress(errors.UnavailableError, errors.TransportError):
                        return (await node._on_endpoint_grant(body))["granted"]
                    await asyncio.sleep(0.02)

            await polling.wait_until(lambda: leader.log.leading_since is not None)
            issuer = leader._require_leader_state().grant_issuer
            # Grants accumulate for an hour, up to the burst.
            issuer.grant("e 1", 0.0, leader.clock.monotonic() - clock.seconds(3600))
            assert [await granted(node) for node in (*followers, leader)] == [True, False, False]
            issuer.grant("f 1", 1.0, leader.clock.monotonic() - clock.seconds(3600))
            await cluster.stop(leader.config.host)
            await polling.wait_until(lambda: len(cluster.leaders()) == 1)
            successor = cluster.leaders()[0]
            assert not await granted(successor)
            assert not successor._require_leader_state().grant_issuer.grant(
                "f 1", 1.0, successor.clock.monotonic()
            )

    asyncio.run(scenario())


@pytest.mark.parametrize("rate", [float("nan"), float("inf"), -1.0, "many", None])
def test_malformed_rate_of_a_grant_is_refused(tmp_path, rate):
    async def scenario():
        async with StewardCluster(tmp_path) as cluster:
            node = await cluster.wait_for_voters(3)
            with pytest.raises((errors.InvalidInputError, TypeError, ValueError)):
                await node._on_endpoint_grant({"endpoint": "e 1", "rate": rate})

    asyncio.run(scenario())


def gateway_poll(name):
    return {
        "gateway": presence.Gateway(name, f"{name}:80", "a", "r", True).to_wire(),
        "wants_relays": False,
        "revision": 0,
        "draws": {},
    }


async def send_gateway_poll(node, name):
    with contextlib.suppress(errors.FlamingotillerError):
        await node._client.call(
            node.config.address, "POST", "/v1/follow", gateway_poll(name), timeout=clock.seconds(1)
        )


def test_look_ups_do_not_name_a_dead_gateway_again_after_a_change_of_leader(tmp_path, monkeypatch):
    """Guards against a new leader that counts a gateway's silence from the start of its term."""
    monkeypatch.setattr(presence, "LISTED_FOR", clock.seconds(1.5))
    monkeypatch.setattr(presence, "COUNTED_FOR", clock.seconds(300))
    monkeypatch.setattr(steward, "GATEWAY_DISCOVERY_TIME", clock.ZERO)

    async def scenario():
        async with StewardCluster(tmp_path) as cluster:
            leader = await cluster.wait_for_voters(3)

            async def poll(names):
                for node in list(cluster.by_host.values()):
                    for name in names:
                        await send_gateway_poll(node, name)

            def named():
                return {a for node in cluster.by_host.values() for a in node.locate("r", "a")}

            async def poll_until(names, condition):
                for _ in range(1000):
                    await poll(names)
                    if condition():
                        return
                    await asyncio.sleep(0.02)
                raise AssertionError("the condition did not become true")

            await poll_until(["dead", "alive"], lambda: named() == {"dead:80", "alive:80"})
            await poll_until(["alive"], lambda: "dead:80" not in named())
            # The list is sent to the other stewards before their next poll brings the silences.
            others = [node for node in cluster.by_host.values() if node is not leader]
            await poll_until(
                ["alive"], lambda: all("dead" in n._observation.silence_by_name for n in others)
            )
            await cluster.stop(leader.config.host)
            again = []

            def is_new_named():
                again.extend(a for a in named() if a == "dead:80")
                return "new:80" in named()

            await poll_until(["alive", "new"], is_new_named)
            assert not again

    asyncio.run(scenario())


def test_calls_of_the_leader_share_the_time_of_an_order(tmp_path, monkeypatch):
    """Guards against calls that each wait for as long as the whole order may take."""

    async def scenario():
        async with StewardCluster(tmp_path) as cluster:
            leader = await cluster.wait_for_voters(3)
            follower = next(n for n in cluster.by_host.values() if n is not leader)
            await polling.wait_until(lambda: follower._leader_address() == leader.config.address)
            timeouts = []
            call = follower._client.call

            async def record(peer, method, target, body=None, **options):
                if target == "/v1/execute":
                    timeouts.append((body["operation"], options["timeout"]))
                return await call(peer, method, target, body, **options)

            monkeypatch.setattr(follower._client, "call", record)
            await follower.evacuate("a", True, follower.clock.monotonic())
            (first, first_timeout), (second, second_timeout) = timeouts
            assert (first, second) == ("clock", "order")
            least_used = steward.CALLER_CHECK_TIME
            assert second_timeout < first_timeout <= steward.FORWARD_TIMEOUT - least_used
            timeouts.clear()
            with pytest.raises(errors.UnavailableError):
                await follower.evacuate("a", False, long_ago(follower))
            assert not timeouts

    asyncio.run(scenario())
