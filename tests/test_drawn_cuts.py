"""Random schedules of link cuts, and tests that the checks detect a removed guard."""

import json
from datetime import timedelta
from pathlib import Path
from typing import Any
from unittest import mock

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from elmthread.leadership.election import Election
from elmthread.leadership.role import Role
from elmthread.reachability.backoff import LeadershipBackoff
from tests.world.cut_days import Script, cut, cut_day, fault_script
from tests.world.history import History
from tests.world.links import InvalidScheduleError, draw_schedule, read_schedule
from tests.world.random_faults import HISTORY_SETTINGS
from tests.world.settings import NODES
from tests.world.world import World

# Random schedules


LINKS = [("leader", "store"), ("follower", "store"), ("leader", "peers"), ("follower", "leader")]
LINKS += [("leader", "workers"), ("follower", "workers"), ("leader", "workers/east"), ("workers/north", "leader")]


@settings(HISTORY_SETTINGS, max_examples=12, phases=[Phase.generate, Phase.shrink])
@given(st.integers(0, 10_000), st.integers(2, 3))
def test_random_schedules_break_no_rule(seed: int, count: int) -> None:
    cut_day(fault_script(*draw_schedule(seed, LINKS, count, 40.0)), seed=seed)


def test_schedule_read_from_a_file_is_played_identically(tmp_path: Path) -> None:
    faults = draw_schedule(7, LINKS, 3, 30.0)
    path = tmp_path / "schedule.toml"
    tables = ["\n".join(f"{key} = {json.dumps(value)}" for key, value in fault.items()) for fault in faults]
    path.write_text("".join(f"[[faults]]\n{table}\n" for table in tables))
    faults_read = read_schedule(path)
    assert faults_read == faults
    terms = [cut_day(fault_script(*one), seed=3).terms for one in (faults, faults_read)]
    assert terms[0] == terms[1]
    path.write_text(path.read_text().replace("for_s", "fro_s", 1))
    with pytest.raises(InvalidScheduleError, match="schedule.toml: faults.0: .*for_s"):
        read_schedule(path)


# The checks fail if a guard of the code is removed


def is_not_follower(self: Election) -> bool:
    return self.role is not Role.FOLLOWER


@pytest.mark.parametrize("guard", ["sure lease", "holding time", "vacancy ends a rest"])
def test_checks_detect_a_removed_guard(guard: str) -> None:
    async def cut_leader_from_store_and_peers(world: World, history: History) -> None:
        await world.play_faults([cut("leader", "store", length=40.0), cut("leader", "peers", length=40.0)])

    async def cut_only_controller_from_workers(world: World, history: History) -> None:
        assert world.leader is not None
        others = [node for node in NODES if node != world.leader.node]
        for node in others:
            world.kill(node)
        await world.play_faults([cut("leader", "workers", length=12.0)])

    def full_backoff(self: LeadershipBackoff, vacant_for: timedelta) -> timedelta:
        return self._until - self._clock()

    guards: dict[str, tuple[Any, str, Any, Script, str]] = {
        "sure lease": (
            Election,
            "holds_lease",
            is_not_follower,
            cut_leader_from_store_and_peers,
            "without a sure lease",
        ),
        "holding time": (
            Election,
            "may_answer_workers",
            is_not_follower,
            cut_leader_from_store_and_peers,
            "past the holding time",
        ),
        "vacancy ends a rest": (
            LeadershipBackoff,
            "candidacy_delay",
            full_backoff,
            cut_only_controller_from_workers,
            "no leader hears most",
        ),
    }
    owner, name, replacement, script, expected_message = guards[guard]
    cut_day(script)
    with mock.patch.object(owner, name, replacement), pytest.raises(AssertionError, match=expected_message):
        cut_day(script)
