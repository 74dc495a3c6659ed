"""The exception tree. Every error names the step at which it arose and, where there is one,
the peer that the step was talking to, so that a log line alone says where to look."""

from __future__ import annotations

import collections.abc


class FlamingotillerError(Exception):
    """Base of every error that this package raises on purpose.

    Args:
        message: What went wrong, in one sentence.
        step: The operation that was under way, for example ``"announce"``.
        peer: The process or address at the other end, empty when there is none.
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
    """Input from outside is malformed; lists every fault by path.

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
    """A flag or environment variable is unknown or has a bad value."""


class ContractError(InvalidInputError):
    """A contract or deployment file does not pass validation."""


class UnauthenticatedError(FlamingotillerError):
    """The peer showed no valid credential."""

    exit_code = 3


class ConflictError(FlamingotillerError):
    """A change was based on a version that is no longer the newest for its subject.

    Args:
        winner: Description of the change that came first.
    """

    exit_code = 4

    def __init__(self, message: str, *, winner: str = "", step="", peer="") -> None:
        super().__init__(message, step=step, peer=peer)
        self.winner = winner


class NotFoundError(FlamingotillerError):
    """The named thing does not exist."""

    exit_code = 5


class UnavailableError(FlamingotillerError):
    """The operation cannot be decided now; nothing was decided."""

    exit_code = 6


class NotLeaderError(UnavailableError):
    """This control instance does not lead the replicated log.

    Args:
        leader: Address of the leader when known, else empty.
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
    """No connection could be made; no byte was sent."""

    def __init__(self, message: str, *, step="connect", peer="") -> None:
        super().__init__(message, sent=False, step=step, peer=peer)


class ExchangeTimeoutError(TransportError):
    """The peer did not answer in time."""


class ConnectionLostError(TransportError):
    """The connection ended before the exchange did."""


class ProtocolError(TransportError):
    """The peer broke the protocol, or sent an answer that cannot be trusted to be whole."""


class LimitExceededError(FlamingotillerError):
    """A size, time or count bound of an interface was exceeded.

    Args:
        status: The HTTP status that tells the peer.
    """

    def __init__(self, message: str, *, status: int, step="", peer="") -> None:
        super().__init__(message, step=step, peer=peer)
        self.status = status


class StorageError(FlamingotillerError):
    """The data folder cannot be read or written reliably."""

    exit_code = 7


class CorruptRecordError(StorageError):
    """A stored record other than a torn tail fails its checksum."""


class SyncFailedError(StorageError):
    """Data could not be made durable; nothing after the last good sync may be relied on."""


class RefusedError(FlamingotillerError):
    """A caller's request is refused; the dispatch adds whether it may have run.

    Args:
        status: HTTP status.
        code: Machine-readable reason, listed in docs/INTERFACES.md.
        retry_after_s: Seconds after which a new try makes sense, None for no advice.
    """

    def __init__(
        self, message: str, *, status: int, code: str, retry_after_s: float | None = None,
        step="dispatch", peer="",
    ) -> None:  # fmt: skip
        super().__init__(message, step=step, peer=peer)
        self.status = status
        self.code = code
        self.retry_after_s = retry_after_s
