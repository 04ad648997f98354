"""A controller's view of the cluster in a rollout, from its version and its settings."""

import msgspec

from elmthread.common.features import SupportedLevels
from elmthread.settings.rollout import RolloutSettings


class Membership(msgspec.Struct, frozen=True):
    """This node, all controllers in its settings including itself, and the levels that its version supports."""

    node: str
    members: frozenset[str]
    supported: SupportedLevels
    settings: RolloutSettings
