"""Malformed requests: a clear error, and the process goes on."""

import asyncio

import aiohttp

from cardamom_daemon import gossip
from tests import harness


async def _raw(url: str, data: bytes) -> bytes:
    host, port = url.removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    await writer.drain()
    answer = await asyncio.wait_for(reader.read(65_536), 5)
    writer.close()
    return answer


class TestCallerPort:
    """Bad requests of callers."""

    def test_malformed_requests(self) -> None:
        async def scene() -> None:
            async with harness.running_world() as world:
                base = world.caller_url()
                url = base + "/v1/chat/completions"
                cases: list[tuple[bytes, int, str]] = [
                    (b"{", 400, "body: is not JSON"),
                    (b"[]", 400, "body: must be a JSON object"),
                    (b"{}", 400, "model: must be the name"),
                    (b'{"model": "small"}', 400, "messages: must be a list"),
                    (
                        b'{"model":"small","messages":[{"role":"u"}],'
                        b'"max_tokens":-1}',
                        400,
                        "max_tokens: must be a whole number",
                    ),
                    (
                        b'{"model":"small","messages":[{"role":"u"}],'
                        b'"stream":"yes"}',
                        400,
                        "stream: must be true or false",
                    ),
                    (b"x" * (5 << 20), 413, "body: is larger"),
                    (b'"' + world.key.encode() + b'"', 400, "holds a key"),
                ]
                async with aiohttp.ClientSession() as session:
                    for body, status, words in cases:
                        async with session.post(
                            url, data=body, headers=world.headers()
                        ) as response:
                            answer = await response.json()
                        assert response.status == status, (body[:40], answer)
                        error = answer["error"]
                        assert words in error["message"], error
                        assert error["not_run"] is True
                        assert error["request_id"].startswith("req-")
                    async with session.get(url) as response:
                        assert response.status == 404
                    async with session.get(
                        f"{base}/public/{world.key}"
                    ) as response:
                        assert response.status == 400
                    async with session.post(
                        base + "/profiles/a", headers=world.headers()
                    ) as response:
                        assert response.status == 405
                answer = await _raw(base, b"NONSENSE\r\n\r\n")
                assert b"400" in answer.split(b"\r\n")[0]
                header = b"X-Long: " + b"a" * 40_000
                answer = await _raw(
                    base,
                    b"GET / HTTP/1.1\r\nHost: a\r\n" + header + b"\r\n\r\n",
                )
                assert b"400" in answer.split(b"\r\n")[0]
                status, _, _ = await harness.post_json(
                    base + "/v1/completions",
                    {"model": "small", "prompt": "x", "max_tokens": 2},
                    world.headers(),
                )
                assert status == 200

        asyncio.run(scene())

    def test_key_never_travels(self) -> None:
        async def scene() -> None:
            async with harness.running_world(services=1) as world:
                base = world.caller_url()
                async with aiohttp.ClientSession() as session:
                    async with session.get(
                        f"{base}/profiles/a?api_key={world.key}&x=1",
                        headers={
                            "X-Api-Key": world.key,
                            "Cookie": f"key={world.key}",
                            "User-Agent": f"agent {world.key}",
                        },
                    ) as response:
                        answer = await response.json()
                assert answer["path"] == "/profiles/a?x=1"
                assert world.services["app-1"].leaks == 0

        asyncio.run(scene())


class TestPeerPort:
    """Bad messages of peers."""

    def test_wrong_secret_and_bad_message(self) -> None:
        async def scene() -> None:
            async with harness.running_world() as world:
                peer = world.instances[0].settings.peer_address
                url = peer + "/peer/v1/heartbeat"
                status, _, _ = await harness.post_json(url, {})
                assert status == 403
                secret = {gossip.FLEET_HEADER: harness.FLEET_SECRET}
                status, answer, _ = await harness.post_json(url, {}, secret)
                assert status == 400
                assert "instance" in answer["error"]

        asyncio.run(scene())


class TestOperatorPort:
    """Bad requests of operators."""

    def test_clear_errors(self) -> None:
        async def scene() -> None:
            async with harness.running_world() as world:
                settings = world.instances[0].settings
                base = f"http://127.0.0.1:{settings.operator_port}"
                right = {"Authorization": f"Bearer {harness.OPERATOR_KEY}"}
                status, answer, _ = await harness.post_json(
                    base + "/v1/keys", {"team": "team-a"}
                )
                assert status == 401
                status, answer, _ = await harness.post_json(
                    base + "/v1/keys", {"tem": "team-a"}, right
                )
                assert status == 400
                assert "team: Field required" in answer["error"]["message"]
                status, answer, _ = await harness.post_json(
                    base + "/v1/keys", {"team": "none"}, right
                )
                assert status == 404
                async with aiohttp.ClientSession(headers=right) as session:
                    async with session.put(
                        base + "/v1/config",
                        json={
                            "configuration": {"teams": 5},
                            "based_on": 1,
                            "apply_id": "a",
                        },
                    ) as response:
                        answer = await response.json()
                assert response.status == 422
                assert "teams" in answer["error"]["message"]

        asyncio.run(scene())
