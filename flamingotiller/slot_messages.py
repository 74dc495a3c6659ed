"""Messages between an instance that runs a request and the shard holder that grants slots."""

from __future__ import annotations

import dataclasses
import typing

from flamingotiller import errors


@dataclasses.dataclass(frozen=True)
class SlotRequest:
    """A request for a slot.

    Attributes:
        service: Service that the request is for.
        organisation: Organisation that sent the request.
        deadline_s: Seconds until the request's deadline.
        excluded: Endpoints at which the request has already failed.
        fingerprint: Identifies the request across retries.
        zone: Zone in which the request arrived.
        spill: Whether the request comes from another zone; it is granted a free slot at once or
            refused, and never queued.
        hops: Number of times that the slot request has been forwarded.
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
            errors.InvalidInputError: The document is not a valid slot request.
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
    """A granted permit, as sent to the instance that runs the request.

    Attributes:
        number: Number of the permit in the queue that granted it.
        service: Name of the service.
        endpoint: Name of the endpoint.
        address: Address of the endpoint.
        queue: Address of the instance whose queue granted the permit.
        keep: Maximum number of idle connections that an instance keeps to the endpoint.
    """

    number: int
    service: str
    endpoint: str
    address: str
    queue: str
    keep: int


@dataclasses.dataclass(frozen=True)
class SlotRelease:
    """The return of a permit, with the result of the request.

    Attributes:
        number: Number of the permit.
        service: Name of the service.
        result: ``done``, ``failed``, ``shed``, ``unreachable`` (no connection), ``died``
            (the connection broke before the response was complete) or ``unused``.
        fingerprint: Fingerprint of the request.
        byte_count: Bytes transferred in both directions.
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
    """Returns the error for a refusal code."""
    status, message, retry_after_s = _REFUSALS.get(code, (503, code, 1))
    return errors.RefusedError(
        message, status=status, code=code, retry_after_s=retry_after_s, step="ask slot"
    )
