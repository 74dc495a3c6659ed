"""Messages between an instance that runs a request and the holder that hands out slots."""

from __future__ import annotations

import dataclasses
import typing

from flamingotiller import errors


@dataclasses.dataclass(frozen=True)
class SlotRequest:
    """A request for a slot.

    Attributes:
        service: Service wanted.
        organisation: Whose request it is.
        deadline_s: Seconds left.
        excluded: Endpoints that have already failed it.
        fingerprint: Identifies it when it is sent again.
        zone: Zone where it arrived.
        spill: Whether only a slot that is free at once will do.
        hops: How often it has been passed on.
    """

    service: str
    organisation: str
    deadline_s: float
    excluded: tuple[str, ...] = ()
    fingerprint: str = ""
    zone: str = ""
    spill: bool = False
    hops: int = 0

    def to_wire(self) -> dict[str, typing.Any]:
        """Returns the JSON form."""
        return dataclasses.asdict(self)

    @classmethod
    def from_wire(cls, document: typing.Any) -> SlotRequest:
        """Builds a request from its JSON form.

        Raises:
            errors.InvalidInputError: Not such a request.
        """
        try:
            ask = cls(**{**document, "excluded": tuple(document.get("excluded", ()))})
            if not 0 < float(ask.deadline_s) < 3600 or not isinstance(ask.service, str):
                raise ValueError("deadline_s or service")
            return ask
        except (TypeError, ValueError, AttributeError) as error:
            raise errors.InvalidInputError(f"bad slot request: {error}", step="ask slot") from error


@dataclasses.dataclass(frozen=True)
class SlotGrant:
    """A permit as the instance that runs the request sees it.

    Attributes:
        number: Identifies the permit at its queue.
        service: The service.
        endpoint: Name of the endpoint.
        address: Its address.
        queue: Address of the instance whose queue granted it.
        keep: Idle connections to the endpoint that an instance may keep.
    """

    number: int
    service: str
    endpoint: str
    address: str
    queue: str
    keep: int


@dataclasses.dataclass(frozen=True)
class SlotRelease:
    """The end of a permit.

    Attributes:
        number: The permit.
        service: The service.
        result: ``done``, ``failed``, ``shed``, ``unreachable`` (no connection), ``died``
            (connection broke without a whole answer) or ``unused``.
        fingerprint: Of the request.
        byte_count: Bytes that crossed, both ways.
    """

    number: int
    service: str
    result: str
    fingerprint: str = ""
    byte_count: int = 0


_REFUSALS = {
    "deadline": (504, "no slot became free within the deadline", None),
    "queue-full": (503, "too many requests wait for this service", 1),
    "no-endpoint": (503, "no endpoint of this service is known", 1),
    "quarantined": (403, "this request has crashed endpoints and is refused for a time", None),
    "link-busy": (503, "the link to that region is busy", 1),
    "no-free-slot": (503, "no slot is free", 1),
}


def refusal(code: str) -> errors.RefusedError:
    """Returns the refusal for a reason."""
    status, message, retry_after_s = _REFUSALS.get(code, (503, code, 1))
    return errors.RefusedError(
        message, status=status, code=code, retry_after_s=retry_after_s, step="ask slot"
    )
