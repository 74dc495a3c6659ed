"""The configuration that the replicated log carries: subjects with values, changed one at a time
by operators, each change identified by a change id and based on a version of its subject."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import hashlib
import hmac
import secrets
import typing

from flamingotiller import contract, errors

MAX_REMEMBERED_CHANGES = 100_000
DELTA_HISTORY = 4096

SUBJECT_KINDS = ("deployment", "contract", "key", "drain", "quarantine")


@dataclasses.dataclass(frozen=True)
class Change:
    """A change that somebody asks for.

    Attributes:
        change_id: Chosen by the asker; a resend carries the same one.
        who: Name of the operator, or of the process for what it reports by itself.
        at: Calendar time at the leader, ISO 8601; for display only.
        subject: What it concerns, ``kind/name``.
        base: Version of the subject that it was based on, None for any, 0 for none yet.
        value: New value, None to remove the subject.
    """

    change_id: str
    who: str
    at: str
    subject: str
    base: int | None
    value: typing.Any

    def to_wire(self) -> dict[str, typing.Any]:
        """Returns the JSON form."""
        return dataclasses.asdict(self)


@dataclasses.dataclass(frozen=True)
class Verdict:
    """What became of a change.

    Attributes:
        change_id: The change.
        who: Who asked for it.
        at: When, ISO 8601; for display only.
        subject: What it concerns.
        accepted: Whether it took effect.
        from_version: Version of the subject before.
        to_version: Version of the configuration after; of the winner when refused.
        reason: Why it was refused, empty when accepted.
        winner: Change id of the change that came first, when refused for that.
    """

    change_id: str
    who: str
    at: str
    subject: str
    accepted: bool
    from_version: int
    to_version: int
    reason: str = ""
    winner: str = ""


@dataclasses.dataclass(frozen=True)
class Item:
    """A subject's present state.

    Attributes:
        value: Its value.
        version: Configuration version that set it.
        change_id: The change that set it.
        who: Who made that change.
        at: When, ISO 8601; for display only.
        earlier: Version of the last change of it before that one; for a new item the last
            version at which any item of its kind was removed, 0 for none.
    """

    value: typing.Any
    version: int
    change_id: str
    who: str
    at: str
    earlier: int = 0


@dataclasses.dataclass(frozen=True)
class Key:
    """A key as the configuration holds it.

    Attributes:
        salt: Key of the keyed hash, hexadecimal.
        digest: Keyed hash of the secret, hexadecimal.
    """

    salt: str
    digest: str

    def matches(self, secret: str) -> bool:
        """Compares a secret in constant time."""
        return hmac.compare_digest(hash_secret(self.salt, secret), self.digest)


def hash_secret(salt: str, secret: str) -> str:
    """Returns the keyed hash of a secret, hexadecimal."""
    return hashlib.blake2b(
        secret.encode("utf-8", "surrogateescape"), key=bytes.fromhex(salt), digest_size=32
    ).hexdigest()


def generate_key(organisation: str) -> tuple[str, str, Key]:
    """Makes a key.

    Returns:
        The text that the organisation keeps, the key's id, and what the configuration holds.
    """
    key_id, secret, salt = secrets.token_hex(4), secrets.token_urlsafe(32), secrets.token_hex(16)
    return f"{organisation}.{key_id}.{secret}", key_id, Key(salt, hash_secret(salt, secret))


def check_change(change: Change) -> None:
    """Validates a change at the border.

    Raises:
        errors.InvalidInputError: The subject or the value is malformed.
    """
    kind, _, name = change.subject.partition("/")
    if kind not in SUBJECT_KINDS or not name:
        allowed = ", ".join(f"{kind}/NAME" for kind in SUBJECT_KINDS)
        raise errors.InvalidInputError(
            f"bad subject {change.subject!r}; allowed: {allowed}", step="check change"
        )
    if not 1 <= len(change.change_id) <= 200:
        raise errors.InvalidInputError("change id must have 1 to 200 characters", step="check")
    if change.value is not None:
        _CHECK_BY_KIND[kind](name, change.value)


def _check_deployment(name: str, value: typing.Any) -> None:
    contract.deployment_from_document(value)


def _check_contract(name: str, value: typing.Any) -> None:
    if contract.contract_from_document(value).organisation != name:
        raise errors.InvalidInputError("subject and organisation differ", step="check change")


def _check_key(name: str, value: typing.Any) -> None:
    _require_text(value, "salt", "digest")


def _check_drain(name: str, value: typing.Any) -> None:
    kind = name.partition("/")[0]
    if kind not in ("endpoint", "instance", "zone", "region"):
        raise errors.InvalidInputError(
            "drain/KIND/NAME with KIND one of endpoint, instance, zone, region", step="check"
        )
    _require_text(value, "reason")


def _check_quarantine(name: str, value: typing.Any) -> None:
    _require_text(value, "reason")


def _require_text(value: typing.Any, *names: str) -> None:
    if not isinstance(value, dict) or set(value) != set(names):
        raise errors.InvalidInputError(f"value must have exactly {names}", step="check change")
    if not all(isinstance(value[name], str) for name in names):
        raise errors.InvalidInputError(f"{names} must be text", step="check change")


_CHECK_BY_KIND = {
    "deployment": _check_deployment,
    "contract": _check_contract,
    "key": _check_key,
    "drain": _check_drain,
    "quarantine": _check_quarantine,
}


class Configuration:
    """State machine of the configuration; the same commands give the same state everywhere.

    Attributes:
        version: Number of changes accepted so far.
        item_by_subject: Present items.
        verdict_by_change_id: Verdicts in order, the oldest beyond a bound forgotten.
        removal_by_kind: Last version at which an item of a kind was removed; only where
            changes are applied.
    """

    def __init__(self) -> None:
        self.version = 0
        self.item_by_subject: dict[str, Item] = {}
        self.verdict_by_change_id: collections.OrderedDict[str, Verdict] = collections.OrderedDict()
        self.removal_by_kind: dict[str, int] = {}
        # Every change after this version stands in the recent list.
        self._complete_from = 0
        self._recent: collections.deque[tuple[int, str]] = collections.deque()

    def apply(self, change: Change) -> Verdict:
        """Applies a change, or returns the verdict that its id already has."""
        known = self.verdict_by_change_id.get(change.change_id)
        if known:
            return known
        verdict = self._decide(change)
        self.verdict_by_change_id[change.change_id] = verdict
        if len(self.verdict_by_change_id) > MAX_REMEMBERED_CHANGES:
            self.verdict_by_change_id.popitem(last=False)
        return verdict

    def _decide(self, change: Change) -> Verdict:
        held = self.item_by_subject.get(change.subject)
        held_version = held.version if held else 0
        refuse = self._refusal(change, held, held_version)
        if refuse:
            return refuse
        self.version += 1
        kind = change.subject.partition("/")[0]
        if change.value is None:
            del self.item_by_subject[change.subject]
            self.removal_by_kind[kind] = self.version
        else:
            earlier = held_version or self.removal_by_kind.get(kind, 0)
            self.item_by_subject[change.subject] = Item(
                change.value, self.version, change.change_id, change.who, change.at, earlier
            )
        self._remember(self.version, change.subject)
        return self._verdict(change, True, held_version, self.version)

    def _remember(self, version: int, subject: str) -> None:
        self._recent.append((version, subject))
        if len(self._recent) > DELTA_HISTORY:
            dropped, _ = self._recent.popleft()
            self._complete_from = max(self._complete_from, dropped)

    def _refusal(self, change: Change, held: Item | None, held_version: int) -> Verdict | None:
        if change.base is not None and change.base != held_version:
            winner = held.change_id if held else ""
            reason = f"based on version {change.base}, but {change.subject} is at {held_version}"
            return self._verdict(
                change, False, held_version, held_version, reason=reason, winner=winner
            )
        if change.value is None and held is None:
            return self._verdict(change, False, 0, self.version, reason="no such subject")
        reason = self._key_refusal(change, held)
        if reason:
            return self._verdict(change, False, held_version, self.version, reason=reason)
        return None

    def _key_refusal(self, change: Change, held: Item | None) -> str:
        if not change.subject.startswith("key/") or change.value is None:
            return ""
        organisation = change.subject.split("/")[1]
        terms = self.item_by_subject.get(f"contract/{organisation}")
        if terms is None:
            return f"organisation {organisation} has no contract"
        given = sum(s.startswith(f"key/{organisation}/") for s in self.item_by_subject)
        limit = terms.value.get("max_keys", contract.ContractFile.model_fields["max_keys"].default)
        if held is None and given >= limit:
            return f"{organisation} already has {given} keys of at most {limit}"
        return ""

    @staticmethod
    def _verdict(change, accepted, from_version, to_version, reason="", winner="") -> Verdict:
        return Verdict(
            change.change_id, change.who, change.at, change.subject, accepted,
            from_version, to_version, reason, winner,
        )  # fmt: skip

    def delta(self, after: int) -> dict[str, typing.Any]:
        """Returns what has changed since a version.

        Args:
            after: Version that the asker has, 0 for none.

        Returns:
            ``{"version", "full", "items"}``: items by subject, None for removed ones. With
            ``full`` the items are everything and replace what the asker has.
        """
        if after < self._complete_from or after > self.version:
            items = {s: dataclasses.asdict(i) for s, i in self.item_by_subject.items()}
            return {"version": self.version, "full": True, "items": items}
        changed = {subject for version, subject in self._recent if version > after}
        return {"version": self.version, "full": False, "items": self._select(changed)}

    def _select(self, subjects: set[str]) -> dict[str, typing.Any]:
        return {
            subject: dataclasses.asdict(item) if item else None
            for subject in sorted(subjects)
            for item in [self.item_by_subject.get(subject)]
        }

    def absorb(self, delta: dict[str, typing.Any]) -> bool:
        """Takes over what another process sent; versions only go up.

        Args:
            delta: Value of ``delta``.

        Returns:
            False, with nothing changed, when the delta is older than what is held.

        Raises:
            errors.InvalidInputError: Not a delta.
        """
        try:
            version, full = int(delta["version"]), bool(delta["full"])
            items = {
                subject: Item(**item) if item else None for subject, item in delta["items"].items()
            }
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise errors.InvalidInputError(f"not a delta: {error}", step="absorb") from error
        if version <= self.version:
            return version == self.version
        if full:
            self.item_by_subject = {s: i for s, i in items.items() if i}
            self._recent.clear()
            self._complete_from = version
        for subject, item in items.items():
            self._absorb_item(subject, item, version, full)
        self.version = version
        return True

    def _absorb_item(self, subject: str, item: Item | None, version: int, full: bool) -> None:
        if item is None:
            self.item_by_subject.pop(subject, None)
        else:
            self.item_by_subject[subject] = item
        if not full:
            # The exact version of a removal is not sent; the delta's own is late enough.
            self._remember(item.version if item else version, subject)

    def changed_twice_since(self, version: int) -> frozenset[str]:
        """Returns the subjects that may have changed more than once after a version."""
        return frozenset(
            subject
            for subject, item in self.item_by_subject.items()
            if item.version > version and item.earlier > version
        )

    def to_wire(self) -> dict[str, typing.Any]:
        """Returns the whole state, for snapshots."""
        return {
            "version": self.version,
            "items": {s: dataclasses.asdict(i) for s, i in self.item_by_subject.items()},
            "verdicts": [dataclasses.asdict(v) for v in self.verdict_by_change_id.values()],
            "removals": self.removal_by_kind,
        }

    @classmethod
    def from_wire(cls, document: dict[str, typing.Any]) -> Configuration:
        """Builds the state from a snapshot."""
        state = cls()
        state.version = state._complete_from = document["version"]
        state.item_by_subject = {s: Item(**i) for s, i in document["items"].items()}
        state.removal_by_kind = dict(document.get("removals", {}))
        for fields in document["verdicts"]:
            verdict = Verdict(**fields)
            state.verdict_by_change_id[verdict.change_id] = verdict
        return state


class View:
    """Typed reading of a configuration, built once per version.

    Attributes:
        version: Configuration version.
        deployment: None before one was applied.
        contract_by_organisation: Contracts.
        key_by_id: Keys by organisation and key id.
        drained: Pairs of kind and name under drain.
        quarantined: Fingerprints that are refused.
    """

    def __init__(self, state: Configuration) -> None:
        self.version = state.version
        self.deployment: contract.Deployment | None = None
        self.contract_by_organisation: dict[str, contract.Contract] = {}
        self.key_by_id: dict[tuple[str, str], Key] = {}
        self.drained: set[tuple[str, str]] = set()
        self.quarantined: set[str] = set()
        for subject, item in state.item_by_subject.items():
            self._add(subject, item.value)

    def _add(self, subject: str, value: typing.Any) -> None:
        kind, _, name = subject.partition("/")
        if kind == "deployment":
            self.deployment = contract.deployment_from_document(value)
        elif kind == "contract":
            self.contract_by_organisation[name] = contract.contract_from_document(value)
        elif kind == "key":
            organisation, _, key_id = name.partition("/")
            self.key_by_id[organisation, key_id] = Key(**value)
        elif kind == "drain":
            drained_kind, _, drained_name = name.partition("/")
            self.drained.add((drained_kind, drained_name))
        elif kind == "quarantine":
            self.quarantined.add(name)

    def organisation_of_key(self, text: str) -> str | None:
        """Returns the organisation whose key this is, None when there is none in force."""
        organisation, _, rest = text.partition(".")
        key_id, _, secret = rest.partition(".")
        key = self.key_by_id.get((organisation, key_id))
        if key is None or organisation not in self.contract_by_organisation:
            return None
        return organisation if key.matches(secret) else None


def format_timestamp(at: datetime.datetime) -> str:
    """Returns a calendar time in the form that changes carry."""
    return at.isoformat(timespec="milliseconds")
