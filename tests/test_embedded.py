"""End-to-end tests in one process: look-up, keyed request, endpoint and answer."""

import asyncio

from flamingotiller import caller, clock, embedded

CONTRACT = {
    "organisation": "growers",
    "rate": 200.0,
    "burst": 400.0,
    "routes": [
        {"name": "search", "path": "/names", "service": "search", "idempotent": True},
        {"name": "file", "path": "/filings", "service": "search", "methods": ["POST"]},
        {"name": "open", "path": "/open", "service": "search", "access": "open"},
    ],
}


async def configure(fleet):
    async with fleet.operator() as operator:
        await operator.change("deployment/main", fleet.deployment(), 0)
        await operator.change("contract/growers", CONTRACT, 0)
        key, verdict = await operator.give_key("growers")
        waiting = await operator.wait(verdict.to_version, clock.seconds(10))
        assert waiting.done, waiting
    return key


async def until_served(sender, target="/names"):
    for _ in range(100):
        answer = await sender.send("GET", target)
        if answer.status == 200:
            return answer
        await asyncio.sleep(0.1)
    raise AssertionError((answer.status, answer.body))


def test_request_is_served_end_to_end():
    async def scenario():
        plan = embedded.Plan({"z1": "r1", "z2": "r2"}, services=("search",))
        async with embedded.running(plan) as fleet:
            key = await configure(fleet)
            seeds = [instance.address for instance in fleet.entries]
            sender = caller.Caller(seeds, "growers", key, clock.SystemClock())
            answer = await until_served(sender)
            assert answer.json()["target"] == "/names"
            request_id = await sender.new_id()
            first = await sender.send("POST", "/filings", b"x", request_id=request_id)
            again = await sender.send("POST", "/filings", b"x", request_id=request_id)
            assert (first.status, again.status) == (200, 200), (first, again)
            assert first.body == again.body
            own_id = await sender.send("POST", "/filings", b"x", request_id="mine-1")
            own_id_again = await sender.send("POST", "/filings", b"x", request_id="mine-1")
            assert own_id.status == 200, own_id
            assert own_id_again.status == 200, own_id_again
            runs = sum(
                (endpoint.runs_by_id for endpoint in fleet.endpoints),
                start=type(fleet.endpoints[0].runs_by_id)(),
            )
            assert runs[request_id] == 1
            assert runs["mine-1"] == 1
            for endpoint in fleet.endpoints:
                for run in endpoint.runs:
                    assert key not in str(run.headers)
            wrong = caller.Caller(seeds, "growers", "growers.00000000.x", clock.SystemClock())
            refused = await wrong.send("GET", "/names")
            assert refused.status == 401
            assert refused.json()["outcome"] == "not-run"
            await sender.close()
            await wrong.close()

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_rate_and_burst_are_kept_over_zones_and_callers():
    async def scenario():
        plan = embedded.Plan(
            {"z1": "r1", "z2": "r2", "z3": "r3"}, services=("search",), slots=50, service_time_s=0
        )
        async with embedded.running(plan) as fleet:
            key = await configure(fleet)
            async with fleet.operator() as operator:
                small = {**CONTRACT, "rate": 20.0, "burst": 30.0}
                verdict = await operator.change("contract/growers", small, None)
                await operator.wait(verdict.to_version, clock.seconds(10))
            senders = [
                caller.Caller([e.address], "growers", key, clock.SystemClock())
                for e in fleet.entries
            ]
            system_clock = clock.SystemClock()
            began = system_clock.monotonic()
            runs = sum(len(endpoint.runs) for endpoint in fleet.endpoints)
            statuses = set()
            while system_clock.monotonic() - began < clock.seconds(3):
                answers = await asyncio.gather(
                    *(
                        sender.send("GET", "/names", instance=instance.address)
                        for sender, instance in zip(senders, fleet.entries, strict=True)
                        for _ in range(10)
                    )
                )
                statuses |= {answer.status for answer in answers}
            took = (system_clock.monotonic() - began).total_seconds()
            runs = sum(len(endpoint.runs) for endpoint in fleet.endpoints) - runs
            # Zones may have lent or spent tokens under the earlier, larger contract, so runs count
            # only from the time when the smaller one is in force everywhere.
            assert runs <= 30 + 20 * took
            assert runs >= 20 * took * 0.5
            assert statuses == {200, 429}
            for sender in senders:
                await sender.close()

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_unresponsive_zones_do_not_delay_requests_that_get_a_local_slot(monkeypatch):
    async def scenario():
        plan = embedded.Plan({"z1": "r1"}, services=("search",), slots=1, service_time_s=0.05)
        async with embedded.running(plan) as fleet:
            key = await configure(fleet)
            (entry,) = fleet.entries
            sender = caller.Caller([entry.address], "growers", key, clock.SystemClock())
            await until_served(sender)

            async def never_answer(ask):
                await asyncio.sleep(60)

            monkeypatch.setattr(entry.slots, "_ask_other_zones", never_answer)
            answers = await asyncio.gather(*(sender.send("GET", "/names") for _ in range(12)))
            assert [answer.status for answer in answers] == [200] * 12
            await sender.close()

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_free_ports_returns_no_port_twice():
    ports = [port for _ in range(50) for port in embedded.free_ports(4)]
    assert len(set(ports)) == len(ports)
    assert set(ports) <= set(embedded.LISTEN_PORTS)
