"""A token bucket that is driven by the runtime's clock."""

import attrs


@attrs.define
class TokenBucket:
    """Allows `rate` tokens per second, and `burst` of them at once.

    Attributes:
        rate: Tokens added per second.
        burst: Maximum number of tokens, and the number at the start.
    """

    rate: float
    burst: float
    _tokens: float = attrs.field(init=False)
    _filled_at: float | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self):
        self._tokens = self.burst

    def available(self, now: float) -> float:
        """Returns the tokens that may be spent now."""
        if self._filled_at is not None:
            grown = self._tokens + (now - self._filled_at) * self.rate
            self._tokens = min(self.burst, grown)
        self._filled_at = now
        return self._tokens

    def spend(self, tokens: float) -> None:
        """Takes tokens without a check of the balance.

        The balance may become negative, by the size of one message.
        """
        self._tokens -= tokens

    def take(self, now: float) -> bool:
        """Takes one token if there is one; returns whether it did."""
        if self.available(now) < 1.0:
            return False
        self.spend(1.0)
        return True
