"""The soak: its oracle tells broken promises, a seeded run passes, planted mistakes are caught."""

import asyncio

import pytest

from soak import oracle, run

RATES = {"o": (10.0, 10.0)}


def sent(at=0.0, once=True, key="k"):
    return oracle.SentRequest(at, once, "o", key)


@pytest.fixture
def watch():
    return oracle.Oracle(RATES)


def runs(watch, id_="r", endpoint="e", zone="z", organisation="o", now=1.0):
    watch.on_run(id_, endpoint, zone, organisation, now)


def test_oracle_is_silent_where_all_is_well(watch):
    watch.on_send("r", sent())
    runs(watch)
    watch.on_answer("r", 200, b"r e")
    watch.on_acknowledged(1, 0.0)
    watch.on_read(1, 5.0)
    assert watch.violations == []


def _twice(watch):
    runs(watch)
    runs(watch, endpoint="f")


def _refused(watch):
    runs(watch)
    watch.on_answer("r", 503, b"")


def _runs_after_a_refusal(watch):
    watch.on_answer("r", 429, b"")
    runs(watch)


def _of_another(watch):
    runs(watch)
    watch.on_answer("r", 200, b"q e")


def _cut_short(watch):
    runs(watch)
    watch.on_answer("r", 200, b"r ")


def _unasked(watch):
    runs(watch, id_="never sent")


def _wrong_organisation(watch):
    runs(watch, organisation="p")


def _revoked(watch):
    watch.revoked_at_by_key["k"] = 10.0
    watch.on_send("late", sent(at=15.1))
    runs(watch, id_="late", now=15.2)


def _drained(watch):
    watch.drained_at_by_endpoint["e"] = 10.0
    watch.on_send("late", sent(at=12.6))
    runs(watch, id_="late", now=12.7)


def _evacuated(watch):
    watch.evacuated_at_by_zone["z"] = 10.0
    watch.on_send("late", sent(at=15.1))
    runs(watch, id_="late", now=15.2)


def _older_read(watch):
    watch.on_acknowledged(7, 10.0)
    watch.on_read(6, 12.6)


def _over_the_rate(watch):
    for number in range(100):
        watch.on_send(f"r{number}", sent())
        runs(watch, id_=f"r{number}")


@pytest.mark.parametrize(
    ("mistake", "told"),
    [
        (_twice, "twice"), (_refused, "refused"), (_runs_after_a_refusal, "refused"),
        (_of_another, "mixed"), (_cut_short, "mixed"), (_unasked, "unasked"),
        (_wrong_organisation, "unasked"), (_revoked, "revoked"), (_drained, "drain"),
        (_evacuated, "evacuation"), (_older_read, "config"), (_over_the_rate, "quota"),
    ],
)  # fmt: skip
def test_oracle_tells_each_broken_promise(watch, mistake, told):
    if mistake is _wrong_organisation:
        watch.rate_by_organisation["p"] = (0.0, 0.0)
    watch.on_send("r", sent())
    mistake(watch)
    assert [text.partition(":")[0] for text in watch.violations] == [told]


def test_end_counts_what_is_owed_only(watch):
    watch.revoked_at_by_key["old"] = 1.0
    for number, key in enumerate(["old", "old", "old", "k"]):
        watch.on_send(f"r{number}", sent(at=2.0, key=key))
    runs(watch, id_="r3")
    watch.on_answer("r3", 200, b"r3 e")
    watch.on_send("before", sent(at=0.5, key="old"))
    assert watch.served_with_valid_keys("o", 0.0, 3.0) == (2, 1)
    assert watch.served(0.0, 3.0) == (5, 1)


def test_bounds_that_need_calm_are_not_held_while_faults_last(watch):
    watch.on_fault(True, 9.0)
    _drained(watch)
    watch.on_fault(False, 11.0)
    _evacuated(watch)
    assert watch.violations == []


def play(folder, plan):
    made = run.Run(plan, folder)
    try:
        return asyncio.run(made.play()), made
    finally:
        made.close()


# Seeds that failed once, with the cause; they stay.
FAILED_SEEDS = {
    4: "the check of the end counted withdrawn keys, then left out keys that were still in force",
    20: "two disks of three were lost at once: one counted as back while its steward was starting",
}


@pytest.mark.parametrize("seed", [5, *FAILED_SEEDS])
def test_short_run_of_real_processes_keeps_every_promise(tmp_path, seed):
    broken, made = play(tmp_path, run.Plan(seed, faults_s=6.0))
    assert broken == [], "\n".join(made.fault_log)
    asked, served = made.watch.served(0.0, float("inf"))
    assert served > 200


@pytest.mark.parametrize(
    ("mistake", "told"),
    [
        ("repeats_what_may_have_run", "twice"),
        ("says_not_run_of_what_may_have_run", "refused"),
        ("keeps_withdrawn_keys", "revoked"),
        ("gives_without_counting", "quota"),
        ("forgets_drains", "drain"),
        ("answers_crossed", "mixed"),
    ],
)
def test_planted_mistake_is_caught(tmp_path, monkeypatch, mistake, told):
    """Runs until the mistake shows, over a few seeds."""
    monkeypatch.setenv("PLANTED_MISTAKE", mistake)
    for seed in range(1, 6):
        folder = tmp_path / str(seed)
        folder.mkdir()
        plan = run.Plan(seed, faults_s=5.0, gateways=3, module="planted_mistakes")
        broken, _ = play(folder, plan)
        if any(text.startswith(told) for text in broken):
            return
    pytest.fail(f"{mistake} was not caught")
