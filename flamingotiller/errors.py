"""Exceptions of the package.

Every error carries the step that failed and the peer involved, if any, so that a log line is enough
to locate the failure."""

from __future__ import annotations

import collections.abc


class FlamingotillerError(Exception):
    """Base of all errors that this package raises deliberately.

    Args:
        message: What went wrong, in one sentence.
        step: Operation that failed, for example ``"announce"``.
        peer: Process or address at the other end, empty if there is none.
    """

    exit_code = 1

    def __init__(self, message: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = " ".join(part for part in (self.step, self.peer and f"with {self.peer}") if part)
        return f"{self.message} ({where})" if where else self.message


class InvalidInputError(FlamingotillerError):
    """External input is malformed; the error lists each fault with its path.

    Args:
        faults: Lines of the form ``path: what is wrong; what is allowed``.
    """

    exit_code = 2

    def __init__(
        self, message: str, *, faults: collections.abc.Sequence[str] = (), step="", peer=""
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.faults = tuple(faults)

    def __str__(self) -> str:
        return "\n  ".join((super().__str__(), *self.faults))


class SettingsError(InvalidInputError):
    """A flag or environment variable is unknown or has an invalid value."""


class ContractError(InvalidInputError):
    """A contract or deployment file is invalid."""


class UnauthenticatedError(FlamingotillerError):
    """The peer presented no valid credential."""

    exit_code = 3


class ConflictError(FlamingotillerError):
    """A change conflicts with what is in force, for example because its base version is outdated.

    Args:
        winner: Id of the change that came first, empty if there is none.
    """

    exit_code = 4

    def __init__(self, message: str, *, winner: str = "", step="", peer="") -> None:
        super().__init__(message, step=step, peer=peer)
        self.winner = winner


class NotFoundError(FlamingotillerError):
    """The named object or route does not exist."""

    exit_code = 5


class UnavailableError(FlamingotillerError):
    """The operation could not be decided at present; it may be retried."""

    exit_code = 6


class NotLeaderError(UnavailableError):
    """This control instance does not lead the replicated log.

    Args:
        leader: Address of the leader, empty if unknown.
    """

    def __init__(self, message: str, *, leader: str = "", step="", peer="") -> None:
        super().__init__(message, step=step, peer=peer)
        self.leader = leader


class TransportError(FlamingotillerError):
    """An exchange with a peer failed.

    Args:
        sent: Whether any byte of the request may have reached the peer.
    """

    exit_code = 6

    def __init__(self, message: str, *, sent: bool = True, step="", peer="") -> None:
        super().__init__(message, step=step, peer=peer)
        self.sent = sent


class ConnectError(TransportError):
    """No connection could be established; no byte was sent."""

    def __init__(self, message: str, *, step="connect", peer="") -> None:
        super().__init__(message, sent=False, step=step, peer=peer)


class ExchangeTimeoutError(TransportError):
    """The peer did not answer in time."""


class ConnectionLostError(TransportError):
    """The connection ended before the exchange was complete."""


class ProtocolError(TransportError):
    """The peer violated the protocol, or its answer may be incomplete."""


class CallerLeftError(FlamingotillerError):
    """The caller of a request has closed its connection; no work is begun or sent on for it."""


class LimitExceededError(FlamingotillerError):
    """A size, time or count limit of an interface was exceeded.

    Args:
        status: HTTP status of the answer to the peer.
    """

    def __init__(self, message: str, *, status: int, step="", peer="") -> None:
        super().__init__(message, step=step, peer=peer)
        self.status = status


class StorageError(FlamingotillerError):
    """The data folder cannot be read or written reliably."""

    exit_code = 7


class CorruptRecordError(StorageError):
    """The checksum of a stored record is wrong, and the record is not a torn tail."""


class SyncFailedError(StorageError):
    """A sync to disk failed; data written since the last successful sync may be lost."""


class RefusedError(FlamingotillerError):
    """A caller's request is refused; the dispatch adds to the answer whether it may have run.

    Args:
        status: HTTP status.
        code: Machine-readable reason, listed in docs/INTERFACES.md.
        retry_after_s: Seconds to wait before a retry, None to give none.
    """

    def __init__(
        self, message: str, *, status: int, code: str, retry_after_s: float | None = None,
        step="dispatch", peer="",
    ) -> None:  # fmt: skip
        super().__init__(message, step=step, peer=peer)
        self.status = status
        self.code = code
        self.retry_after_s = retry_after_s
