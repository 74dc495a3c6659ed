"""Bounds on the bytes that a process holds of messages, over all its connections together."""

from __future__ import annotations


class Budget:
    """Number of bytes that may be held at once.

    Args:
        max_bytes: Bytes of all reservations together. One alone may be larger, within the limits of
            its own message.

    Attributes:
        held: Bytes that are held.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.held = 0

    @property
    def exhausted(self) -> bool:
        """Whether more than the permitted number of bytes is held."""
        return self.held > self.max_bytes


class Reservation:
    """Bytes of a budget that one message or connection holds.

    Args:
        budget: Budget that they count against.
    """

    def __init__(self, budget: Budget) -> None:
        self._budget = budget
        self._held = 0

    @property
    def held(self) -> int:
        """Bytes that are held."""
        return self._held

    def try_add(self, byte_count: int) -> bool:
        """Reserves further bytes; returns False, and reserves none, if the budget has no room."""
        is_alone = self._budget.held == self._held
        if not is_alone and self._budget.held + byte_count > self._budget.max_bytes:
            return False
        self.set(self._held + byte_count)
        return True

    def set(self, byte_count: int) -> None:
        """Sets the number of bytes that are held, whether or not the budget has room."""
        self._budget.held += byte_count - self._held
        self._held = byte_count

    def release(self) -> None:
        """Gives all bytes back."""
        self.set(0)
