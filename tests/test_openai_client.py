"""An ordinary OpenAI client works with another address only."""

import asyncio

import openai
import pytest

from tests import harness


class TestOpenAiClient:
    """Calls through the client library, unchanged."""

    def test_whole_streamed_listed_and_refused(self) -> None:
        async def scene() -> None:
            async with harness.running_world() as world:
                client = openai.AsyncOpenAI(
                    base_url=world.caller_url() + "/v1",
                    api_key=world.key,
                    max_retries=0,
                )
                names = [model.id async for model in client.models.list()]
                assert names == ["large", "small", "small:tuned"]
                whole = await client.chat.completions.create(
                    model="small:tuned",
                    messages=[{"role": "user", "content": "hello"}],
                    max_tokens=5,
                )
                assert whole.choices[0].message.content
                assert whole.usage and whole.usage.completion_tokens == 5
                stream = await client.chat.completions.create(
                    model="small",
                    messages=[{"role": "user", "content": "hello"}],
                    max_tokens=5,
                    stream=True,
                )
                parts = [chunk async for chunk in stream]
                text = "".join(p.choices[0].delta.content or "" for p in parts)
                assert text == whole.choices[0].message.content
                with pytest.raises(openai.NotFoundError) as raised:
                    await client.completions.create(model="none", prompt="x")
                assert raised.value.code == "not_found"
                await client.close()

        asyncio.run(scene())
