"""Parsing and checking the body of a model call."""

import dataclasses
import hashlib
import typing

import orjson

from cardamom_config import schema
from cardamom_kernel import outcomes
from cardamom_policy import admission

PREFIX_CHARACTERS = 256

Json = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class ModelRequest:
    """A checked model call.

    ``payload`` is the body that the target receives; ``prefix`` identifies
    the first PREFIX_CHARACTERS of the prompt.
    """

    model: str
    is_chat: bool
    is_stream: bool
    cost: admission.Cost
    prefix: str
    payload: bytes


def parse(
    raw: bytes,
    is_chat: bool,
    limits: schema.Limits,
) -> ModelRequest:
    """Parse and check a body.

    Raises outcomes.RequestRefused, whose message begins with the faulty field.
    """
    body = _parse_object(raw)
    model = body.get("model")
    if not isinstance(model, str) or not model:
        raise _bad_request("model: must be the name of a model")
    texts = _chat_texts(body) if is_chat else _completion_texts(body)
    stream = body.get("stream", False)
    if not isinstance(stream, bool):
        raise _bad_request("stream: must be true or false")
    if body.get("n") not in (None, 1):
        raise _bad_request("n: only 1 is supported")
    answer_tokens = _max_tokens(body, limits)
    body["max_tokens"] = answer_tokens
    body.pop("max_completion_tokens", None)
    cost = admission.Cost(admission.prompt_tokens(texts), answer_tokens)
    prompt = "\n".join(texts)
    return ModelRequest(
        model=model,
        is_chat=is_chat,
        is_stream=stream,
        cost=cost,
        prefix=hashlib.sha256(prompt[:PREFIX_CHARACTERS].encode()).hexdigest()[
            :16
        ],
        payload=orjson.dumps(body),
    )


def _parse_object(raw: bytes) -> Json:
    try:
        body = orjson.loads(raw)
    except orjson.JSONDecodeError as error:
        raise _bad_request(f"body: is not JSON: {error}") from error
    if not isinstance(body, dict):
        raise _bad_request("body: must be a JSON object")
    return body


def _chat_texts(body: Json) -> list[str]:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _bad_request(
            "messages: must be a list with at least one message"
        )
    texts: list[str] = []
    for index, message in enumerate(messages):
        field = f"messages[{index}]"
        if not isinstance(message, dict):
            raise _bad_request(f"{field}: must be an object")
        if not isinstance(message.get("role"), str):
            raise _bad_request(f"{field}.role: must be a string")
        texts += _content_texts(message.get("content"), field)
    return texts


def _content_texts(content: object, field: str) -> list[str]:
    if content is None:
        return [""]
    if isinstance(content, str):
        return [content]
    if isinstance(content, list):
        return [
            str(part.get("text", ""))
            for part in content
            if isinstance(part, dict)
        ]
    raise _bad_request(f"{field}.content: must be a string or a list of parts")


def _completion_texts(body: Json) -> list[str]:
    prompt = body.get("prompt")
    if isinstance(prompt, str):
        return [prompt]
    raise _bad_request("prompt: must be a string")


def _max_tokens(body: Json, limits: schema.Limits) -> int:
    value = body.get("max_completion_tokens", body.get("max_tokens"))
    if value is None:
        return limits.default_max_tokens
    if isinstance(value, bool) or not isinstance(value, int) or value < 1:
        raise _bad_request("max_tokens: must be a whole number above 0")
    if value > limits.max_tokens:
        raise _bad_request(f"max_tokens: must be at most {limits.max_tokens}")
    return value


def _bad_request(message: str) -> outcomes.RequestRefused:
    return outcomes.RequestRefused(
        outcomes.Refusal(
            outcomes.Code.BAD_REQUEST,
            message,
            outcomes.Step.RECEIVE,
            not_run=True,
        )
    )
