"""Repeated upgrades and rollbacks, and the proof that each missing guard is seen."""

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from tests.world.day import day
from tests.world.faulty_rollouts import MUTATIONS
from tests.world.random_rollouts import STEPS, upgrades_and_rollbacks
from tests.world.random_troubles import HISTORY_SETTINGS
from tests.world.rollouts import RolloutMonitor, configure_previous_version, monitored
from tests.world.settings import NEXT_LIMITS
from tests.world.staged_days import staged_day
from tests.world.world import World


# A history that fails is made smaller, unlike those of the other worlds: its steps tell which guard is missing.
@settings(HISTORY_SETTINGS, max_examples=30, phases=[Phase.generate, Phase.shrink])
@given(st.integers(0, 10_000), STEPS, st.floats(0.0, 60.0))
def test_repeated_upgrades_and_rollbacks_beside_all_troubles(
    number: int, steps: list[tuple[str, str, float]], falls: float
) -> None:
    async def script(world: World, monitor: RolloutMonitor) -> None:
        await upgrades_and_rollbacks(world, monitor, steps, falls)

    def before(world: World) -> None:
        configure_previous_version(world)
        world.limits = dict(NEXT_LIMITS)

    staged_day(script, before, seed=number)


@pytest.mark.parametrize("fault", MUTATIONS)
def test_the_checks_see_a_rollout_that_lacks_a_guard(fault: str) -> None:
    patch, script = MUTATIONS[fault]

    def seen() -> list[str]:
        """Return what the monitor and the rules find on that day."""
        violations: list[str] = []

        async def watched(world: World) -> None:
            with monitored(world) as monitor:
                await script(world)
            violations.extend(monitor.violations)

        try:
            day(watched, before=configure_previous_version, machines=2)
        except AssertionError as error:
            violations.append(str(error))
        return violations

    # The same day with the guard shows nothing, but for the errors of processes that are rightly refused.
    assert all("is active, this version reads" in what for what in seen())
    with patch():
        assert any("is active, this version reads" not in what for what in seen())
