"""One controller's part in a rollout, as its version and its settings have it."""

import msgspec

from elmthread.common.features import SupportedLevels
from elmthread.settings.rollout import RolloutSettings


class Membership(msgspec.Struct, frozen=True):
    """This node, all controllers of its settings, itself included, and the levels that its version supports."""

    node: str
    members: frozenset[str]
    supported: SupportedLevels
    settings: RolloutSettings
