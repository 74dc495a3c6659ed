"""Quarantine: crashing requests are identified after few deaths, and other requests never are."""

import asyncio
import random
import types

from flamingotiller import clock, quarantine, selection, suspicion


def resend_until_quarantined(rng, register, crashing, now):
    """Resends a request that crashes its endpoint; returns the number of deaths."""
    deaths = 0
    for _ in range(10):
        if register.is_quarantined(crashing, now):
            break
        # A suspect shares an endpoint only with requests that are not suspects.
        candidates = [f"i{rng.randrange(10_000)}" for _ in range(rng.randrange(6))]
        harmless = [
            fingerprint for fingerprint in candidates if not register.is_suspect(fingerprint, now)
        ]
        register.on_death(f"g{deaths}", [crashing, *harmless], now)
        deaths += 1
        now += clock.seconds(rng.random())
    return deaths


def test_crashing_request_causes_few_deaths_and_no_other_is_quarantined():
    for seed in range(1000):
        rng = random.Random(seed)
        register = quarantine.QuarantineRegister()
        now = clock.seconds(10)
        # Endpoints die for unrelated reasons while most requests complete.
        for number in range(rng.randrange(6)):
            in_flight = [f"i{rng.randrange(10_000)}" for _ in range(rng.randrange(1, 7))]
            register.on_death(f"d{number}", in_flight, now)
            for fingerprint in in_flight:
                if rng.random() < 0.9:
                    register.on_finished(fingerprint)
            now += clock.seconds(rng.random() * 20)
        assert resend_until_quarantined(rng, register, "crashing", now) <= 3, seed
        assert register.is_quarantined("crashing", now), seed
        assert set(register._quarantined_until) == {"crashing"}, seed


def test_suspicion_and_quarantine_expire_and_can_be_lifted():
    register = quarantine.QuarantineRegister()
    now = clock.seconds(1)
    register.on_death("d", ["a"], now)
    assert register.is_suspect("a", now)
    later = now + quarantine.SUSPICION_LIFETIME * 1.1
    assert not register.is_suspect("a", later)
    register.quarantine("b", now)
    assert not register.is_quarantined("b", now + quarantine.QUARANTINE_LIFETIME)
    register.quarantine("c", now)
    register.lift("c")
    assert not register.is_quarantined("c", now)


def test_death_recorded_in_another_zone_counts_once():
    register = quarantine.QuarantineRegister()
    now = clock.seconds(1)
    register.merge_deaths("a", ["one"], now)
    register.merge_deaths("a", ["one"], now)
    assert register.on_death("two", ["a", "b"], now) == {"a": 2}


def test_deaths_seen_in_different_zones_add_up():
    register = quarantine.QuarantineRegister()
    now = clock.seconds(1)
    register.on_death("here", ["a", "b"], now)
    register.merge_deaths("a", ["there"], now)
    register.merge_deaths("b", ["there"], now)
    # Neither was the only suspect, but each was in flight during three deaths.
    assert register.on_death("again", ["a", "b"], now) == {"a": 3, "b": 3}


def test_fingerprint_differs_between_requests():
    same = quarantine.request_fingerprint("o", "GET", "/a", b"")
    assert same == quarantine.request_fingerprint("o", "GET", "/a", b"")
    others = {
        quarantine.request_fingerprint("p", "GET", "/a", b""),
        quarantine.request_fingerprint("o", "POST", "/a", b""),
        quarantine.request_fingerprint("o", "GET", "/b", b""),
        quarantine.request_fingerprint("o", "GET", "/a", b"x"),
    }
    assert same not in others
    assert len(others) == 4


def test_quarantine_lifted_by_an_operator_ends():
    manual_clock = clock.ManualClock(clock.seconds(5))
    view = types.SimpleNamespace(quarantined={"a"})
    process = types.SimpleNamespace(clock=manual_clock, feed=types.SimpleNamespace(view=view))
    tracker = suspicion.SuspectTracker(process)
    tracker.register.quarantine("a", manual_clock.monotonic())
    tracker.register.quarantine("b", manual_clock.monotonic())
    tracker.lift_removed_quarantines()
    assert tracker.is_quarantined("a")
    view.quarantined = set()
    tracker.lift_removed_quarantines()
    assert not tracker.is_quarantined("a")
    # A quarantine that the configuration does not list yet stays in force.
    assert tracker.is_quarantined("b")


def test_requests_at_a_dead_endpoint_wait_until_other_zones_know_of_the_death():
    async def scenario():
        manual_clock = clock.ManualClock(clock.seconds(100))
        config = types.SimpleNamespace(instance="a-1")
        tracker = suspicion.SuspectTracker(types.SimpleNamespace(clock=manual_clock, config=config))
        broadcast_done = asyncio.Event()

        async def broadcast(service, deaths, newly):
            await broadcast_done.wait()

        tracker._broadcast = broadcast
        queue = selection.SlotQueue("s")
        endpoint = selection.Endpoint("e", "s", "addr", 3, 10, clock.seconds(1000))
        queue.announce(endpoint, clock.ZERO)
        for fingerprint in ("crashing", "other"):
            queue.ask(
                selection.Waiter("o", 1.0, clock.seconds(900), fingerprint=fingerprint), clock.ZERO
            )
        first, second = [w.permit.number for w in queue.grant(manual_clock.monotonic())]
        waiting = [
            asyncio.ensure_future(tracker.on_death(queue, number, "e"))
            for number in (first, second)
        ]
        await asyncio.sleep(0)
        assert not any(item.done() for item in waiting)
        broadcast_done.set()
        await asyncio.gather(*waiting)
        assert tracker.on_death(queue, second, "e") is None

    asyncio.run(scenario())
