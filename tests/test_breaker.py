"""Breakers open for a while, close by an answer, and spare those that are only busy."""

from flamingotiller import breaker, clock


def test_breaker_opens_for_a_while_and_closes_with_an_answer():
    source = clock.ManualClock(clock.seconds(100))
    made = breaker.CircuitBreakers(source)
    assert not made.is_open("a")
    made.trip("a")
    assert made.is_open("a")
    assert not made.is_open("b")
    source.advance(breaker.OPEN_DURATION)
    assert not made.is_open("a")
    made.trip("a")
    made.close("a")
    assert not made.is_open("a")


def test_one_that_has_answered_since_it_was_asked_is_busy_only():
    source = clock.ManualClock(clock.seconds(100))
    made = breaker.CircuitBreakers(source)
    asked = source.monotonic()
    source.advance(clock.seconds(1))
    made.close("a")
    made.trip("a", asked)
    assert not made.is_open("a")
    made.trip("a", source.advance(clock.seconds(1)))
    assert made.is_open("a")
