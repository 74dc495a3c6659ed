"""Claims of request ids at an entry instance.

``ClaimService`` claims ids at their homes, handles other instances' claims of the ids that it has
issued itself, and exchanges the outcomes of finished requests with them."""

from __future__ import annotations

import base64
import typing

from flamingotiller import claims, client, clock, errors

if typing.TYPE_CHECKING:
    from flamingotiller import entry

REQUEST_TIMEOUT = clock.seconds(2)


class ClaimService:
    """Makes and stores the claims of an entry instance.

    Args:
        process: The entry instance.

    Attributes:
        issued_claims: Claims of the ids that this instance has issued.
        outcomes: Outcomes of the requests that this instance has run.
    """

    def __init__(self, process: entry.EntryInstance) -> None:
        self._process = process
        retention = process.config.retention
        self.issued_claims = claims.IssuedClaims(
            process.config.instance,
            process.table.own.epoch,
            process.clock.monotonic(),
            retention,
        )
        self.outcomes = claims.OutcomeStore(retention)

    def issue(self, nonce: str) -> str:
        """Issues a prefix of request ids whose home is this instance."""
        return self.issued_claims.issue(
            self._process.config.zone, nonce, self._process.clock.monotonic()
        )

    async def claim(self, organisation: str, request_id: str, token: str) -> claims.Verdict:
        """Claims an id at its home.

        Raises:
            errors.FlamingotillerError: The home cannot be reached or did not respond.
        """
        document = await self._send_claim("claim", organisation, request_id, token)
        return claims.Verdict(claims.State(document["state"]), str(document["holder"]))

    async def release(self, organisation: str, request_id: str, token: str) -> None:
        """Releases a claim; if that fails, a resend is refused with the outcome "unknown"."""
        await self._send_claim("release", organisation, request_id, token)

    async def finish(self, organisation: str, request_id: str, token: str) -> None:
        """Records at the home that the request has run and that its outcome is stored here."""
        await self._send_claim("finish", organisation, request_id, token)

    async def _send_claim(
        self, kind: str, organisation: str, request_id: str, token: str
    ) -> dict[str, typing.Any]:
        body = {
            "kind": kind,
            "organisation": organisation,
            "id": request_id,
            "arrival": token,
            "holder": self._process.address,
        }
        issued = claims.parse_issued_id(request_id)
        if issued is None:
            return await self._process.control.call("POST", "/v1/log-claims", body, REQUEST_TIMEOUT)
        return await self._send_to_home(issued, body)

    async def _send_to_home(
        self, issued: claims.IssuedId, body: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        config = self._process.config
        if issued.home == config.instance:
            return self._handle_as_home(body)
        if issued.zone == config.zone:
            member = self._process.table.member_by_instance.get(issued.home)
            addresses = [member.address] if member else []
        else:
            addresses = self._process.table.addresses_in(issued.zone)[:2]
        for address in addresses:
            try:
                response = await self._process.client.call(
                    address, "POST", "/v1/claims", body, timeout=REQUEST_TIMEOUT
                )
                return client.raise_for_status(response, step="claim", peer=address)
            except (errors.TransportError, errors.UnavailableError):
                continue
        raise errors.UnavailableError(f"the home {issued.home} cannot be reached", step="claim")

    async def on_claim(self, body: typing.Any) -> dict[str, typing.Any]:
        """Handles a claim message, or forwards it once if another instance is the id's home.

        Raises:
            errors.InvalidInputError: The message is malformed.
            errors.UnavailableError: The home cannot be reached or its table is full.
        """
        try:
            issued = claims.parse_issued_id(str(body["id"]))
            hops = int(body.get("hops", 0))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise errors.InvalidInputError(f"malformed claim: {error}", step="claim") from error
        if issued is None:
            raise errors.InvalidInputError("the id was not issued with a look-up", step="claim")
        if issued.home == self._process.config.instance or hops:
            return self._handle_as_home(body)
        return await self._send_to_home(issued, {**body, "hops": 1})

    def _handle_as_home(self, body: dict[str, typing.Any]) -> dict[str, typing.Any]:
        """Claims, releases or finishes an id whose home is this instance."""
        key = (str(body["organisation"]), str(body["id"]), str(body["arrival"]))
        if body["kind"] == "release":
            self.issued_claims.release(*key)
            return {}
        if body["kind"] == "finish":
            self.issued_claims.finish(*key)
            return {}
        now = self._process.clock.monotonic()
        verdict = self.issued_claims.claim(*key, str(body["holder"]), now)
        if verdict is None:
            raise errors.UnavailableError("the table of claims is full", step="claim")
        return {"state": verdict.state.value, "holder": verdict.holder}

    async def outcome(
        self, holder: str, organisation: str, request_id: str
    ) -> claims.Outcome | None:
        """Fetches a finished request's outcome from the instance that stores it.

        Returns:
            The outcome, None if it is no longer stored or cannot be fetched.
        """
        if holder == self._process.address:
            return self.outcomes.get(organisation, request_id)
        body = {"organisation": organisation, "id": request_id}
        try:
            response = await self._process.client.call(
                holder, "POST", "/v1/outcomes", body, timeout=REQUEST_TIMEOUT
            )
            document = client.raise_for_status(response, step="outcome", peer=holder)
            if not document:
                return None
            headers = [
                (name.encode("latin-1"), value.encode("latin-1"))
                for name, value in document["headers"]
            ]
            return claims.Outcome(
                int(document["status"]), headers, base64.b64decode(document["body"])
            )
        except (errors.FlamingotillerError, KeyError, TypeError, ValueError):
            return None

    def on_outcome(self, body: typing.Any) -> dict[str, typing.Any]:
        """Returns the JSON form of an outcome stored here, empty if there is none.

        Raises:
            errors.InvalidInputError: The message is malformed.
        """
        try:
            outcome = self.outcomes.get(str(body["organisation"]), str(body["id"]))
        except (KeyError, TypeError) as error:
            raise errors.InvalidInputError(f"malformed request: {error}", step="outcome") from error
        if outcome is None:
            return {}
        headers = [
            (name.decode("latin-1"), value.decode("latin-1")) for name, value in outcome.headers
        ]
        return {
            "status": outcome.status,
            "headers": headers,
            "body": base64.b64encode(outcome.body).decode(),
        }
