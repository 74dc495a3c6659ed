"""State machine of the configuration that the replicated log carries.

The configuration maps subjects to values. Each change concerns one subject, has a change id and
names the version of the subject that it was based on."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import hashlib
import hmac
import secrets
import typing

from flamingotiller import contract, errors

MAX_STORED_VERDICTS = 100_000
DELTA_HISTORY = 4096

SUBJECT_KINDS = ("deployment", "contract", "key", "drain", "quarantine")


@dataclasses.dataclass(frozen=True)
class Change:
    """A requested change of one subject.

    Attributes:
        change_id: Chosen by the requester; a resend carries the same one.
        who: Name of the operator, or ``entry`` for a report of an entry instance.
        at: Wall-clock time at the leader, ISO 8601; for display only.
        subject: Subject to change, ``kind/name``.
        base: Version of the subject that the change was based on; None for any version, 0 if the
            subject must not exist yet.
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
    """Result of a change.

    Attributes:
        change_id: Id of the change.
        who: Requester of the change.
        at: Wall-clock time of the change, ISO 8601; for display only.
        subject: Subject of the change.
        accepted: Whether the change took effect.
        from_version: Version of the subject before the change.
        to_version: Version of the configuration after an accepted change. For a change refused
            because of its base, the present version of the subject.
        reason: Why the change was refused, empty if accepted.
        winner: For a change refused because of its base, the id of the change that set the present
            version.
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
    """Present state of a subject.

    Attributes:
        value: Its value.
        version: Configuration version that set the value.
        change_id: Change that set the value.
        who: Requester of that change.
        at: Wall-clock time of that change, ISO 8601; for display only.
        earlier: Version of the previous change of the subject. For a new item, the last version
            at which any item of its kind was removed, 0 for none.
    """

    value: typing.Any
    version: int
    change_id: str
    who: str
    at: str
    earlier: int = 0


@dataclasses.dataclass(frozen=True)
class Key:
    """An API key as stored in the configuration.

    Attributes:
        salt: Key of the keyed hash, hexadecimal.
        digest: Keyed hash of the secret, hexadecimal.
    """

    salt: str
    digest: str

    def matches(self, secret: str) -> bool:
        """Returns whether a secret is that of this key, in constant time."""
        return hmac.compare_digest(hash_secret(self.salt, secret), self.digest)


def hash_secret(salt: str, secret: str) -> str:
    """Returns the keyed hash of a secret, hexadecimal."""
    return hashlib.blake2b(
        secret.encode("utf-8", "surrogateescape"), key=bytes.fromhex(salt), digest_size=32
    ).hexdigest()


def generate_key(organisation: str) -> tuple[str, str, Key]:
    """Generates a key.

    Returns:
        The key's text for the organisation, the key's id, and the form that is stored in the
        configuration.
    """
    key_id, secret, salt = secrets.token_hex(4), secrets.token_urlsafe(32), secrets.token_hex(16)
    return f"{organisation}.{key_id}.{secret}", key_id, Key(salt, hash_secret(salt, secret))


def check_change(change: Change) -> None:
    """Validates a change before it is proposed to the log.

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
    """Deterministic state machine: the same changes give the same state on every replica.

    Attributes:
        version: Number of changes accepted so far.
        item_by_subject: Present items.
        verdict_by_change_id: The latest verdicts, at most ``MAX_STORED_VERDICTS``, oldest first.
        removal_by_kind: Last version at which an item of a kind was removed. Filled only where
            changes are applied, not where deltas are absorbed.
    """

    def __init__(self) -> None:
        self.version = 0
        self.item_by_subject: dict[str, Item] = {}
        self.verdict_by_change_id: collections.OrderedDict[str, Verdict] = collections.OrderedDict()
        self.removal_by_kind: dict[str, int] = {}
        # The history holds every change after this version.
        self._history_start = 0
        self._history: collections.deque[tuple[int, str]] = collections.deque()

    def apply(self, change: Change) -> Verdict:
        """Applies a change, or returns the stored verdict if its id has one already."""
        earlier = self.verdict_by_change_id.get(change.change_id)
        if earlier:
            return earlier
        verdict = self._decide(change)
        self.verdict_by_change_id[change.change_id] = verdict
        if len(self.verdict_by_change_id) > MAX_STORED_VERDICTS:
            self.verdict_by_change_id.popitem(last=False)
        return verdict

    def _decide(self, change: Change) -> Verdict:
        current = self.item_by_subject.get(change.subject)
        current_version = current.version if current else 0
        refusal = self._refusal(change, current, current_version)
        if refusal:
            return refusal
        self.version += 1
        kind = change.subject.partition("/")[0]
        if change.value is None:
            del self.item_by_subject[change.subject]
            self.removal_by_kind[kind] = self.version
        else:
            earlier = current_version or self.removal_by_kind.get(kind, 0)
            self.item_by_subject[change.subject] = Item(
                change.value, self.version, change.change_id, change.who, change.at, earlier
            )
        self._record_history(self.version, change.subject)
        return self._verdict(change, True, current_version, self.version)

    def _record_history(self, version: int, subject: str) -> None:
        self._history.append((version, subject))
        if len(self._history) > DELTA_HISTORY:
            dropped, _ = self._history.popleft()
            self._history_start = max(self._history_start, dropped)

    def _refusal(
        self, change: Change, current: Item | None, current_version: int
    ) -> Verdict | None:
        if change.base is not None and change.base != current_version:
            winner = current.change_id if current else ""
            reason = f"based on version {change.base}, but {change.subject} is at {current_version}"
            return self._verdict(
                change, False, current_version, current_version, reason=reason, winner=winner
            )
        if change.value is None and current is None:
            return self._verdict(change, False, 0, self.version, reason="no such subject")
        reason = self._key_refusal(change, current)
        if reason:
            return self._verdict(change, False, current_version, self.version, reason=reason)
        return None

    def _key_refusal(self, change: Change, current: Item | None) -> str:
        """Returns why a change of a key is refused, empty if it is not."""
        if not change.subject.startswith("key/") or change.value is None:
            return ""
        organisation = change.subject.split("/")[1]
        contract_item = self.item_by_subject.get(f"contract/{organisation}")
        if contract_item is None:
            return f"organisation {organisation} has no contract"
        key_count = sum(s.startswith(f"key/{organisation}/") for s in self.item_by_subject)
        limit = contract_item.value.get(
            "max_keys", contract.ContractFile.model_fields["max_keys"].default
        )
        if current is None and key_count >= limit:
            return f"{organisation} already has {key_count} keys of at most {limit}"
        return ""

    @staticmethod
    def _verdict(change, accepted, from_version, to_version, reason="", winner="") -> Verdict:
        return Verdict(
            change.change_id, change.who, change.at, change.subject, accepted,
            from_version, to_version, reason, winner,
        )  # fmt: skip

    def delta(self, after: int) -> dict[str, typing.Any]:
        """Returns the changes after a version.

        Args:
            after: Version that the recipient has, 0 for none.

        Returns:
            ``{"version", "full", "items"}``: items by subject, None for removed ones. If ``full``
            is true, the items are the whole configuration and replace that of the recipient.
        """
        if after < self._history_start or after > self.version:
            items = {s: dataclasses.asdict(i) for s, i in self.item_by_subject.items()}
            return {"version": self.version, "full": True, "items": items}
        changed = {subject for version, subject in self._history if version > after}
        return {"version": self.version, "full": False, "items": self._select(changed)}

    def _select(self, subjects: set[str]) -> dict[str, typing.Any]:
        return {
            subject: dataclasses.asdict(item) if item else None
            for subject in sorted(subjects)
            for item in [self.item_by_subject.get(subject)]
        }

    def absorb(self, delta: dict[str, typing.Any]) -> bool:
        """Applies a delta of another process; the version never decreases.

        Args:
            delta: Result of ``delta`` at the other process.

        Returns:
            False if the delta is older than this configuration, which then stays unchanged.

        Raises:
            errors.InvalidInputError: The delta is malformed.
        """
        try:
            version, full = int(delta["version"]), bool(delta["full"])
            items = {
                subject: Item(**item) if item else None for subject, item in delta["items"].items()
            }
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise errors.InvalidInputError(f"malformed delta: {error}", step="absorb") from error
        if version <= self.version:
            return version == self.version
        if full:
            self.item_by_subject = {s: i for s, i in items.items() if i}
            self._history.clear()
            self._history_start = version
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
            # A delta does not carry the exact version of a removal. The delta's own version is not
            # lower, so that every process that asks for less is told of the removal.
            self._record_history(item.version if item else version, subject)

    def changed_twice_since(self, version: int) -> frozenset[str]:
        """Returns the subjects that may have been changed more than once after a version."""
        return frozenset(
            subject
            for subject, item in self.item_by_subject.items()
            if item.version > version and item.earlier > version
        )

    def to_wire(self) -> dict[str, typing.Any]:
        """Returns the whole state as JSON, for snapshots; later changes do not affect it."""
        return {
            "version": self.version,
            "items": {s: dataclasses.asdict(i) for s, i in self.item_by_subject.items()},
            "verdicts": [dataclasses.asdict(v) for v in self.verdict_by_change_id.values()],
            "removals": dict(self.removal_by_kind),
        }

    @classmethod
    def from_wire(cls, document: dict[str, typing.Any]) -> Configuration:
        """Builds the state from a snapshot."""
        state = cls()
        state.version = state._history_start = document["version"]
        state.item_by_subject = {s: Item(**i) for s, i in document["items"].items()}
        state.removal_by_kind = dict(document.get("removals", {}))
        for fields in document["verdicts"]:
            verdict = Verdict(**fields)
            state.verdict_by_change_id[verdict.change_id] = verdict
        return state


class View:
    """Typed view of a configuration, built once per version.

    Attributes:
        version: Configuration version.
        deployment: The deployment, None before one is applied.
        contract_by_organisation: Contracts.
        key_by_id: Keys by organisation and key id.
        drained: Kind and name of everything under drain.
        quarantined: Fingerprints of refused requests.
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
        """Returns the organisation that a key's text belongs to, None if no such key is valid."""
        organisation, _, rest = text.partition(".")
        key_id, _, secret = rest.partition(".")
        key = self.key_by_id.get((organisation, key_id))
        if key is None or organisation not in self.contract_by_organisation:
            return None
        return organisation if key.matches(secret) else None


def format_timestamp(at: datetime.datetime) -> str:
    """Returns a wall-clock time in the form used in changes and verdicts."""
    return at.isoformat(timespec="milliseconds")
