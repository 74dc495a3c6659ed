"""Circuit breakers open for a while, close after an answer, and stay closed for slow peers."""

from flamingotiller import breaker, clock


def test_breaker_opens_for_a_while_and_closes_after_an_answer():
    manual_clock = clock.ManualClock(clock.seconds(100))
    breakers = breaker.CircuitBreakers(manual_clock)
    assert not breakers.is_open("a")
    breakers.trip("a")
    assert breakers.is_open("a")
    assert not breakers.is_open("b")
    manual_clock.advance(breaker.OPEN_DURATION)
    assert not breakers.is_open("a")
    breakers.trip("a")
    breakers.close("a")
    assert not breakers.is_open("a")


def test_breaker_stays_closed_if_the_peer_answered_after_the_request_was_sent():
    manual_clock = clock.ManualClock(clock.seconds(100))
    breakers = breaker.CircuitBreakers(manual_clock)
    sent_at = manual_clock.monotonic()
    manual_clock.advance(clock.seconds(1))
    breakers.close("a")
    breakers.trip("a", sent_at)
    assert not breakers.is_open("a")
    breakers.trip("a", manual_clock.advance(clock.seconds(1)))
    assert breakers.is_open("a")
