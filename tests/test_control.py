"""Control instances in one process: storage that fails, restarts, snapshots, claims in the log."""

import asyncio
import os

import pytest

from flamingotiller import client, clock, control, embedded, errors, settings

PLAN = embedded.Plan({}, controls=1)


def run(scenario, plan=PLAN):
    async def whole():
        async with embedded.running(plan) as fleet:
            await scenario(fleet)

    asyncio.run(asyncio.wait_for(whole(), 60))


def test_failed_sync_is_never_answered_accepted(monkeypatch):
    async def scenario(fleet):
        async with fleet.operator() as operator:
            await operator.start_drain("zone", "before", "x")
            real = os.fsync

            def fail(_):
                raise OSError(28, "No space left on device")

            monkeypatch.setattr(os, "fsync", fail)
            with pytest.raises(errors.UnavailableError):
                await operator.start_drain("zone", "after", "x")
            monkeypatch.setattr(os, "fsync", real)
            assert fleet.controls[0].failure
            assert "storage failed" in fleet.controls[0].unready_reason()

    monkeypatch.setattr("flamingotiller.porcelain.CALL_TIMEOUT", clock.seconds(1))
    run(scenario)


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
    revived = control.ControlState.from_wire(state.to_wire())
    assert revived.apply({"kind": "change", "change": change}) == first
    verdict = revived.apply({"kind": "claim", **claim, "arrival": "b"})
    assert (verdict.state.value, verdict.holder) == ("finished", "h")
    assert revived.to_wire() == state.to_wire()


def test_restart_over_a_snapshot_goes_on(tmp_path):
    async def scenario(fleet):
        instance = fleet.controls[0]
        config = instance.config.model_copy(update={"snapshot_every": 10})
        await instance.stack.aclose()
        for _ in range(2):
            again = control.ControlInstance(config, instance.tokens, instance.clock, instance._rng)
            await again.start()
            fleet.controls[0] = again
            async with fleet.operator() as operator:
                held = await operator.items("drain/")
                for number in range(25):
                    name = f"z{len(held)}-{number}"
                    await operator.start_drain("zone", name, "x")
                assert len(await operator.items("drain/")) == len(held) + 25
            assert again.replica.store.snapshot.index > 0
            await again.stack.aclose()

    run(scenario)


def test_founding_names_its_faults(tmp_path):
    with pytest.raises(errors.InvalidInputError):
        control.found(tmp_path / "a", "x", {"y": "127.0.0.1:1"})
    control.found(tmp_path / "a", "y", {"y": "127.0.0.1:1"})
    with pytest.raises(errors.StorageError):
        control.found(tmp_path / "a", "y", {"y": "127.0.0.1:1"})


def test_blank_folder_gets_an_identity_of_its_own(tmp_path):
    config = settings.ControlSettings(
        instance="control-1", listen="127.0.0.1:0", tokens_file="/t", data=tmp_path / "blank"
    )
    first = control.open_journal(config)
    assert first.identity != "control-1.0"
    assert control.open_journal(config).identity == first.identity


def test_ids_of_callers_own_are_claimed_once_over_the_log():
    async def scenario(fleet):
        pool = client.ConnectionPool()
        sender = client.Client(pool, f"peer-{fleet.token}")
        address = fleet.control_addresses[0]

        async def claim(arrival, kind="claim"):
            body = {"kind": kind, "organisation": "o", "id": "1", "arrival": arrival, "holder": "h"}
            answer = await sender.call(
                address, "POST", "/v1/log-claims", body, timeout=clock.seconds(5)
            )
            return answer.json().get("state")

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
