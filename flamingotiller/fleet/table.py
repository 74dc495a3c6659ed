"""Versioned table of the fleet's items.

The table keeps a history of changes, so that a reader at an earlier revision is sent only the items
that have changed since."""

from __future__ import annotations

import collections
import dataclasses
import typing

from flamingotiller.fleet import model

# Number of changes kept in the history; a reader further behind gets all items.
MAX_CHANGES = 4096


@dataclasses.dataclass(frozen=True)
class Delta:
    """Update for a reader of the table.

    Attributes:
        revision: Revision of the table after the update.
        full: Whether ``items`` are all items, which replace those of the reader.
        items: Documents by subject, None for removed items.
    """

    revision: int
    full: bool
    items: dict[str, model.Document | None]


class Table:
    """Items by subject, with a bounded history of changes.

    Attributes:
        revision: Current revision, an index of the log.
        item_by_subject: Current items.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.item_by_subject: dict[str, model.Document] = {}
        # Earliest revision from which the history is complete.
        self._history_start = 0
        # Revision and subject of each change, oldest first.
        self._changes: collections.deque[tuple[int, str]] = collections.deque()

    def put(self, subject: str, document: model.Document | None) -> None:
        """Sets an item at the current revision, or removes it if the document is None."""
        if self.item_by_subject.get(subject) == document:
            return
        if document is None:
            del self.item_by_subject[subject]
        else:
            self.item_by_subject[subject] = document
        self._changes.append((self.revision, subject))
        while len(self._changes) > MAX_CHANGES:
            dropped_revision, _ = self._changes.popleft()
            self._history_start = max(self._history_start, dropped_revision)

    def begin(self, revision: int) -> None:
        """Begins a revision, to which the following changes belong."""
        self.revision = revision

    def since(self, revision: int) -> Delta:
        """Returns the changes after a revision; 0 stands for a reader without any items."""
        if revision == 0 or not self._history_start <= revision <= self.revision:
            return Delta(self.revision, True, dict(self.item_by_subject))
        changed: dict[str, model.Document | None] = {}
        for change_revision, subject in reversed(self._changes):
            if change_revision <= revision:
                break
            changed[subject] = self.item_by_subject.get(subject)
        return Delta(self.revision, False, changed)

    def dump(self) -> dict[str, typing.Any]:
        """Returns the table as a JSON object for a snapshot, without the history.

        Later changes of the table do not affect it: a snapshot may be sent long after it was taken.
        """
        return {"revision": self.revision, "items": dict(self.item_by_subject)}

    @classmethod
    def load(cls, document: dict[str, typing.Any]) -> Table:
        """Builds a table from a snapshot; its history begins at the snapshot's revision."""
        table = cls()
        table.revision = table._history_start = document["revision"]
        table.item_by_subject = dict(document["items"])
        return table
