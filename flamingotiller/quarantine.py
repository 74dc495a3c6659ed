"""Requests that crash endpoints: found by what was in flight when endpoints died, refused after.

A death makes suspects of the requests in flight at the endpoint. A suspect runs only where no
other suspect runs, so that a second death tells which one it was; a suspect that ends well is
cleared. Ways weighed: docs/design/crashing-requests.md."""

from __future__ import annotations

import dataclasses
import datetime
import hashlib
import typing

from flamingotiller import clock

SUSPICION_LIFETIME = clock.seconds(120)
QUARANTINE_LIFETIME = clock.seconds(600)
DEATHS_ALONE = 2
DEATHS_AT_ALL = 3
MAX_SUSPECTS = 10_000


def request_fingerprint(organisation: str, method: str, target: str, body: bytes) -> str:
    """Returns what identifies a request when it is sent again."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (organisation.encode(), method.encode(), target.encode()):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return digest.hexdigest()


@dataclasses.dataclass
class Suspect:
    """A request that was in flight when an endpoint died.

    Attributes:
        deaths: Names of the deaths of endpoints that had it in flight.
        at: When the last one was noted.
    """

    deaths: set[str]
    at: datetime.timedelta


class QuarantineRegister:
    """Suspects and quarantined fingerprints known to one instance."""

    def __init__(self) -> None:
        self.suspect_by_fingerprint: dict[str, Suspect] = {}
        self._quarantined_until: dict[str, datetime.timedelta] = {}
        self.lifted: set[str] = set()

    def is_suspect(self, print_: str, now: datetime.timedelta) -> bool:
        """Returns whether a request is suspected."""
        suspect = self.suspect_by_fingerprint.get(print_)
        if suspect and now - suspect.at > SUSPICION_LIFETIME:
            del self.suspect_by_fingerprint[print_]
            return False
        return suspect is not None

    def is_quarantined(self, print_: str, now: datetime.timedelta) -> bool:
        """Returns whether a request is refused."""
        until = self._quarantined_until.get(print_)
        if until is not None and now >= until:
            del self._quarantined_until[print_]
            return False
        return until is not None

    def on_death(
        self, death: str, in_flight: typing.Collection[str], now: datetime.timedelta
    ) -> dict[str, int]:
        """Notes that an endpoint has died.

        Args:
            death: Name of this death, unlike that of any other.
            in_flight: Fingerprints of the requests that it was running.
            now: Monotonic time.

        Returns:
            Deaths by fingerprint for those newly quarantined.
        """
        prints = set(in_flight)
        known = {p for p in prints if self.is_suspect(p, now)}
        alone = len(known) == 1
        newly = {}
        for print_ in prints:
            suspect = self.suspect_by_fingerprint.setdefault(print_, Suspect(set(), now))
            suspect.deaths.add(death)
            suspect.at = now
            count = len(suspect.deaths)
            guilty = print_ in known and alone and count >= DEATHS_ALONE
            if guilty or count >= DEATHS_AT_ALL:
                newly[print_] = count
                self.quarantine(print_, now)
        self._bound()
        return newly

    def on_finished(self, print_: str) -> None:
        """Clears a suspect whose run has ended well."""
        self.suspect_by_fingerprint.pop(print_, None)

    def merge_deaths(
        self, print_: str, deaths: typing.Collection[str], now: datetime.timedelta
    ) -> None:
        """Takes over what another instance has seen; the same death counts once."""
        suspect = self.suspect_by_fingerprint.setdefault(print_, Suspect(set(), now))
        suspect.deaths.update(deaths)
        suspect.at = now
        self._bound()

    def quarantine(self, print_: str, now: datetime.timedelta) -> None:
        """Refuses a fingerprint from now on."""
        self.suspect_by_fingerprint.pop(print_, None)
        self._quarantined_until[print_] = now + QUARANTINE_LIFETIME

    def lift(self, print_: str) -> None:
        """Serves a fingerprint again."""
        self._quarantined_until.pop(print_, None)
        self.suspect_by_fingerprint.pop(print_, None)

    def _bound(self) -> None:
        while len(self.suspect_by_fingerprint) > MAX_SUSPECTS:
            del self.suspect_by_fingerprint[next(iter(self.suspect_by_fingerprint))]
