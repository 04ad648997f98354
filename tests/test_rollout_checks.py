"""Repeated upgrades and rollbacks, and proof that the checks detect each missing guard."""

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from elmthread.common.features import SupportedLevels
from elmthread.rollout.gate import IncompatibleLevelError
from tests.world.day import day, is_required_refusal
from tests.world.error_log import errors_logged
from tests.world.faulty_rollouts import MUTATIONS
from tests.world.random_faults import HISTORY_SETTINGS
from tests.world.random_rollouts import STEPS, upgrades_and_rollbacks
from tests.world.rollouts import RolloutMonitor, configure_previous_version, monitored
from tests.world.settings import NEXT_LIMITS, NODES
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


def test_process_rolled_back_after_the_activation_is_refused() -> None:
    """Guard against counting its logged error as a fault: the level was active before the process started."""
    upgrade = [("new", node, 2.0) for node in NODES[1:]]
    steps = [*upgrade, ("new", NODES[0], 20.0), ("before", NODES[0], 9.0), ("new", NODES[0], 1.0)]
    refusals: list[str] = []

    async def script(world: World, monitor: RolloutMonitor) -> None:
        with errors_logged() as errors:
            await upgrades_and_rollbacks(world, monitor, steps, 1.0)
        refusals.extend(error for error in errors if is_required_refusal(world, error))

    def before(world: World) -> None:
        configure_previous_version(world)
        world.limits = dict(NEXT_LIMITS)

    staged_day(script, before, seed=1)
    assert len(refusals) == 1


def test_only_a_refusal_that_the_stored_level_requires_is_due() -> None:
    async def script(world: World) -> None:
        def is_due(level: int, lowest: int, highest: int) -> bool:
            return is_required_refusal(world, str(IncompatibleLevelError(level, SupportedLevels(lowest, highest))))

        assert not is_due(2, 1, 1)
        world.store.items["rollout/level"] = ({"level": 2}, 1, None)
        assert is_due(2, 1, 1) and not is_due(2, 1, 2) and not is_due(3, 1, 2)
        assert not is_required_refusal(world, "another error")
        del world.store.items["rollout/level"]

    day(script, machines=0)


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

    assert detected_violations() == []
    with patch():
        assert any("is active, this version reads" not in violation for violation in detected_violations())
