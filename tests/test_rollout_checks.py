"""Repeated upgrades and rollbacks, and proof that the checks detect each missing guard."""

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


# Unlike the other generated histories, a failing one is shrunk: its steps show which guard is missing.
@settings(HISTORY_SETTINGS, max_examples=30, phases=[Phase.generate, Phase.shrink])
@given(st.integers(0, 10_000), STEPS, st.floats(0.0, 60.0))
def test_repeated_upgrades_and_rollbacks_under_all_faults(
    world_seed: int, steps: list[tuple[str, str, float]], limits_lowered_after_s: float
) -> None:
    async def script(world: World, monitor: RolloutMonitor) -> None:
        await upgrades_and_rollbacks(world, monitor, steps, limits_lowered_after_s)

    def before(world: World) -> None:
        configure_previous_version(world)
        world.limits = dict(NEXT_LIMITS)

    staged_day(script, before, seed=world_seed)


@pytest.mark.parametrize("fault", MUTATIONS)
def test_checks_detect_a_rollout_that_lacks_a_guard(fault: str) -> None:
    patch, script = MUTATIONS[fault]

    def detected_violations() -> list[str]:
        """Run the scenario and return the violations that the monitor and the rules report."""
        violations: list[str] = []

        async def monitored_script(world: World) -> None:
            with monitored(world) as monitor:
                await script(world)
            violations.extend(monitor.violations)

        try:
            day(monitored_script, before=configure_previous_version, machines=2)
        except AssertionError as error:
            violations.append(str(error))
        return violations

    # With the guard, the same scenario reports only errors of processes that are rightly refused.
    assert all("is active, this version reads" in violation for violation in detected_violations())
    with patch():
        assert any("is active, this version reads" not in violation for violation in detected_violations())
