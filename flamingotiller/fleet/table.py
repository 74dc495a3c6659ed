"""Items by subject with the revision at which each last changed, so that a reader that knows an
earlier revision is sent only what has changed since."""

from __future__ import annotations

import collections
import dataclasses
import typing

from flamingotiller.fleet import model

# Changes that can be told one by one; a reader further behind gets everything.
MAX_CHANGES = 4096


@dataclasses.dataclass(frozen=True)
class Delta:
    """Changes between two revisions.

    Attributes:
        revision: Revision that the changes lead to.
        full: Whether the items are everything, in place of what the reader has.
        items: Documents by subject, None for removed ones.
    """

    revision: int
    full: bool
    items: dict[str, model.Document | None]


class Table:
    """Items by subject.

    Attributes:
        revision: Number of the last change, from the log.
        item_by_subject: Present items.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.item_by_subject: dict[str, model.Document] = {}
        self._complete_from = 0
        self._changes: collections.deque[tuple[int, str]] = collections.deque()

    def put(self, subject: str, document: model.Document | None) -> None:
        """Sets an item, or removes it with None, at the revision begun last."""
        if self.item_by_subject.get(subject) == document:
            return
        if document is None:
            del self.item_by_subject[subject]
        else:
            self.item_by_subject[subject] = document
        self._changes.append((self.revision, subject))
        while len(self._changes) > MAX_CHANGES:
            dropped, _ = self._changes.popleft()
            self._complete_from = max(self._complete_from, dropped)

    def begin(self, revision: int) -> None:
        """Begins a revision; the changes that follow belong to it."""
        self.revision = revision

    def since(self, revision: int) -> Delta:
        """Returns what has changed after a revision; 0 stands for knowing nothing."""
        if revision == 0 or not self._complete_from <= revision <= self.revision:
            return Delta(self.revision, True, dict(self.item_by_subject))
        changed: dict[str, model.Document | None] = {}
        for number, subject in reversed(self._changes):
            if number <= revision:
                break
            changed[subject] = self.item_by_subject.get(subject)
        return Delta(self.revision, False, changed)

    def dump(self) -> dict[str, typing.Any]:
        """Returns the JSON form, for snapshots."""
        return {"revision": self.revision, "items": self.item_by_subject}

    @classmethod
    def load(cls, document: dict[str, typing.Any]) -> Table:
        """Builds a table from a snapshot; earlier changes cannot be told one by one."""
        table = cls()
        table.revision = table._complete_from = document["revision"]
        table.item_by_subject = dict(document["items"])
        return table
