"""The complete path, from a caller through an instance to a target."""

import asyncio

import aiohttp

from tests import harness


async def _model_ready(world: harness.World) -> None:
    first = world.instances[0]
    await world.until(
        lambda: (
            sum(
                any(r.model == "small" for r in t.state.residents)
                for t in first.book.engines()
                if t.state
            )
            == 2
        )
    )


class TestModelCalls:
    """Model calls with a key, whole and streamed."""

    def test_whole_answer_and_refusals(self) -> None:
        async def scene() -> None:
            async with harness.running_world() as world:
                await _model_ready(world)
                url = world.caller_url() + "/v1/chat/completions"
                status, answer, headers = await harness.post_json(
                    url, world.chat(), world.headers()
                )
                assert status == 200, answer
                assert answer["usage"]["completion_tokens"] == 8
                assert headers["X-Request-Id"] == answer["id"]
                status, answer, _ = await harness.post_json(url, world.chat())
                assert (status, answer["error"]["not_run"]) == (401, True)
                status, answer, _ = await harness.post_json(
                    url, world.chat(model="none"), world.headers()
                )
                assert status == 404
                body = world.chat(messages=[{"role": "user", "content": 5}])
                status, answer, _ = await harness.post_json(
                    url, body, world.headers()
                )
                assert status == 400
                assert "messages[0].content" in answer["error"]["message"]

        asyncio.run(scene())

    def test_stream_and_withdrawal(self) -> None:
        async def scene() -> None:
            async with harness.running_world() as world:
                await _model_ready(world)
                url = world.caller_url() + "/v1/chat/completions"
                async with aiohttp.ClientSession() as session:
                    async with session.post(
                        url,
                        json=world.chat(stream=True),
                        headers=world.headers(),
                    ) as response:
                        text = await response.text()
                    assert text.endswith("data: [DONE]\n\n")
                    async with session.post(
                        url,
                        json=world.chat(stream=True, max_tokens=4000),
                        headers=world.headers(),
                    ) as response:
                        await response.content.readany()
                        await world.instances[0].changes.withdraw_key(
                            world.key_id
                        )
                        rest = await response.text()
                    assert "key_withdrawn" in rest
                    assert "[DONE]" not in rest

        asyncio.run(scene())


class TestPlainCalls:
    """Plain routes: open, keyed, idempotent and not."""

    def test_routes(self) -> None:
        async def scene() -> None:
            async with harness.running_world() as world:
                base = world.caller_url()
                async with aiohttp.ClientSession() as session:
                    async with session.get(base + "/public/a") as response:
                        assert response.status == 200
                    async with session.get(base + "/profiles/a") as response:
                        assert response.status == 401
                    async with session.get(
                        base + "/profiles/a?x=1", headers=world.headers()
                    ) as response:
                        assert (await response.json())["path"] == (
                            "/profiles/a?x=1"
                        )
                url = base + "/consents"
                status, answer, _ = await harness.post_json(
                    url, {"a": 1}, world.headers()
                )
                assert answer["error"]["code"] == "idempotency_key_required"
                headers = world.headers(**{"Idempotency-Key": "one"})
                first = await harness.post_json(url, {"a": 1}, headers)
                again = await harness.post_json(url, {"a": 1}, headers)
                assert first[0] == again[0] == 200
                assert first[1] == again[1]
                other = await harness.post_json(url, {"a": 2}, headers)
                assert other[1]["error"]["code"] == "idempotency_key_reused"
                runs = sum(
                    s.runs_by_key["one"] for s in world.services.values()
                )
                assert runs == 1

        asyncio.run(scene())


class TestTraces:
    """Trace context, from the caller to the target and back."""

    def test_trace_goes_to_the_target_and_returns(self) -> None:
        trace_id = "4bf92f3577b34da6a3ce929d0e0e4736"
        parent = f"00-{trace_id}-00f067aa0ba902b7-01"

        async def scene() -> None:
            async with harness.running_world() as world:
                async with aiohttp.ClientSession() as session:
                    async with session.get(
                        world.caller_url() + "/profiles/a",
                        headers=world.headers(traceparent=parent),
                    ) as response:
                        answer = await response.json()
                returned = response.headers["traceparent"]
                assert returned.split("-")[1] == trace_id
                passed = answer["traceparent"].split("-")
                assert passed[1] == trace_id
                assert passed[2] not in (parent, returned.split("-")[2])

        asyncio.run(scene())
