"""Replicas on a simulated network, with a check that all of them commit the same entries."""

import random

from flamingotiller import clock, errors, journal, log_task, replica, replica_messages

TIMING = replica.Timing(clock.seconds(0.1), clock.seconds(0.5))


class Cluster:
    """Replicas, the network between them and the entries that any of them has committed.

    Attributes:
        now: Current simulated time.
        replica_class: Class of the replicas.
        nodes: Replicas by identity.
        links_down: Pairs of sender and recipient whose messages are dropped.
        frozen: Identities of replicas that neither receive messages nor run timers.
        messages: Messages in flight: sender, recipient, message.
        committed: Term, kind and body of each committed entry, by index.
        committed_at: Time at which each entry was first observed as committed, by index.
        checked_index: Last index up to which a replica's commits have been checked, by identity.
        last_value: Value proposed last.
    """

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
        self.check_leases()
        outbox, node.outbox = node.outbox, []
        for target, message in outbox:
            self.messages.append((identity, target, message))

    def check_committed(self, identity):
        """Asserts that a replica commits the same entries as all others ever did, and that its
        confirmation is not out of date."""
        node = self.nodes[identity]
        first = max(self.checked_index.get(identity, 0), node.store.snapshot.index) + 1
        self.checked_index[identity] = node.commit
        for entry in node.store.slice(first, max(0, node.commit - first + 1)):
            content = (entry.term, entry.kind, repr(entry.body))
            assert self.committed.setdefault(entry.index, content) == content, (identity, entry)
            self.committed_at.setdefault(entry.index, self.now)
        if node.confirmation:
            next_committed_at = self.committed_at.get(node.confirmation.index + 1, self.now)
            assert (
                next_committed_at >= node.confirmation.as_of
            ), "confirmed an index although a later one was committed"

    def lease_holders(self):
        """Returns the replicas that hold the leader lease by their own clocks."""
        lease = log_task.LEADER_LEASE_FRACTION * TIMING.election_timeout
        return [
            identity
            for identity, node in self.nodes.items()
            if node.role == "leader"
            and node.confirmation
            and self.now - node.confirmation.as_of < lease
        ]

    def check_leases(self):
        """Asserts that at most one replica holds the leader lease."""
        assert len(self.lease_holders()) < 2, self.lease_holders()

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
        decoded = replica_messages.message_from_wire(replica_messages.message_to_wire(message))
        self.nodes[target].receive(decoded, self.now)
        self.flush(target)

    def run(self, seconds, step=0.1):
        """Runs all replicas that are not frozen; delivers messages in order."""
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
        leader = max(self.leaders(), key=lambda n: self.nodes[n].store.term, default=None)
        assert leader, {n: (x.role, x.store.term) for n, x in self.nodes.items()}
        return leader

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
        """Simulates a power cut and restart: only synced data survives."""
        self.frozen.discard(identity)
        self.checked_index.pop(identity, None)
        self.open(self.nodes[identity].store.crash())

    def lose_disk(self, identity):
        """Simulates a lost disk: the instance restarts with an empty journal and a new identity."""
        del self.nodes[identity]
        name, _, generation = identity.partition(".")
        new_identity = f"{name}.{int(generation) + 1}"
        self.open(journal.MemoryJournal(new_identity))
        return new_identity

    def values(self):
        """Returns the committed values in log order."""
        values = []
        for index in sorted(self.committed):
            kind, body = self.committed[index][1:]
            if kind == "command":
                # The body is the repr of a dict made by this module.
                values.append(eval(body)["value"])  # noqa: S307
        return values

    def heal(self):
        self.links_down.clear()
        self.frozen.clear()
