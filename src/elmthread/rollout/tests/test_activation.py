"""Tests of the decision to raise the level, against a simple reference implementation."""

from hypothesis import given, settings
from hypothesis import strategies as st

from elmthread.common.features import SupportedLevels
from elmthread.rollout.activation import Activate, ObstacleKind, Wait, plan_activation
from elmthread.rollout.view import Announcement, RolloutView, UnreadableAnnouncement

NODES = ["a", "b", "c"]
MEMBERS = frozenset(NODES)


def reference(view: RolloutView, members: frozenset[str], highest: int) -> int:
    """Return the active level, or the highest above it that every member allows, by checking each one by one."""
    allowed = [view.level]
    for level in range(view.level + 1, highest + 1):
        agreeing = 0
        for node in members:
            announcement = view.announcements.get(node)
            if isinstance(announcement, Announcement) and announcement.members == members:
                reads_both = view.level in announcement.levels and level in announcement.levels
                agreeing += reads_both and (announcement.hold_at is None or level <= announcement.hold_at)
        if agreeing == len(members):
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
    view = RolloutView(level, 7, {node: item for node, item in zip(NODES, found, strict=True) if item is not None})
    plan = plan_activation(view, MEMBERS, SupportedLevels(1, highest))
    expected = reference(view, MEMBERS, highest)
    if isinstance(plan, Activate):
        assert plan.level == expected > level
        # The transaction compares all records on which the decision is based.
        assert plan.level_mod_revision == 7
        assert dict(plan.announcements) == view.announcements
    else:
        assert expected == level
        # A `Wait` names its obstacles, unless there is no higher level.
        assert plan.obstacles or level >= highest


def test_each_obstacle_is_named() -> None:
    def make_announcement(low: int, high: int, **more: object) -> Announcement:
        return Announcement(SupportedLevels(low, high), MEMBERS, 3, **more)  # type: ignore[arg-type]

    found = {"a": make_announcement(1, 1), "b": make_announcement(1, 2, hold_at=1)}
    plan = plan_activation(RolloutView(1, 0, found), MEMBERS, SupportedLevels(1, 2))
    assert isinstance(plan, Wait)
    kinds = {obstacle.node: obstacle.kind for obstacle in plan.obstacles}
    assert kinds == {"a": ObstacleKind.OLDER, "b": ObstacleKind.HELD, "c": ObstacleKind.NOT_ANNOUNCED}
    newer = plan_activation(RolloutView(1, 0, {**found, "c": make_announcement(2, 3)}), MEMBERS, SupportedLevels(1, 2))
    assert isinstance(newer, Wait) and newer.obstacles[0].kind is ObstacleKind.NEWER
