"""Detection and quarantine of requests that crash endpoints.

When an endpoint dies, the requests in flight at it become suspects. A suspect runs only at an
endpoint that runs no other suspect, so that a second death identifies the request that caused it. A
suspect that completes is cleared. Requests with the fingerprint of an identified one are refused
for a time. Alternatives that were considered: docs/design/crashing-requests.md."""

from __future__ import annotations

import dataclasses
import datetime
import hashlib
import typing

from flamingotiller import clock

SUSPICION_LIFETIME = clock.seconds(120)
QUARANTINE_LIFETIME = clock.seconds(600)
# Deaths after which a request is quarantined that was the only suspect at the last of them.
SOLE_SUSPECT_DEATHS = 2
# Deaths after which a request is quarantined in any case.
TOTAL_DEATHS = 3
MAX_SUSPECTS = 10_000
# Every instance reads so much of a body before it decides where to send a request.
FINGERPRINT_BODY_BYTES = 64 * 1024


def request_fingerprint(organisation: str, method: str, target: str, body: bytes) -> str:
    """Returns a digest that is the same when the request is resent.

    Args:
        organisation: Organisation on whose behalf it runs.
        method: Its method.
        target: Its host and target.
        body: Its body, or the beginning of it that has been read. The network decides how much that
            is, so only the first ``FINGERPRINT_BODY_BYTES`` count.
    """
    digest = hashlib.blake2b(digest_size=12)
    for part in (organisation.encode(), method.encode(), target.encode()):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body[:FINGERPRINT_BODY_BYTES])
    return digest.hexdigest()


@dataclasses.dataclass
class Suspect:
    """A request that was in flight when an endpoint died.

    Attributes:
        deaths: Ids of the deaths during which it was in flight.
        last_death_at: When the last of them was recorded.
    """

    deaths: set[str]
    last_death_at: datetime.timedelta


class QuarantineRegister:
    """Suspects and quarantined fingerprints known to an instance.

    Attributes:
        suspect_by_fingerprint: The suspects.
    """

    def __init__(self) -> None:
        self.suspect_by_fingerprint: dict[str, Suspect] = {}
        self._quarantined_until: dict[str, datetime.timedelta] = {}
        self.lifted: set[str] = set()

    def is_suspect(self, fingerprint: str, now: datetime.timedelta) -> bool:
        """Returns whether requests with a fingerprint are suspects."""
        suspect = self.suspect_by_fingerprint.get(fingerprint)
        if suspect and now - suspect.last_death_at > SUSPICION_LIFETIME:
            del self.suspect_by_fingerprint[fingerprint]
            return False
        return suspect is not None

    def is_quarantined(self, fingerprint: str, now: datetime.timedelta) -> bool:
        """Returns whether requests with a fingerprint are refused."""
        until = self._quarantined_until.get(fingerprint)
        if until is not None and now >= until:
            del self._quarantined_until[fingerprint]
            return False
        return until is not None

    def on_death(
        self, death: str, in_flight: typing.Collection[str], now: datetime.timedelta
    ) -> dict[str, int]:
        """Records the death of an endpoint.

        Args:
            death: Unique id of the death.
            in_flight: Fingerprints of the requests in flight at the endpoint.
            now: Monotonic time.

        Returns:
            Number of deaths by fingerprint, for the fingerprints that are now quarantined.
        """
        fingerprints = set(in_flight)
        suspects = {
            fingerprint for fingerprint in fingerprints if self.is_suspect(fingerprint, now)
        }
        has_sole_suspect = len(suspects) == 1
        newly_quarantined = {}
        for fingerprint in fingerprints:
            suspect = self.suspect_by_fingerprint.setdefault(fingerprint, Suspect(set(), now))
            suspect.deaths.add(death)
            suspect.last_death_at = now
            count = len(suspect.deaths)
            is_cause = fingerprint in suspects and has_sole_suspect and count >= SOLE_SUSPECT_DEATHS
            if is_cause or count >= TOTAL_DEATHS:
                newly_quarantined[fingerprint] = count
                self.quarantine(fingerprint, now)
        self._drop_excess_suspects()
        return newly_quarantined

    def on_finished(self, fingerprint: str) -> None:
        """Clears a suspect that has completed."""
        self.suspect_by_fingerprint.pop(fingerprint, None)

    def merge_deaths(
        self, fingerprint: str, deaths: typing.Collection[str], now: datetime.timedelta
    ) -> None:
        """Adds deaths that another instance has recorded; each death counts once."""
        suspect = self.suspect_by_fingerprint.setdefault(fingerprint, Suspect(set(), now))
        suspect.deaths.update(deaths)
        suspect.last_death_at = now
        self._drop_excess_suspects()

    def quarantine(self, fingerprint: str, now: datetime.timedelta) -> None:
        """Quarantines a fingerprint, whose requests are then refused."""
        self.suspect_by_fingerprint.pop(fingerprint, None)
        self._quarantined_until[fingerprint] = now + QUARANTINE_LIFETIME

    def lift(self, fingerprint: str) -> None:
        """Lifts the quarantine or suspicion of a fingerprint."""
        self._quarantined_until.pop(fingerprint, None)
        self.suspect_by_fingerprint.pop(fingerprint, None)

    def _drop_excess_suspects(self) -> None:
        while len(self.suspect_by_fingerprint) > MAX_SUSPECTS:
            del self.suspect_by_fingerprint[next(iter(self.suspect_by_fingerprint))]
