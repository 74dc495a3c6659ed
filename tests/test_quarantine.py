"""Crashing requests: found within the bound, innocents left alone."""

import asyncio
import random
import types

from flamingotiller import clock, quarantine, selection, suspicion


def crash_history(rng, suspects, guilty, now):
    """Sends the guilty request again and again; returns the endpoints that it killed."""
    deaths = 0
    for _ in range(10):
        if suspects.is_quarantined(guilty, now):
            break
        # A suspect runs apart from other suspects, beside requests nobody suspects.
        innocent = [f"i{rng.randrange(10_000)}" for _ in range(rng.randrange(6))]
        others = [p for p in innocent if not suspects.is_suspect(p, now)]
        suspects.on_death(f"g{deaths}", [guilty, *others], now)
        deaths += 1
        now += clock.seconds(rng.random())
    return deaths


def test_guilty_request_kills_few_and_no_innocent_is_refused():
    for seed in range(1000):
        rng = random.Random(seed)
        suspects = quarantine.Register()
        now = clock.seconds(10)
        # Endpoints die for reasons of their own while requests come and mostly end well.
        for number in range(rng.randrange(6)):
            in_flight = [f"i{rng.randrange(10_000)}" for _ in range(rng.randrange(1, 7))]
            suspects.on_death(f"d{number}", in_flight, now)
            for print_ in in_flight:
                if rng.random() < 0.9:
                    suspects.on_finished(print_)
            now += clock.seconds(rng.random() * 20)
        assert crash_history(rng, suspects, "guilty", now) <= 3, seed
        assert suspects.is_quarantined("guilty", now), seed
        assert set(suspects._quarantined_until) == {"guilty"}, seed


def test_suspicion_and_quarantine_run_out_and_can_be_lifted():
    suspects = quarantine.Register()
    now = clock.seconds(1)
    suspects.on_death("d", ["a"], now)
    assert suspects.is_suspect("a", now)
    later = now + quarantine.SUSPICION_LIFETIME * 1.1
    assert not suspects.is_suspect("a", later)
    suspects.quarantine("b", now)
    assert not suspects.is_quarantined("b", now + quarantine.QUARANTINE_LIFETIME)
    suspects.quarantine("c", now)
    suspects.lift("c")
    assert not suspects.is_quarantined("c", now)


def test_what_another_zone_saw_counts():
    suspects = quarantine.Register()
    now = clock.seconds(1)
    suspects.learn("a", ["one"], now)
    suspects.learn("a", ["one"], now)
    assert suspects.on_death("two", ["a", "b"], now) == {"a": 2}


def test_deaths_seen_in_different_zones_add_up():
    suspects = quarantine.Register()
    now = clock.seconds(1)
    suspects.on_death("here", ["a", "b"], now)
    suspects.learn("a", ["there"], now)
    suspects.learn("b", ["there"], now)
    # Neither was alone, but a third death with it in flight is one too many.
    assert suspects.on_death("again", ["a", "b"], now) == {"a": 3, "b": 3}


def test_fingerprint_tells_requests_apart():
    same = quarantine.fingerprint("o", "GET", "/a", b"")
    assert same == quarantine.fingerprint("o", "GET", "/a", b"")
    others = {
        quarantine.fingerprint("p", "GET", "/a", b""),
        quarantine.fingerprint("o", "POST", "/a", b""),
        quarantine.fingerprint("o", "GET", "/b", b""),
        quarantine.fingerprint("o", "GET", "/a", b"x"),
    }
    assert same not in others
    assert len(others) == 4


def test_what_an_operator_lifts_is_served_again():
    source = clock.ManualClock(clock.seconds(5))
    view = types.SimpleNamespace(quarantined={"a"})
    process = types.SimpleNamespace(clock=source, feed=types.SimpleNamespace(view=view))
    watch = suspicion.SuspectTracker(process)
    watch.register.quarantine("a", source.monotonic())
    watch.register.quarantine("b", source.monotonic())
    watch.follow_configuration()
    assert watch.is_quarantined("a")
    view.quarantined = set()
    watch.follow_configuration()
    assert not watch.is_quarantined("a")
    # What the configuration has not listed yet stays.
    assert watch.is_quarantined("b")


def test_every_request_at_a_dead_endpoint_waits_until_the_others_have_been_told():
    async def scenario():
        source = clock.ManualClock(clock.seconds(100))
        config = types.SimpleNamespace(instance="a-1")
        watch = suspicion.SuspectTracker(types.SimpleNamespace(clock=source, config=config))
        told = asyncio.Event()

        async def broadcast(service, deaths, newly):
            await told.wait()

        watch._broadcast = broadcast
        queue = selection.SlotQueue("s")
        endpoint = selection.Endpoint("e", "s", "addr", 3, 10, clock.seconds(1000))
        queue.announce(endpoint, clock.ZERO)
        for print_ in ("crashing", "other"):
            queue.ask(
                selection.Waiter("o", 1.0, clock.seconds(900), fingerprint=print_), clock.ZERO
            )
        first, second = [w.permit.number for w in queue.grant(source.monotonic())]
        waiting = [
            asyncio.ensure_future(watch.on_death(queue, number, "e")) for number in (first, second)
        ]
        await asyncio.sleep(0)
        assert not any(item.done() for item in waiting)
        told.set()
        await asyncio.gather(*waiting)
        assert watch.on_death(queue, second, "e") is None

    asyncio.run(scenario())
