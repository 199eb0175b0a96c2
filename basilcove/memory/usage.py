"""Reads how many tokens a request has."""

from basilcove.http1.headers import parse_count
from basilcove.memory.const import BYTES_PER_TOKEN, MAX_REQUEST_TOKENS


def count_tokens(text: str, body_bytes: int) -> int:
    """Return the prompt tokens and the most generated tokens of a request together.

    ``text`` states both, comma-separated. Without it, or if it is malformed, they are estimated from the size
    of the body.
    """
    if text:
        prompt_text, _, generated_text = text.partition(',')
        prompt, generated = parse_count(prompt_text), parse_count(generated_text)
        if prompt is not None and generated is not None:
            return min(MAX_REQUEST_TOKENS, prompt + generated)
    return -(-body_bytes // BYTES_PER_TOKEN)
