"""The KV cache that a generation is expected to need."""

__all__ = ["expected_memory_tokens"]

# Share of the expected output that counts as memory in use. A generation holds half of
# its output on average over its run; the margin above that keeps an engine that fills
# with long generations from having to preempt one.
OUTPUT_MEMORY_FRACTION = 0.6


def expected_memory_tokens(
    prompt_tokens: int, max_output_tokens: int, expected_output_tokens: int = 0
) -> int:
    """
    Return the KV cache that a generation occupies on average, in tokens.

    The limit of the output would leave much of the memory unused. The caller's estimate
    of the output is right at the median.

    Parameters
    ----------
    prompt_tokens, max_output_tokens : int
        Length of the prompt, and the limit of the output.
    expected_output_tokens : int
        The caller's estimate of the output; 0 if it gave none.

    >>> expected_memory_tokens(1000, 100), expected_memory_tokens(1000, 100, 50)
    (1060, 1030)
    """
    expected_tokens = expected_output_tokens or max_output_tokens
    output_tokens = min(expected_tokens, max_output_tokens)
    return prompt_tokens + int(OUTPUT_MEMORY_FRACTION * output_tokens)
