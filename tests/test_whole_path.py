"""Calls from a caller through an instance to a target and back."""

import asyncio

import aiohttp

from tests import harness


async def _wait_until_model_is_ready(deployment: harness.Deployment) -> None:
    first = deployment.instances[0]
    await deployment.until(
        lambda: (
            sum(
                any(r.model == "small" for r in t.state.residents)
                for t in first.target_registry.engines()
                if t.state
            )
            == 2
        )
    )


class TestModelCalls:
    """Model calls with a key, streamed and not."""

    def test_complete_answer_and_refusals(self) -> None:
        """A call could fail, or a refusal carry a wrong status or field."""

        async def scenario() -> None:
            async with harness.running_deployment() as deployment:
                await _wait_until_model_is_ready(deployment)
                url = deployment.caller_url() + "/v1/chat/completions"
                status, answer, headers = await harness.post_json(
                    url, deployment.chat(), deployment.headers()
                )
                assert status == 200, answer
                assert answer["usage"]["completion_tokens"] == 8
                assert headers["X-Request-Id"] == answer["id"]
                status, answer, _ = await harness.post_json(
                    url, deployment.chat()
                )
                assert (status, answer["error"]["not_run"]) == (401, True)
                status, answer, _ = await harness.post_json(
                    url, deployment.chat(model="none"), deployment.headers()
                )
                assert status == 404
                body = deployment.chat(
                    messages=[{"role": "user", "content": 5}]
                )
                status, answer, _ = await harness.post_json(
                    url, body, deployment.headers()
                )
                assert status == 400
                assert "messages[0].content" in answer["error"]["message"]

        asyncio.run(scenario())

    def test_withdrawn_key_ends_a_stream(self) -> None:
        """A stream could continue after its key is withdrawn."""

        async def scenario() -> None:
            async with harness.running_deployment() as deployment:
                await _wait_until_model_is_ready(deployment)
                url = deployment.caller_url() + "/v1/chat/completions"
                async with aiohttp.ClientSession() as session:
                    async with session.post(
                        url,
                        json=deployment.chat(stream=True),
                        headers=deployment.headers(),
                    ) as response:
                        text = await response.text()
                    assert text.endswith("data: [DONE]\n\n")
                    async with session.post(
                        url,
                        json=deployment.chat(stream=True, max_tokens=4000),
                        headers=deployment.headers(),
                    ) as response:
                        await response.content.readany()
                        await deployment.instances[0].changes.withdraw_key(
                            deployment.key_id
                        )
                        remaining_text = await response.text()
                    assert "key_withdrawn" in remaining_text
                    assert "[DONE]" not in remaining_text

        asyncio.run(scenario())


class TestPlainCalls:
    """Routes to plain services: open and keyed, idempotent and not."""

    def test_access_and_idempotency_of_routes(self) -> None:
        """A keyed route could answer without a key.

        A call with the same idempotency key could run twice.
        """

        async def scenario() -> None:
            async with harness.running_deployment() as deployment:
                base = deployment.caller_url()
                async with aiohttp.ClientSession() as session:
                    async with session.get(base + "/public/a") as response:
                        assert response.status == 200
                    async with session.get(base + "/profiles/a") as response:
                        assert response.status == 401
                    async with session.get(
                        base + "/profiles/a?x=1", headers=deployment.headers()
                    ) as response:
                        assert (await response.json())["path"] == (
                            "/profiles/a?x=1"
                        )
                url = base + "/consents"
                status, answer, _ = await harness.post_json(
                    url, {"a": 1}, deployment.headers()
                )
                assert answer["error"]["code"] == "idempotency_key_required"
                headers = deployment.headers(**{"Idempotency-Key": "one"})
                first = await harness.post_json(url, {"a": 1}, headers)
                repeated = await harness.post_json(url, {"a": 1}, headers)
                assert first[0] == repeated[0] == 200
                assert first[1] == repeated[1]
                conflict = await harness.post_json(url, {"a": 2}, headers)
                assert conflict[1]["error"]["code"] == "idempotency_key_reused"
                runs = sum(
                    s.runs_by_key["one"] for s in deployment.services.values()
                )
                assert runs == 1

        asyncio.run(scenario())


class TestTraces:
    """Propagation of the trace context."""

    def test_trace_reaches_the_target_and_the_caller(self) -> None:
        """A span could start a new trace or reuse its parent's id."""
        trace_id = "4bf92f3577b34da6a3ce929d0e0e4736"
        parent = f"00-{trace_id}-00f067aa0ba902b7-01"

        async def scenario() -> None:
            async with harness.running_deployment() as deployment:
                async with aiohttp.ClientSession() as session:
                    async with session.get(
                        deployment.caller_url() + "/profiles/a",
                        headers=deployment.headers(traceparent=parent),
                    ) as response:
                        answer = await response.json()
                returned = response.headers["traceparent"]
                assert returned.split("-")[1] == trace_id
                forwarded = answer["traceparent"].split("-")
                assert forwarded[1] == trace_id
                assert forwarded[2] not in (parent, returned.split("-")[2])

        asyncio.run(scenario())
