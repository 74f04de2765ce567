"""The life of a request: admission, choice, attempts, answer."""
