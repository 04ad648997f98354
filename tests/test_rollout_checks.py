"""Repeated upgrades and rollbacks, and proof that the checks detect each missing guard."""

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from tests.world.day import day
from tests.world.faulty_rollouts import FAULTS
from tests.world.random_rollouts import STEPS, upgrades_and_rollbacks
from tests.world.random_troubles import HISTORIES
from tests.world.rollouts import RolloutMonitor, begin_before, monitored
from tests.world.settings import NEXT
from tests.world.staged_days import staged_day
from tests.world.world import World


# Unlike the other generated histories, a failing one is shrunk: its steps show which guard is missing.
@settings(HISTORIES, max_examples=30, phases=[Phase.generate, Phase.shrink])
@given(st.integers(0, 10_000), STEPS, st.floats(0.0, 60.0))
def test_repeated_upgrades_and_rollbacks_beside_all_troubles(
    number: int, steps: list[tuple[str, str, float]], falls: float
) -> None:
    async def script(world: World, monitor: RolloutMonitor) -> None:
        await upgrades_and_rollbacks(world, monitor, steps, falls)

    def before(world: World) -> None:
        begin_before(world)
        world.limits = dict(NEXT)

    staged_day(script, before, seed=number)


@pytest.mark.parametrize("fault", FAULTS)
def test_the_checks_see_a_rollout_that_lacks_a_guard(fault: str) -> None:
    patch, script = FAULTS[fault]

    def seen() -> list[str]:
        """Run the scenario and return the violations that the monitor and the rules report."""
        broken: list[str] = []

        async def watched(world: World) -> None:
            with monitored(world) as monitor:
                await script(world)
            broken.extend(monitor.broken)

        try:
            day(watched, before=begin_before, machines=2)
        except AssertionError as error:
            broken.append(str(error))
        return broken

    # With the guard, the same scenario reports only errors of processes that are rightly refused.
    assert all("is active, this version reads" in what for what in seen())
    with patch():
        assert any("is active, this version reads" not in what for what in seen())
