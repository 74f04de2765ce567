"""Removes secrets from texts and values that are shown to operators."""

import re
import typing

HIDDEN = "***"

# Callers' keys begin with "ck-" (cardamom_daemon.keyring); shorter parts of
# a key are hidden as well.
_KEY = re.compile(r"ck-[A-Za-z0-9_-]{8,}")
_URL_CREDENTIALS = re.compile(r"://\S*@")
# The plural "tokens" is left out, as it stands in the names of limits.
_SECRET_FIELD = re.compile(
    r"(^|[_-])(keys?|secrets?|passwords?|passwd|token|credentials?)$",
    re.IGNORECASE,
)


def redact_text(text: str) -> str:
    """Return a text without callers' keys and credentials in URLs."""
    without_keys = _KEY.sub(HIDDEN, text)
    return _URL_CREDENTIALS.sub(f"://{HIDDEN}@", without_keys)


def is_secret(field: str) -> bool:
    """Return whether a field's name is that of a secret."""
    return _SECRET_FIELD.search(field) is not None


def redact_value(field: str, value: typing.Any) -> typing.Any:
    """Return a field's value without secrets, in nested values too.

    ``field`` is the last part of the field's path.  A field whose name is
    that of a secret is hidden whole.
    """
    if value is not None and is_secret(field):
        return HIDDEN
    if isinstance(value, str):
        return redact_text(value)
    if isinstance(value, dict):
        return {
            redact_text(str(key)): redact_value(str(key), item)
            for key, item in value.items()
        }
    if isinstance(value, (list, tuple)):
        return [redact_value("", item) for item in value]
    return value
