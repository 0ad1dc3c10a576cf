"""The bytes of a worker's body."""


def body_of(attempt, size):
    text = (attempt + ":") * (size // (len(attempt) + 1) + 1)
    return text[:size].encode()
