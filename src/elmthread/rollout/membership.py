"""One controller's part in a rollout, as its version and its settings have it."""

from dataclasses import dataclass

from elmthread.common.features import SupportedLevels
from elmthread.settings.rollout import RolloutSettings


@dataclass(frozen=True)
class Membership:
    """This node, all controllers of its settings, itself included, and the levels that its version supports."""

    node: str
    members: frozenset[str]
    supported: SupportedLevels
    settings: RolloutSettings
