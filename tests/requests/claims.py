"""Fake replicated table of claims, which may be unreachable from an entry."""

from dataclasses import dataclass, field

from basilcove.core.events import Effect
from basilcove.requests.claims import (
    AbandonClaim,
    ClaimOutcome,
    ClaimResult,
    CompleteClaim,
    ReleaseClaim,
    RequestClaim,
    StoredAnswer,
)


@dataclass
class Claim:
    fingerprint: str
    owner: str
    outcome: ClaimOutcome = ClaimOutcome.IN_PROGRESS
    answer: StoredAnswer | None = None


@dataclass
class Claims:
    """Claims by key; ``fault`` selects whether only answers or also effects are lost.

    With ``before`` the table is unavailable; with ``after`` it carries out effects, but answers that it is
    unavailable; with ``silent`` it carries them out and does not answer.
    """

    by_key: dict[str, Claim] = field(default_factory=dict)
    fault: str = ''

    def decide(self, effect: Effect) -> ClaimResult | None:
        """Carry out an effect and return the answer, if there is one."""
        claim = self.by_key.get(effect.key)
        is_owner = claim is not None and claim.owner == effect.attempt_id
        is_open = is_owner and claim.outcome is ClaimOutcome.IN_PROGRESS
        outcome, answer = None, None
        match effect:
            case RequestClaim():
                outcome = ClaimOutcome.GRANTED
                if claim is not None:
                    is_same = claim.fingerprint == effect.fingerprint
                    outcome = claim.outcome if is_same else ClaimOutcome.MISMATCH
                    answer = claim.answer if is_same else None
                elif self.fault != 'before':
                    self.by_key[effect.key] = Claim(effect.fingerprint, effect.attempt_id)
            case CompleteClaim():
                if is_open and self.fault != 'before':
                    claim.outcome, claim.answer = ClaimOutcome.COMPLETED, effect.answer
                outcome, answer = ClaimOutcome.COMPLETED, effect.answer
            case ReleaseClaim():
                if is_open:
                    self.by_key.pop(effect.key)
            case AbandonClaim():
                if is_open:
                    claim.outcome = ClaimOutcome.UNKNOWN
        if outcome is None or self.fault == 'silent':
            return None
        return ClaimResult(ClaimOutcome.UNAVAILABLE) if self.fault else ClaimResult(outcome, answer)
