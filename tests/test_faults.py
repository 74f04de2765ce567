"""Faults of targets, table and instances, each in its own deployment."""

import asyncio

import aiohttp

from cardamom_daemon import messages
from tests import harness

COMPLETIONS = "/v1/chat/completions"


async def _wait_until_loaded(deployment: harness.Deployment) -> None:
    """Wait until every engine reports the model "small"."""
    await deployment.until(
        lambda: all(
            target.state is not None
            and any(r.model == "small" for r in target.state.residents)
            for target in deployment.instances[0].target_registry.engines()
        )
    )


class TestTargets:
    """Targets that crash, don't answer, or send wrong answers."""

    def test_poison_request_crashes_two_engines_and_fails_no_other(
        self,
    ) -> None:
        async def scenario() -> None:
            async with harness.running_deployment(instances=2) as deployment:
                await _wait_until_loaded(deployment)
                urls = [deployment.caller_url(n) + COMPLETIONS for n in (0, 1)]
                poison = deployment.chat(
                    messages=[{"role": "user", "content": "poison-pill"}]
                )
                others = [
                    harness.post_json(
                        urls[n % 2],
                        deployment.chat(
                            messages=[{"role": "user", "content": f"i {n}"}],
                            max_tokens=40,
                        ),
                        deployment.headers(),
                    )
                    for n in range(6)
                ]
                suspect = harness.post_json(
                    urls[0], poison, deployment.headers()
                )
                *answers, poison_answer = await asyncio.gather(
                    *others, suspect
                )
                assert poison_answer[1]["error"]["code"] == "suspect_refused"
                assert [status for status, _, _ in answers] == [200] * 6
                repeated = await harness.post_json(
                    urls[1], poison, deployment.headers()
                )
                assert repeated[1]["error"]["code"] == "suspect_refused"
                assert repeated[1]["error"]["not_run"]
                crashes = sum(e.crashes for e in deployment.engines.values())
                assert crashes == 2

        asyncio.run(scenario())

    def test_refusal_after_an_attempt_does_not_say_not_run(self) -> None:
        async def scenario() -> None:
            async with harness.running_deployment() as deployment:
                await _wait_until_loaded(deployment)
                poison = deployment.chat(
                    messages=[{"role": "user", "content": "poison-pill"}]
                )
                _, answer, _ = await harness.post_json(
                    deployment.caller_url() + COMPLETIONS,
                    poison,
                    deployment.headers(),
                )
                error = answer["error"]
                assert error["not_run"] is False
                executed = [
                    r
                    for e in deployment.engines.values()
                    for r in e.executed_request_ids
                ]
                assert error["request_id"] in executed

        asyncio.run(scenario())

    def test_silent_connection_does_not_mark_the_target_down(self) -> None:
        async def scenario() -> None:
            async with harness.running_deployment(engines=1) as deployment:
                url = deployment.caller_url() + COMPLETIONS
                body = deployment.chat(model="large")
                first = await harness.post_json(
                    url, body, deployment.headers()
                )
                assert first[0] == 200
                engine = deployment.engines["engine-1"]
                engine.set_faults({"silence": True})
                repeated = await harness.post_json(
                    url, body, deployment.headers()
                )
                assert repeated[0] == 200
                target = deployment.instances[0].target_registry.engines()[0]
                assert target.is_up
                assert target.pool.replace_count >= 1

        asyncio.run(scenario())

    def test_short_and_crossed_answers_are_not_passed_on(self) -> None:
        async def scenario() -> None:
            async with harness.running_deployment() as deployment:
                await _wait_until_loaded(deployment)
                url = deployment.caller_url() + COMPLETIONS
                engine = deployment.engines["engine-1"]
                engine.set_faults({"crossed_answers": 1.0})
                for number in range(6):
                    text = f"c {number}"
                    body = deployment.chat(
                        messages=[{"role": "user", "content": text}]
                    )
                    status, answer, headers = await harness.post_json(
                        url, body, deployment.headers()
                    )
                    assert status == 200
                    assert headers["X-Request-Id"] == answer["id"]
                engine.set_faults(
                    {"crossed_answers": 0.0, "short_answers": 1.0}
                )
                async with aiohttp.ClientSession() as session:
                    for _ in range(4):
                        async with session.post(
                            url,
                            json=deployment.chat(stream=True),
                            headers=deployment.headers(),
                        ) as response:
                            text = await response.text()
                        is_complete = text.endswith("data: [DONE]\n\n")
                        assert is_complete or '"error"' in text

        asyncio.run(scenario())


class TestAtMostOnceCalls:
    """Non-idempotent calls run at most once if answer or table is lost."""

    def test_lost_answer_is_unknown_and_never_runs_again(self) -> None:
        async def scenario() -> None:
            async with harness.running_deployment(services=1) as deployment:
                url = deployment.caller_url() + "/consents"
                service = deployment.services["app-1"]
                service.set_faults({"lose_answers": 1.0})
                headers = deployment.headers(**{"Idempotency-Key": "k"})
                first = await harness.post_json(url, {}, headers)
                assert first[1]["error"]["code"] == "outcome_unknown"
                assert first[1]["error"]["not_run"] is False
                service.set_faults({"lose_answers": 0.0})
                repeated = await harness.post_json(url, {}, headers)
                assert repeated[1]["error"]["code"] == "outcome_unknown"
                assert service.runs_by_key["k"] == 1

        asyncio.run(scenario())

    def test_without_the_table_nothing_is_sent(self) -> None:
        async def scenario() -> None:
            async with harness.running_deployment(services=1) as deployment:
                deployment.table.set_faults({"down": True})
                url = deployment.caller_url() + "/consents"
                headers = deployment.headers(**{"Idempotency-Key": "k"})
                status, answer, response_headers = await harness.post_json(
                    url, {}, headers
                )
                assert status == 503
                assert answer["error"]["not_run"] is True
                assert int(response_headers["Retry-After"]) >= 1
                assert deployment.services["app-1"].runs_by_key["k"] == 0
                deployment.table.set_faults({"down": False})

        asyncio.run(scenario())


class TestFreshness:
    """Stale instances refuse calls; seats move without the table."""

    def test_isolated_instance_refuses_and_becomes_unready(self) -> None:
        async def scenario() -> None:
            async with harness.running_deployment(instances=3) as deployment:
                isolated = deployment.instances[0]
                deployment.table.set_faults({"down": True})
                others = deployment.instances[1:]
                for other in others:
                    await other.close()
                await deployment.until(lambda: not isolated.fleet.is_fresh())
                status, answer, _ = await harness.post_json(
                    deployment.caller_url() + COMPLETIONS,
                    deployment.chat(),
                    deployment.headers(),
                )
                assert (status, answer["error"]["code"]) == (503, "not_fresh")
                assert answer["error"]["not_run"] is True
                assert not isolated.fleet.is_ready()

        asyncio.run(scenario())

    def test_unsynchronised_instance_does_not_call_a_key_unknown(self) -> None:
        async def scenario() -> None:
            async with harness.running_deployment() as deployment:
                deployment.table.set_faults({"down": True})
                await deployment.instances[0].close()
                await deployment.start_instance()
                status, answer, _ = await harness.post_json(
                    deployment.caller_url(1) + COMPLETIONS,
                    deployment.chat(),
                    deployment.headers(),
                )
                assert (status, answer["error"]["code"]) == (503, "not_fresh")

        asyncio.run(scenario())

    def test_every_instance_is_replaced_while_the_table_is_down(self) -> None:
        async def scenario() -> None:
            async with harness.running_deployment(instances=3) as deployment:
                await _wait_until_loaded(deployment)
                deployment.table.set_faults({"down": True})
                for number in range(3):
                    started = await deployment.start_instance()
                    await deployment.until(started.fleet.is_ready)
                    leaving = deployment.instances[number]
                    leaving.begin_drain()
                    await leaving.stopped.wait()
                remaining = deployment.instances[3:]
                await deployment.until(
                    lambda: all(
                        i.fleet.is_fresh() and i.fleet.own_seat
                        for i in remaining
                    )
                )
                status, answer, _ = await harness.post_json(
                    deployment.caller_url(5) + COMPLETIONS,
                    deployment.chat(),
                    deployment.headers(),
                )
                assert status == 200, answer

        asyncio.run(scenario())

    def test_removed_seat_does_not_count_in_later_quorums(self) -> None:
        async def scenario() -> None:
            async with harness.running_deployment(instances=4) as deployment:
                remaining = deployment.instances
                for _ in range(2):
                    failed = remaining.pop()
                    await failed.close()
                    await deployment.until(
                        lambda: all(
                            i.fleet.roster is not None
                            and len(i.fleet.seats()) == len(remaining)
                            and i.fleet.roster.is_settled
                            for i in remaining
                        )
                    )
                roster = remaining[0].fleet.roster
                assert roster is not None
                assert len(roster.voter_sets()) == 1
                assert all(i.fleet.is_fresh() for i in remaining)

        asyncio.run(scenario())

    def test_successor_must_hold_what_was_acknowledged(self) -> None:
        async def scenario() -> None:
            async with harness.running_deployment() as deployment:
                first = deployment.instances[0]
                successor = await deployment.start_instance()
                await deployment.until(successor.fleet.is_ready)
                keeper = successor.keeper
                successor.fleet.own_seat = None
                seat = first.fleet.seats()[0]
                versions = first.fleet.documents.versions()
                note = messages.SeatNote(
                    seat.id,
                    successor.fleet.instance,
                    successor.settings.peer_address,
                    "dc-a",
                    seat.generation + 1,
                )
                report = first.fleet.shares.last_report()
                newer = {**versions, "config": versions["config"] + 1}
                for wanted in (newer, versions):
                    transfer = messages.SeatTransfer(
                        note, report, [], [], wanted
                    )
                    is_accepted = keeper.accept_seat(transfer)
                    assert is_accepted is (wanted is versions)

        asyncio.run(scenario())

    def test_withdrawal_without_the_table(self) -> None:
        async def scenario() -> None:
            async with harness.running_deployment(instances=3) as deployment:
                deployment.table.set_faults({"down": True})
                first = deployment.instances[0]
                result = await first.changes.withdraw_key(deployment.key_id)
                assert result["in_force"]
                assert not result["durable"]
                for number in range(3):
                    status, answer, _ = await harness.post_json(
                        deployment.caller_url(number) + COMPLETIONS,
                        deployment.chat(),
                        deployment.headers(),
                    )
                    assert status == 401
                    assert answer["error"]["code"] == "key_withdrawn"
                deployment.table.set_faults({"down": False})
                await deployment.until(
                    lambda: not first.fleet.withdrawn.pending()
                )

        asyncio.run(scenario())


class TestShares:
    """Units of failed instances are restored; tokens can be borrowed."""

    def test_units_of_a_failed_instance_are_minted_again(self) -> None:
        async def scenario() -> None:
            async with harness.running_deployment(instances=3) as deployment:
                failed = deployment.instances.pop()
                await failed.close()
                await deployment.until(
                    lambda: not deployment.shares_are_complete(), 5.0
                )
                await deployment.until(deployment.shares_are_complete, 60.0)

        asyncio.run(scenario())

    def test_one_instance_can_borrow_most_of_the_burst(self) -> None:
        async def scenario() -> None:
            async with harness.running_deployment(instances=3) as deployment:
                first = deployment.instances[0]
                await deployment.until(
                    lambda: (
                        sum(
                            i.fleet.shares.level("team-a")
                            for i in deployment.instances
                        )
                        > 90_000
                    )
                )
                outcome = await first.broker.charge("team-a", 80_000)
                assert not hasattr(outcome, "missing_tokens"), outcome

        asyncio.run(scenario())
