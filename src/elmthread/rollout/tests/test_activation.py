"""The decision to raise the level, against a slow reference model."""

from hypothesis import given, settings
from hypothesis import strategies as st

from elmthread.common.features import SupportedLevels
from elmthread.rollout.activation import Activate, ObstacleKind, Wait, plan_activation
from elmthread.rollout.view import Announcement, RolloutView, UnreadableAnnouncement

NODES = ["a", "b", "c"]
MEMBERS = frozenset(NODES)


def reference(view: RolloutView, members: frozenset[str], highest: int) -> int:
    """The level that may be active after this look: the highest that every member agrees to, one by one."""
    allowed = [view.level]
    for level in range(view.level + 1, highest + 1):
        agree = 0
        for node in members:
            found = view.announcements.get(node)
            if isinstance(found, Announcement) and found.members == members:
                reads_both = view.level in found.levels and level in found.levels
                agree += reads_both and (found.hold_at is None or level <= found.hold_at)
        if agree == len(members):
            allowed.append(level)
    return max(allowed)


levels = st.tuples(st.integers(1, 4), st.integers(0, 3)).map(lambda pair: SupportedLevels(pair[0], sum(pair)))
announcements = st.one_of(
    st.none(),
    st.builds(UnreadableAnnouncement, st.integers(1, 99), st.just("rubbish")),
    *[
        st.builds(
            Announcement,
            levels=levels,
            members=st.sampled_from([MEMBERS, MEMBERS, MEMBERS, frozenset({"a", "b"})]),
            mod_revision=st.integers(1, 99),
            hold_at=st.sampled_from([None, None, None, 1, 2, 3]),
        )
    ]
    * 4,
)


@settings(max_examples=400, deadline=None, derandomize=True, database=None)
@given(st.integers(1, 4), st.lists(announcements, min_size=3, max_size=3), st.integers(1, 5))
def test_the_level_rises_as_far_as_all_members_agree_and_never_falls(
    level: int, found: list[Announcement | UnreadableAnnouncement | None], highest: int
) -> None:
    view = RolloutView(level, 7, {node: one for node, one in zip(NODES, found, strict=True) if one is not None})
    plan = plan_activation(view, MEMBERS, SupportedLevels(1, highest))
    expected = reference(view, MEMBERS, highest)
    if isinstance(plan, Activate):
        assert plan.level == expected > level
        # All that the decision is based on is compared by the transaction.
        assert plan.level_mod_revision == 7
        assert dict(plan.announcements) == view.announcements
    else:
        assert expected == level
        # A wait names its obstacles, but for the newest version, which has no higher level.
        assert plan.obstacles or level >= highest


def test_each_obstacle_is_named() -> None:
    def one(low: int, high: int, **more: object) -> Announcement:
        return Announcement(SupportedLevels(low, high), MEMBERS, 3, **more)  # type: ignore[arg-type]

    found = {"a": one(1, 1), "b": one(1, 2, hold_at=1)}
    plan = plan_activation(RolloutView(1, 0, found), MEMBERS, SupportedLevels(1, 2))
    assert isinstance(plan, Wait)
    kinds = {obstacle.node: obstacle.kind for obstacle in plan.obstacles}
    assert kinds == {"a": ObstacleKind.OLDER, "b": ObstacleKind.HELD, "c": ObstacleKind.NOT_ANNOUNCED}
    newer = plan_activation(RolloutView(1, 0, {**found, "c": one(2, 3)}), MEMBERS, SupportedLevels(1, 2))
    assert isinstance(newer, Wait) and newer.obstacles[0].kind is ObstacleKind.NEWER
