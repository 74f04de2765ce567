"""Malformed input: each gets a clear error, and the instance still serves."""

import asyncio

import aiohttp

from cardamom_daemon import gossip
from tests import harness


async def _send_raw(url: str, data: bytes) -> bytes:
    host, port = url.removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    await writer.drain()
    answer = await asyncio.wait_for(reader.read(65_536), 5)
    writer.close()
    return answer


class TestCallerPort:
    """Malformed requests of callers."""

    def test_malformed_requests_get_clear_errors(self) -> None:
        """Malformed input could crash a handler or name no cause.

        The last call checks that the instance still serves.
        """

        async def scenario() -> None:
            async with harness.running_deployment() as deployment:
                base = deployment.caller_url()
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
                    (
                        b'"' + deployment.key.encode() + b'"',
                        400,
                        "holds a key",
                    ),
                ]
                async with aiohttp.ClientSession() as session:
                    for body, status, expected_text in cases:
                        async with session.post(
                            url, data=body, headers=deployment.headers()
                        ) as response:
                            answer = await response.json()
                        assert response.status == status, (body[:40], answer)
                        error = answer["error"]
                        assert expected_text in error["message"], error
                        assert error["not_run"] is True
                        assert error["request_id"].startswith("req-")
                    async with session.get(url) as response:
                        assert response.status == 404
                    async with session.get(
                        f"{base}/public/{deployment.key}"
                    ) as response:
                        assert response.status == 400
                    async with session.post(
                        base + "/profiles/a", headers=deployment.headers()
                    ) as response:
                        assert response.status == 405
                answer = await _send_raw(base, b"NONSENSE\r\n\r\n")
                assert b"400" in answer.split(b"\r\n")[0]
                header = b"X-Long: " + b"a" * 40_000
                answer = await _send_raw(
                    base,
                    b"GET / HTTP/1.1\r\nHost: a\r\n" + header + b"\r\n\r\n",
                )
                assert b"400" in answer.split(b"\r\n")[0]
                status, _, _ = await harness.post_json(
                    base + "/v1/completions",
                    {"model": "small", "prompt": "x", "max_tokens": 2},
                    deployment.headers(),
                )
                assert status == 200

        asyncio.run(scenario())

    def test_key_is_not_forwarded_to_a_target(self) -> None:
        """A key in a header or query could reach a plain service."""

        async def scenario() -> None:
            async with harness.running_deployment(services=1) as deployment:
                base = deployment.caller_url()
                async with aiohttp.ClientSession() as session:
                    async with session.get(
                        f"{base}/profiles/a?api_key={deployment.key}&x=1",
                        headers={
                            "X-Api-Key": deployment.key,
                            "Cookie": f"key={deployment.key}",
                            "User-Agent": f"agent {deployment.key}",
                        },
                    ) as response:
                        answer = await response.json()
                assert answer["path"] == "/profiles/a?x=1"
                assert deployment.services["app-1"].leaks == 0

        asyncio.run(scenario())


class TestPeerPort:
    """Malformed messages of peers."""

    def test_missing_secret_and_invalid_message(self) -> None:
        """A process outside the fleet could act as a peer."""

        async def scenario() -> None:
            async with harness.running_deployment() as deployment:
                peer = deployment.instances[0].settings.peer_address
                url = peer + "/peer/v1/heartbeat"
                status, _, _ = await harness.post_json(url, {})
                assert status == 403
                fleet_headers = {gossip.FLEET_HEADER: harness.FLEET_SECRET}
                status, answer, _ = await harness.post_json(
                    url, {}, fleet_headers
                )
                assert status == 400
                assert "instance" in answer["error"]

        asyncio.run(scenario())


class TestOperatorPort:
    """Malformed requests of operators."""

    def test_errors_name_the_cause(self) -> None:
        """An operator could get an error without the faulty field."""

        async def scenario() -> None:
            async with harness.running_deployment() as deployment:
                settings = deployment.instances[0].settings
                base = f"http://127.0.0.1:{settings.operator_port}"
                operator_headers = {
                    "Authorization": f"Bearer {harness.OPERATOR_KEY}"
                }
                status, answer, _ = await harness.post_json(
                    base + "/v1/keys", {"team": "team-a"}
                )
                assert status == 401
                status, answer, _ = await harness.post_json(
                    base + "/v1/keys", {"tem": "team-a"}, operator_headers
                )
                assert status == 400
                assert "team: Field required" in answer["error"]["message"]
                status, answer, _ = await harness.post_json(
                    base + "/v1/keys", {"team": "none"}, operator_headers
                )
                assert status == 404
                async with aiohttp.ClientSession(
                    headers=operator_headers
                ) as session:
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

        asyncio.run(scenario())
