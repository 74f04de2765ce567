"""The OpenAI client library works with only its base URL changed."""

import asyncio

import openai
import pytest

from tests import harness


class TestOpenAiClient:
    """Calls through the unmodified client library."""

    def test_list_answer_stream_and_refusal(self) -> None:
        """A wrong path, field or error body would break the client."""

        async def scenario() -> None:
            async with harness.running_deployment() as deployment:
                client = openai.AsyncOpenAI(
                    base_url=deployment.caller_url() + "/v1",
                    api_key=deployment.key,
                    max_retries=0,
                )
                names = [model.id async for model in client.models.list()]
                assert names == ["large", "small", "small:tuned"]
                answer = await client.chat.completions.create(
                    model="small:tuned",
                    messages=[{"role": "user", "content": "hello"}],
                    max_tokens=5,
                )
                assert answer.choices[0].message.content
                assert answer.usage and answer.usage.completion_tokens == 5
                stream = await client.chat.completions.create(
                    model="small",
                    messages=[{"role": "user", "content": "hello"}],
                    max_tokens=5,
                    stream=True,
                )
                chunks = [chunk async for chunk in stream]
                text = "".join(
                    chunk.choices[0].delta.content or "" for chunk in chunks
                )
                assert text == answer.choices[0].message.content
                with pytest.raises(openai.NotFoundError) as raised:
                    await client.completions.create(model="none", prompt="x")
                assert raised.value.code == "not_found"
                await client.close()

        asyncio.run(scenario())
