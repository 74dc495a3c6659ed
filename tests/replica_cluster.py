"""Replicas joined by lists of messages, with an oracle of what has been committed."""

import random

from flamingotiller import clock, errors, journal, replica, replica_messages

TIMING = replica.Timing(clock.seconds(0.1), clock.seconds(0.5))


class Cluster:
    """Replicas, the messages between them, and what the oracle has seen."""

    def __init__(self, size=3, seed=1, replica_class=replica.Replica):
        self.now = clock.seconds(1000)
        self.replica_class = replica_class
        self.rng = random.Random(seed)
        self.nodes = {}
        self.links_down = set()
        self.frozen = set()
        self.messages = []
        self.committed = {}
        self.committed_at = {}
        self.checked_index = {}
        self.last_value = 0
        voters = {f"n{i}.0": f"addr{i}" for i in range(size)}
        for identity in voters:
            store = journal.MemoryJournal(identity)
            store.set_vote(1, "")
            store.append(journal.Entry(1, 1, "members", replica_messages.Members(voters).to_wire()))
            store.sync()
            self.open(store)

    def open(self, store):
        self.nodes[store.identity] = self.replica_class(
            store, self.now, random.Random(self.rng.random()), TIMING
        )

    def alive(self):
        return [n for n in self.nodes if n not in self.frozen]

    def flush(self, identity):
        node = self.nodes[identity]
        node.store.sync()
        node.on_journal_synced()
        self.check_committed(identity)
        outbox, node.outbox = node.outbox, []
        for target, message in outbox:
            self.messages.append((identity, target, message))

    def check_committed(self, identity):
        """Checks safety: whatever is committed anywhere is the same everywhere, for ever."""
        node = self.nodes[identity]
        first = max(self.checked_index.get(identity, 0), node.store.snapshot.index) + 1
        self.checked_index[identity] = node.commit
        for entry in node.store.slice(first, max(0, node.commit - first + 1)):
            shown = (entry.term, entry.kind, repr(entry.body))
            assert self.committed.setdefault(entry.index, shown) == shown, (identity, entry)
            self.committed_at.setdefault(entry.index, self.now)
        if node.confirmation:
            following = self.committed_at.get(node.confirmation.index + 1, self.now)
            assert following >= node.confirmation.as_of, "confirmed, but a newer one was committed"

    def tick(self, identity):
        if identity in self.frozen:
            return
        self.nodes[identity].tick(self.now)
        self.flush(identity)

    def deliver(self, position, keep=False):
        sender, target, message = self.messages[position]
        if not keep:
            del self.messages[position]
        if target in self.frozen or target not in self.nodes or (sender, target) in self.links_down:
            return
        wire = replica_messages.message_from_wire(replica_messages.message_to_wire(message))
        self.nodes[target].receive(wire, self.now)
        self.flush(target)

    def run(self, seconds, step=0.1):
        """Runs all that is alive for a while, every message delivered in order."""
        until = self.now + clock.seconds(seconds)
        while self.now < until:
            self.now += clock.seconds(step)
            for identity in self.alive():
                self.tick(identity)
            for _ in range(len(self.messages) * 3):
                if not self.messages:
                    break
                self.deliver(0)

    def leaders(self):
        return [n for n in self.alive() if self.nodes[n].role == "leader"]

    def leader(self):
        found = max(self.leaders(), key=lambda n: self.nodes[n].store.term, default=None)
        assert found, {n: (x.role, x.store.term) for n, x in self.nodes.items()}
        return found

    def propose(self, identity):
        self.last_value += 1
        try:
            self.nodes[identity].propose({"value": self.last_value}, self.now)
        except errors.NotLeaderError:
            return None
        self.flush(identity)
        return self.last_value

    def change_members(self, identity, change):
        node = self.nodes[identity]
        try:
            node.propose_members(change(node.members), self.now)
        except errors.FlamingotillerError as error:
            return error
        self.flush(identity)
        return None

    def crash(self, identity):
        """Power cut and restart: only what was synced survives."""
        self.frozen.discard(identity)
        self.checked_index.pop(identity, None)
        self.open(self.nodes[identity].store.crash())

    def lose_disk(self, identity):
        """The disk is lost; the instance comes back as a newcomer with an identity of its own."""
        del self.nodes[identity]
        name, _, generation = identity.partition(".")
        newcomer = f"{name}.{int(generation) + 1}"
        self.open(journal.MemoryJournal(newcomer))
        return newcomer

    def values(self):
        """Returns the committed values in order."""
        found = []
        for index in sorted(self.committed):
            kind, body = self.committed[index][1:]
            if kind == "command":
                found.append(eval(body)["value"])  # noqa: S307 - our own repr
        return found

    def heal(self):
        self.links_down.clear()
        self.frozen.clear()
