"""Claims of request ids as an entry instance makes and keeps them: finds an id's home, asks it,
and fetches the outcome of a finished request from the instance that keeps it."""

from __future__ import annotations

import base64
import typing

from flamingotiller import claims, client, clock, errors

if typing.TYPE_CHECKING:
    from flamingotiller import entry

TIMEOUT = clock.seconds(2)


class ClaimService:
    """Claims of an entry instance.

    Args:
        process: The entry instance.
    """

    def __init__(self, process: entry.EntryInstance) -> None:
        self._process = process
        retention = process.config.retention
        self.issued = claims.IssuedClaims(
            process.config.instance,
            process.table.own.epoch,
            process.clock.monotonic(),
            retention,
        )
        self.outcomes = claims.OutcomeStore(retention)

    def issue(self, nonce: str) -> str:
        """Returns a prefix of request ids whose home is this instance."""
        return self.issued.issue(self._process.config.zone, nonce, self._process.clock.monotonic())

    async def claim(self, organisation: str, request_id: str, arrival: str) -> claims.Verdict:
        """Claims an id at its home.

        Raises:
            errors.FlamingotillerError: The home could not be asked; nothing is known.
        """
        document = await self._send("claim", organisation, request_id, arrival)
        return claims.Verdict(claims.State(document["state"]), str(document["holder"]))

    async def release(self, organisation: str, request_id: str, arrival: str) -> None:
        """Takes a claim back; when that fails a resend is answered "unknown"."""
        await self._send("release", organisation, request_id, arrival)

    async def finish(self, organisation: str, request_id: str, arrival: str) -> None:
        """Notes that the run has ended and that this instance keeps the outcome."""
        await self._send("finish", organisation, request_id, arrival)

    async def _send(
        self, kind: str, organisation: str, request_id: str, arrival: str
    ) -> dict[str, typing.Any]:
        body = {
            "kind": kind,
            "organisation": organisation,
            "id": request_id,
            "arrival": arrival,
            "holder": self._process.address,
        }
        issued = claims.parse_issued_id(request_id)
        if issued is None:
            return await self._process.control.call("POST", "/v1/log-claims", body, TIMEOUT)
        return await self._send_to_home(issued, body)

    async def _send_to_home(
        self, issued: claims.IssuedId, body: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        own = self._process.config
        if issued.home == own.instance:
            return self.on_message(body)
        if issued.zone == own.zone:
            member = self._process.table.member_by_instance.get(issued.home)
            addresses = [member.address] if member else []
        else:
            addresses = self._process.table.addresses_in(issued.zone)[:2]
        for address in addresses:
            try:
                answer = await self._process.client.call(
                    address, "POST", "/v1/claims", body, timeout=TIMEOUT
                )
                return client.raise_for_status(answer, step="claim", peer=address)
            except (errors.TransportError, errors.UnavailableError):
                continue
        raise errors.UnavailableError(f"the home {issued.home} cannot be asked", step="claim")

    async def on_claim(self, body: typing.Any) -> dict[str, typing.Any]:
        """Answers an instance that claims an id, passing it on within the zone.

        Raises:
            errors.InvalidInputError: The message is malformed.
            errors.UnavailableError: The home is of this zone but not known.
        """
        try:
            issued = claims.parse_issued_id(str(body["id"]))
            hops = int(body.get("hops", 0))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise errors.InvalidInputError(f"bad claim: {error}", step="claim") from error
        if issued is None:
            raise errors.InvalidInputError("not an id from a look-up", step="claim")
        if issued.home == self._process.config.instance or hops:
            return self.on_message(body)
        return await self._send_to_home(issued, {**body, "hops": 1})

    def on_message(self, body: dict[str, typing.Any]) -> dict[str, typing.Any]:
        """Handles a claim as its home."""
        key = (str(body["organisation"]), str(body["id"]), str(body["arrival"]))
        if body["kind"] == "release":
            self.issued.release(*key)
            return {}
        if body["kind"] == "finish":
            self.issued.finish(*key)
            return {}
        now = self._process.clock.monotonic()
        verdict = self.issued.claim(*key, str(body["holder"]), now)
        if verdict is None:
            raise errors.UnavailableError("the table of claims is full", step="claim")
        return {"state": verdict.state.value, "holder": verdict.holder}

    async def outcome(
        self, holder: str, organisation: str, request_id: str
    ) -> claims.Outcome | None:
        """Returns a finished request's outcome, None when it is not kept any more."""
        if holder == self._process.address:
            return self.outcomes.get(organisation, request_id)
        body = {"organisation": organisation, "id": request_id}
        try:
            answer = await self._process.client.call(
                holder, "POST", "/v1/outcomes", body, timeout=TIMEOUT
            )
            document = client.raise_for_status(answer, step="outcome", peer=holder)
            if not document:
                return None
            headers = [(k.encode("latin-1"), v.encode("latin-1")) for k, v in document["headers"]]
            return claims.Outcome(
                int(document["status"]), headers, base64.b64decode(document["body"])
            )
        except (errors.FlamingotillerError, KeyError, TypeError, ValueError):
            return None

    def on_outcome(self, body: typing.Any) -> dict[str, typing.Any]:
        """Answers an instance that asks for an outcome kept here.

        Raises:
            errors.InvalidInputError: The message is malformed.
        """
        try:
            outcome = self.outcomes.get(str(body["organisation"]), str(body["id"]))
        except (KeyError, TypeError) as error:
            raise errors.InvalidInputError(f"bad request: {error}", step="outcome") from error
        if outcome is None:
            return {}
        headers = [(k.decode("latin-1"), v.decode("latin-1")) for k, v in outcome.headers]
        return {
            "status": outcome.status,
            "headers": headers,
            "body": base64.b64encode(outcome.body).decode(),
        }
