"""Tests of control instances in one process: storage failures, restarts, snapshots and claims."""

import asyncio
import contextlib
import os

import polling
import pytest

from flamingotiller import client, clock, control, embedded, errors, settings

PLAN = embedded.Plan({}, controls=1)


def run(scenario, plan=PLAN):
    async def run_fleet():
        async with embedded.running(plan) as fleet:
            await scenario(fleet)

    asyncio.run(asyncio.wait_for(run_fleet(), 60))


def fail_fsync(_):
    raise OSError(28, "No space left on device")


def fail_sync():
    raise errors.SyncFailedError("no space left", step="sync")


@contextlib.contextmanager
def full_disk(instance):
    """Lets an instance's journal refuse every write, as a full disk does."""
    store = instance.replica.store
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(store, "sync", fail_sync)
        patch.setattr(store, "rewrite", fail_sync)
        yield


def test_change_is_not_accepted_while_the_disk_is_full(monkeypatch):
    async def scenario(fleet):
        instance = fleet.controls[0]
        async with fleet.operator() as operator:
            await operator.start_drain("zone", "before", "x")
            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(os, "fsync", fail_fsync)
                with pytest.raises(errors.UnavailableError):
                    await operator.start_drain("zone", "during", "x")
                assert instance.log.storage_failed
                assert "storage failed" in instance.unready_reason()
            await polling.wait_until(lambda: not instance.unready_reason())
            await operator.start_drain("zone", "after", "x")
            assert instance.replica.store.dirty is False

    monkeypatch.setattr("flamingotiller.porcelain.CALL_TIMEOUT", clock.seconds(1))
    run(scenario)


def test_changes_go_on_after_each_disk_in_turn_was_full():
    """A control instance whose disk had been full took no further part until it was restarted: once
    that had happened to a majority, every change was refused for good."""

    async def scenario(fleet):
        async with fleet.operator() as operator:
            for instance in fleet.controls:
                with full_disk(instance):
                    await operator.start_drain("zone", f"while {instance.config.instance}", "x")
                    await polling.wait_until(lambda i=instance: i.log.storage_failed)
                await polling.wait_until(lambda i=instance: not i.log.storage_failed)
            await operator.start_drain("zone", "after", "x")
            assert len(await operator.items("drain/")) == len(fleet.controls) + 1

    run(scenario, embedded.Plan({}, controls=3))


def test_snapshot_keeps_configuration_verdicts_and_claims():
    state = control.ControlState()
    change = {
        "change_id": "c", "who": "a", "at": "now", "subject": "drain/zone/a", "base": 0,
        "value": {"reason": "x"},
    }  # fmt: skip
    claim = {"organisation": "o", "id": "1", "arrival": "a", "holder": "h", "at_ms": 5}
    first = state.apply({"kind": "change", "change": change})
    state.apply({"kind": "claim", **claim})
    state.apply({"kind": "finish", **claim})
    restored = control.ControlState.from_wire(state.to_wire())
    assert restored.apply({"kind": "change", "change": change}) == first
    verdict = restored.apply({"kind": "claim", **claim, "arrival": "b"})
    assert (verdict.state.value, verdict.holder) == ("finished", "h")
    assert restored.to_wire() == state.to_wire()


def test_instance_restarts_from_a_snapshot(tmp_path):
    async def scenario(fleet):
        instance = fleet.controls[0]
        config = instance.config.model_copy(update={"snapshot_every": 10})
        await instance.stack.aclose()
        for _ in range(2):
            restarted = control.ControlInstance(
                config, instance.tokens, instance.clock, instance._rng
            )
            await restarted.start()
            fleet.controls[0] = restarted
            async with fleet.operator() as operator:
                before = await operator.items("drain/")
                for number in range(25):
                    name = f"z{len(before)}-{number}"
                    await operator.start_drain("zone", name, "x")
                assert len(await operator.items("drain/")) == len(before) + 25
            assert restarted.replica.store.snapshot.index > 0
            await restarted.stack.aclose()

    run(scenario)


def test_founding_member_must_be_listed_and_its_folder_unused(tmp_path):
    with pytest.raises(errors.InvalidInputError):
        control.create_founding_member(tmp_path / "a", "x", {"y": "127.0.0.1:1"})
    control.create_founding_member(tmp_path / "a", "y", {"y": "127.0.0.1:1"})
    with pytest.raises(errors.StorageError):
        control.create_founding_member(tmp_path / "a", "y", {"y": "127.0.0.1:1"})


def test_blank_folder_gets_a_new_identity_that_is_kept(tmp_path):
    config = settings.ControlSettings(
        instance="control-1", listen="127.0.0.1:0", tokens_file="/t", data=tmp_path / "blank"
    )
    first = control.open_journal(config)
    assert first.identity != "control-1.0"
    assert control.open_journal(config).identity == first.identity


def test_request_id_of_a_caller_is_claimed_once_through_the_log():
    async def scenario(fleet):
        pool = client.ConnectionPool()
        sender = client.Client(pool, f"peer-{fleet.token}")
        address = fleet.control_addresses[0]

        async def claim(token, kind="claim"):
            body = {"kind": kind, "organisation": "o", "id": "1", "arrival": token, "holder": "h"}
            response = await sender.call(
                address, "POST", "/v1/log-claims", body, timeout=clock.seconds(5)
            )
            return response.json().get("state")

        async with fleet.operator() as operator:
            await operator.status()
        results = await asyncio.gather(*(claim(f"a{n}") for n in range(10)))
        assert sorted(results) == ["granted"] + ["running"] * 9
        winner = f"a{results.index('granted')}"
        assert await claim(winner) == "granted"
        await claim("a-other", "release")
        assert await claim("again") == "running"
        await claim(winner, "finish")
        assert await claim("again") == "finished"
        await pool.close()

    run(scenario)
