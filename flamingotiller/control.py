"""The control instance: runs a replica of the log and applies its committed entries."""

from __future__ import annotations

import asyncio
import contextlib
import datetime
import pathlib
import random
import secrets
import typing

from flamingotiller import (
    claims,
    client,
    clock,
    configuration,
    daemon,
    errors,
    events,
    feed,
    hedge,
    journal,
    kernel,
    log_task,
    replica,
    replica_messages,
    settings,
)

CLAIM_RETENTION = datetime.timedelta(hours=24)
PEER_TIMEOUT = clock.seconds(1)
# Age of the confirmation after which a follower hedges. Entry instances are confirmed by followers,
# so a follower has to react to an overdue confirmation before they do.
HEDGE_AFTER = clock.seconds(1.5)
PROPOSAL_TIMEOUT = clock.seconds(5)
# Latest versions whose log index is remembered, to tell which one a confirmation is about.
MAX_INDEXED_VERSIONS = 1024


class ControlState:
    """State machine of the log: the configuration and the claims of caller-chosen request ids."""

    def __init__(self) -> None:
        self.configuration = configuration.Configuration()
        self.claims = claims.ClaimTable(CLAIM_RETENTION, capacity=1_000_000)
        self._time = clock.ZERO

    def apply(self, command: dict[str, typing.Any]) -> typing.Any:
        """Applies a command; the result depends only on the log, not on the replica."""
        kind = command["kind"]
        if kind == "change":
            return self.configuration.apply(configuration.Change(**command["change"]))
        key = (command["organisation"], command["id"], command["arrival"])
        if kind == "claim":
            # Wall clocks of successive leaders may differ; the time of the log never decreases.
            self._time = max(self._time, datetime.timedelta(milliseconds=command["at_ms"]))
            return self.claims.claim(*key, command["holder"], self._time)
        if kind == "release":
            return self.claims.release(*key)
        return self.claims.finish(*key)

    def to_wire(self) -> dict[str, typing.Any]:
        """Returns the JSON form, for snapshots."""
        return {
            "configuration": self.configuration.to_wire(),
            "claims": self.claims.to_wire(),
            "time_s": self._time.total_seconds(),
        }

    @classmethod
    def from_wire(cls, document: dict[str, typing.Any] | None) -> ControlState:
        """Builds the state from a snapshot, an empty state from None."""
        state = cls()
        if document:
            state.configuration = configuration.Configuration.from_wire(document["configuration"])
            state.claims.load(document["claims"])
            state._time = clock.seconds(document["time_s"])
        return state


class ControlInstance(daemon.Daemon):
    """Daemon of the ``control`` role.

    Args:
        config: Settings.
        tokens: Credentials.
        clk: Source of time.
        rng: Source of randomness for election timeouts.
    """

    role = "control"

    def __init__(
        self,
        config: settings.ControlSettings,
        tokens: settings.Tokens,
        clk: clock.Clock,
        rng: random.Random,
    ) -> None:
        super().__init__(config, tokens, clk, kernel.control_routes)
        self.config = config
        self._rng = rng
        self._version_changed = False
        self._index_by_version: list[tuple[int, int]] = [(0, 0)]

    async def start_role(self) -> None:
        """Opens the journal and starts the tasks."""
        store = open_journal(self.config)
        self.stack.callback(store.close)
        self.state = ControlState()
        self.feed = feed.Feed(self.config.instance, "control", self.state.configuration, self.clock)
        self.feed.address = self.address
        self.log = log_task.LogTask(
            store,
            self,
            self.client,
            self.clock,
            self._rng,
            replica.Timing(self.config.heartbeat, self.config.election_timeout),
            self.spawn,
            self.config.snapshot_every,
        )
        self.replica = self.log.replica
        if not self.replica.is_voter:
            events.emit(events.NEW_MEMBER_WAITING, identity=self.replica.identity)
        self.log.start()
        self.spawn("subscription", self._subscribe)
        self.spawn("hedge", hedge.ConfirmationHedge(self.feed, HEDGE_AFTER, self._hedge_poll).run)

    # State machine of the log

    def apply(self, command: typing.Any, index: int) -> typing.Any:
        """Applies a committed command."""
        version = self.state.configuration.version
        result = self.state.apply(command)
        if self.state.configuration.version != version:
            self._version_changed = True
            self._index_by_version.append((index, self.state.configuration.version))
            del self._index_by_version[:-MAX_INDEXED_VERSIONS]
        return result

    def load(self, document: typing.Any) -> None:
        """Replaces the state with that of a snapshot."""
        self.state = ControlState.from_wire(document)
        self._index_by_version = [(0, self.state.configuration.version)]
        self.feed.state = self.state.configuration
        self.feed.refresh()

    def dump(self) -> typing.Any:
        """Returns the state for a snapshot."""
        return self.state.to_wire()

    def on_applied(self) -> None:
        """Puts a new version of the configuration in force."""
        if self._version_changed:
            self._version_changed = False
            self.feed.refresh()

    def on_confirmed(self, confirmation: replica.Confirmation) -> None:
        """Passes the log's confirmation on to the subscribers of the feed."""
        self.feed.confirm(self._version_at(confirmation.index), confirmation.as_of)

    def _version_at(self, index: int) -> int:
        """Returns the configuration version as of a log index."""
        for applied, version in reversed(self._index_by_version):
            if applied <= index:
                return version
        return self.state.configuration.version

    # Other tasks

    async def _subscribe(self) -> None:
        """Polls the leader's feed for confirmations while this instance is a follower."""
        while True:
            leader = self.leader_address()
            if not leader or self.replica.role == "leader":
                await asyncio.sleep(0.2)
                continue
            try:
                await self._poll_leader(leader, feed.HOLD_TIMEOUT + PEER_TIMEOUT)
            except errors.FlamingotillerError:
                await asyncio.sleep(0.2)

    async def _poll_leader(
        self, leader: str, timeout: datetime.timedelta, *, now: bool = False
    ) -> None:
        sent = self.clock.monotonic()
        response = await self.client.call(
            leader, "POST", "/v1/feed", self.feed.subscription(now=now), timeout=timeout
        )
        self._record_confirmation(client.raise_for_status(response, step="feed", peer=leader), sent)

    async def _hedge_poll(self) -> None:
        leader = self.leader_address()
        if leader and self.replica.role != "leader":
            await self._poll_leader(leader, PEER_TIMEOUT, now=True)

    def _record_confirmation(self, document: dict[str, typing.Any], sent) -> None:
        # Only the age of the confirmation is taken from the leader's feed. A control instance takes
        # the configuration itself from its log.
        try:
            if document["age_s"] is not None:
                held, age = clock.seconds(document["held_s"]), clock.seconds(document["age_s"])
                self.feed.confirm(int(document["version"]), sent + held - age)
        except (KeyError, TypeError, ValueError) as error:
            raise errors.ProtocolError(
                f"malformed answer of a feed: {error}", step="feed"
            ) from error

    # Methods for the routes

    def leader_address(self) -> str:
        """Returns the leader's address, empty if unknown."""
        return self.log.leader_address

    async def propose(self, command: dict[str, typing.Any]) -> typing.Any:
        """Proposes a command to the log and returns the result of applying it.

        Raises:
            errors.NotLeaderError: This instance does not lead or lost leadership. The command may
                or may not be decided; resend it to the leader.
            errors.UnavailableError: The command was not decided in time; resend it with the same
                change id.
            errors.StorageError: This instance's storage fails; resend it with the same change id.
        """
        return await self.log.propose(command, PROPOSAL_TIMEOUT)

    async def change_members(self, change: log_task.MembersChange) -> None:
        """Proposes a membership change to the log.

        Args:
            change: Computes the new membership from the one in force.

        Raises:
            errors.FlamingotillerError: See ``propose``.
        """
        await self.log.change_members(change, PROPOSAL_TIMEOUT)

    def unready_reason(self) -> str:
        """Returns why this instance is not ready, empty if it is ready."""
        if self.log.storage_failed:
            return "storage failed"
        return "" if self.replica.leader else "no leader known"

    def update_metrics(self) -> None:
        """Updates the gauges from the present state."""
        super().update_metrics()
        self.metrics.gauge("flamingotiller_config_version", self.feed.version)
        self.metrics.gauge("flamingotiller_log_term", self.replica.store.term)
        self.metrics.gauge("flamingotiller_log_commit_index", self.replica.commit)
        self.metrics.gauge("flamingotiller_is_leader", int(self.replica.role == "leader"))


def create_founding_member(
    folder: pathlib.Path, instance: str, address_by_instance: dict[str, str]
) -> None:
    """Creates the data folder of a founding member of a new log.

    Args:
        folder: The data folder.
        instance: Name of this member.
        address_by_instance: Addresses of all founding members by name.

    Raises:
        errors.StorageError: The folder is already in use.
        errors.InvalidInputError: The instance is not among the members.
    """
    if instance not in address_by_instance:
        raise errors.InvalidInputError(f"{instance} is not among the members", step="found")
    journal.DiskJournal.create(folder, f"{instance}.0")
    with contextlib.closing(journal.DiskJournal(folder)) as store:
        voters = {f"{name}.0": address for name, address in address_by_instance.items()}
        members = replica_messages.Members(voters).to_wire()
        store.set_vote(1, "")
        store.append(journal.Entry(1, 1, "members", members))
        store.sync()


def open_journal(config: settings.ControlSettings) -> journal.DiskJournal:
    """Opens the journal in the data folder; a blank folder first gets a new identity.

    An identity is never reused, so a member that lost its disk cannot vote twice in a term. It
    returns as a new member.
    """
    if not (config.data / "identity").exists():
        journal.DiskJournal.create(config.data, f"{config.instance}.{secrets.token_hex(4)}")
    return journal.DiskJournal(config.data)


def build(config: settings.ControlSettings, tokens: settings.Tokens) -> ControlInstance:
    """Returns a control instance that uses the system's clock and random source."""
    return ControlInstance(config, tokens, clock.SystemClock(), random.SystemRandom())
