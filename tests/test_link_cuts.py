"""Cuts of single links between controllers, state service and workers, with views exchanged.

Judged by the rules of the protocol and by the recorded history (`tests/world/history.py`): nothing is done
without a sure lease, each job comes to one end, and leadership comes to rest.
"""

import asyncio
import json
from collections.abc import Awaitable, Callable
from datetime import timedelta
from pathlib import Path
from typing import Any
from unittest import mock

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from elmthread.common.features import SUPPORTED, SupportedLevels
from elmthread.leadership.election import Election
from elmthread.leadership.role import Role
from elmthread.reachability.backoff import LeadershipBackoff
from elmthread.reachability.bounds import BACKOFF_JITTER
from elmthread.reachability.succession import Succession
from elmthread.settings.rollout import RolloutSettings
from tests.test_world import HISTORIES, day
from tests.world.history import History
from tests.world.links import BadScheduleError, Fault, check_schedule, draw, read_schedule
from tests.world.rollouts import replace, until_level
from tests.world.world import NODES, World, job, start

Script = Callable[[World, History], Awaitable[None]]
# What workers need to find a leader again, once there is one: their wait, each node once, two reports.
FIND_LEADER_S = 4 + len(NODES) + 2 * 3.75
BEFORE = SupportedLevels(1, 2)


def cut(source: str, target: str, at: float = 0.0, length: float = 15.0, **more: Any) -> Fault:
    return {"at_s": at, "for_s": length, "from": source, "to": target, "both": True} | more


async def until_led(world: World, patience: float) -> None:
    """Until a leader hears most of its machines, and they hear it."""
    end = world.loop.now + patience
    while world.loop.now < end:
        leader = world.leader
        if leader is not None and leader.leader is not None and leader.leader.loaded:
            total = leader.leader.reachability.zone_health.counts.total()
            if leader.election.holds_lease() and total.confirmed * 2 > total.expected:
                return
        await asyncio.sleep(0.25)
    raise AssertionError(f"no leader hears most machines {patience} s after the last cut")


def cut_day(script: Script, seed: int = 1, levels: SupportedLevels = SUPPORTED) -> History:
    """A day on which views are exchanged before anything is cut, with jobs that must all come to an end.

    With other `levels` all nodes begin as a version before.
    """
    histories: list[History] = []

    def before(world: World) -> None:
        world.rollout = RolloutSettings(enabled=True, soak_s=0.5)
        world.levels = dict.fromkeys(world.nodes, levels)
        histories.append(History(world))

    async def played(world: World) -> None:
        history = histories[0]
        await until_level(world, levels.highest)
        users = asyncio.ensure_future(submit_and_cancel(world, 6, 0.0))
        await asyncio.sleep(8)
        await script(world, history)
        bounds = next(iter(world.controllers.values())).reachability.bounds
        await until_led(world, bounds.max_time_without_leader.total_seconds() + FIND_LEADER_S)
        states = await world.until_over(await users, 300)
        assert set(states.values()) <= {"done", "cancelled"}, states
        assert len(history.terms) <= bounds.max_terms_per_hour(len(world.nodes))

    world = day(played, seed=seed, before=before, machines=8)
    assert histories[0].acts > 0
    assert histories[0].broken == []
    for told in world.rules.history.values():
        assert len({state for _, state in told if state in ("done", "cancelled")}) == 1
    return histories[0]


async def submit_and_cancel(world: World, count: int, pause: float, first: int = 0) -> list[str]:
    """Submits jobs and calls off the first and the last one later; the ids of all that were accepted."""
    ids = []
    for number in range(first, first + count):
        spec = job(number, pieces=6, true_s=25.0, expected_s=25.0, crew=["red", "blue"][number % 2])
        if await world.submit(spec):
            ids.append(spec["name_id"])
        await asyncio.sleep(pause)
    await asyncio.sleep(12)
    await asyncio.gather(*(world.withdraw(job_id, 90.0) for job_id in {*ids[:1], *ids[-1:]}))
    return ids


def plays(*faults: Fault) -> Script:
    async def script(world: World, history: History) -> None:
        await world.play_faults(check_schedule({"faults": list(faults)}))

    return script


LINKS = {
    "leader and store": ("leader", "store"),
    "follower and store": ("follower", "store"),
    "leader and follower": ("leader", "follower"),
    "leader and workers": ("leader", "workers"),
    "leader and a zone": ("leader", "workers/east"),
    "follower and workers": ("follower", "workers"),
}
SINGLE = {name: [cut(*ends)] for name, ends in LINKS.items()}
SINGLE |= {f"{name}, one way": [cut(*ends, both=False)] for name, ends in LINKS.items()}
SINGLE |= {f"{name}, the other way": [cut(target, source, both=False)] for name, (source, target) in LINKS.items()}
SINGLE["the store refuses the leader"] = [cut("leader", "store", kind="refuse")]
NAMES = sorted(LINKS)
PAIRS = {
    f"{one}; {other}": [cut(*LINKS[one]), cut(*LINKS[other], at=3.0)]
    for number, one in enumerate(NAMES)
    for other in NAMES[number + 1 :]
}


@pytest.mark.parametrize("faults", [*SINGLE.values(), *PAIRS.values()], ids=[*SINGLE, *PAIRS])
def test_no_cut_of_one_or_two_links_breaks_a_rule(faults: list[Fault]) -> None:
    cut_day(plays(*faults))


def test_a_leader_without_workers_names_a_node_that_hears_them_and_it_wins() -> None:
    """It is seen as soon as the first workers have given the leader up, and no other node is in the way."""

    async def script(world: World, history: History) -> None:
        assert world.leader is not None
        name, before = world.leader.api._node, world.loop.now
        await world.play_faults([cut("leader", "workers", length=12.0)])
        term = history.terms[-1]
        assert term[1] != name and len(history.terms) == 2
        # A worker waits for 4 s, turns to the next node 1 s later, and reports each 3.75 s at the longest.
        assert term[0] - before < 7.0

    for seed in range(3):
        cut_day(script, seed=seed)


def test_a_leader_of_two_machines_gives_way_too() -> None:
    async def script(world: World, history: History) -> None:
        for name in sorted(world.workers)[2:]:
            world.workers[name].gone()
            world.cloud.machines[name].state = "failed"
            del world.workers[name]
        await asyncio.sleep(5)
        await world.play_faults([cut("leader", "workers", length=15.0)])
        assert len(history.terms) == 2

    cut_day(script)


@pytest.mark.parametrize("on_s, off_s", [(9.0, 4.0), (3.0, 0.1), (6.0, 10.0)])
def test_cuts_that_heal_and_return_for_ten_minutes_change_leaders_seldom(on_s: float, off_s: float) -> None:
    async def script(world: World, history: History) -> None:
        # There is work throughout, so there are machines to be cut off from.
        users = asyncio.ensure_future(submit_and_cancel(world, 30, 20.0, 100))
        await world.play_faults([cut("leader", "workers", length=600.0, on_s=on_s, off_s=off_s)])
        # Whoever leads is cut off each time. Once the rests have grown, a node gives way but once in each.
        assert world.leader is not None
        rest = world.leader.reachability.bounds.max_backoff.total_seconds() * (1 - BACKOFF_JITTER)
        late = [at for at, _, _ in history.terms if at > 300]
        assert len(late) <= len(NODES) * (300 / rest + 1), late
        assert set((await world.until_over(await users, 300)).values()) <= {"done", "cancelled"}

    cut_day(script)


def test_nothing_is_deleted_or_rented_for_the_silence_of_a_zone_in_doubt() -> None:
    """Most of a zone, though not nearly all, is out of the leader's sight: it may be the leader's own link."""

    async def script(world: World, history: History) -> None:
        assert world.leader is not None
        for _ in range(6):
            world.rent("small", "west")
        assert await world.submit(job(50, pieces=60, true_s=90.0, expected_s=90.0))
        await asyncio.sleep(9)
        west = sorted(name for name, worker in world.workers.items() if worker.zone == "west")
        silent = west[: len(west) * 2 // 3]
        assert len(west) * 0.5 < len(silent) < len(west) * 0.8 and len(west) >= 4
        world.cut_workers |= {(worker, node) for worker in silent for node in NODES}
        await asyncio.sleep(8)
        before = len([one for one in world.cloud.machines.values() if one.zone == "west"])
        # Past the lease their tasks run elsewhere; the machines stay, and there are no others.
        await asyncio.sleep(40)
        assert set(silent) <= set(world.cloud.machines)
        assert len([one for one in world.cloud.machines.values() if one.zone == "west"]) <= before
        assert not {machine for machine, _ in world.rules.where} & set(silent)
        # After 90 s more they are given up: a machine that is dead must not be paid for ever.
        await asyncio.sleep(75)
        assert not set(silent) & set(world.cloud.machines)
        world.cut_workers.clear()
        assert set((await world.until_over(["run-000050"], 300)).values()) == {"done"}
        # Users come back, so there are machines to hear.
        assert await world.submit(job(51, pieces=8, true_s=30.0, expected_s=30.0))
        await asyncio.sleep(20)
        assert set((await world.until_over(["run-000051"], 100)).values()) == {"done"}

    cut_day(script)


def test_two_controllers_that_each_see_another_half_do_not_fight() -> None:
    async def script(world: World, history: History) -> None:
        faults = [cut("leader", "workers/east", length=60.0), cut("follower", "workers/north", length=60.0)]
        await world.play_faults(faults)
        # The halves are not the same by then; the one that hears clearly more leads from then on.
        assert len(history.terms) <= 2

    for seed in range(3):
        cut_day(script, seed=seed)


def test_a_ring_of_cuts_in_which_no_node_sees_all() -> None:
    one, two, three = NODES
    faults = [cut(one, two), cut(two, "workers/east"), cut(two, three, at=2.0), cut(three, "workers/north", at=2.0)]
    cut_day(plays(*faults, cut(three, one, at=4.0), cut(one, "store", at=4.0)))


def test_without_peers_the_node_that_workers_reach_leads() -> None:
    """Seen on a day: two of three lost the workers, nobody could name anybody, and the other of the two won.

    The node that is reached is the one to which workers turn first: of another nobody hears anything in time. It
    leads on though some of them wait for 4 s at each of the others before they come, and it holds the reports that
    come just before it leads: sent on, their workers would be back after their leases.
    """
    running = kept = 0

    async def script(world: World, history: History) -> None:
        nonlocal running, kept
        assert world.leader is not None
        leader = world.leader.api._node
        reached, other = (NODES[(NODES.index(leader) + step) % len(NODES)] for step in (1, 2))
        long_jobs = [f"run-{number:06d}" for number in range(60, 64)]
        for number in range(60, 64):
            assert await world.submit(job(number, pieces=10, true_s=45.0, expected_s=45.0))
        await asyncio.sleep(8)
        before = {(machine, task) for machine, task in world.rules.where if task.rpartition("/")[0] in long_jobs}
        pairs = [(one, two) for one in NODES for two in NODES if one < two]
        cuts = [cut(*pair, length=25.0) for pair in pairs]
        cuts += [cut(node, "workers", at=0.5, length=24.0) for node in (leader, other)]
        await world.play_faults(cuts)
        assert [node for _, node, _ in history.terms] == [leader, reached]
        running += len(before)
        kept += len(before & set(world.rules.where))
        assert set((await world.until_over(long_jobs, 300)).values()) == {"done"}
        assert await world.submit(job(70, pieces=8, true_s=30.0, expected_s=30.0))
        await asyncio.sleep(15)
        assert set((await world.until_over(["run-000070"], 100)).values()) == {"done"}

    for seed in range(8):
        cut_day(script, seed=seed)
    assert kept > running * 0.75, (kept, running)


# A cut in the middle of something


async def kill_named(world: World, history: History) -> None:
    """The node that is named ends before it stands."""
    assert world.leader is not None
    succession = world.leader.reachability.succession
    name_successor = succession.name_successor

    def named(node: str, fencing_token: int) -> None:
        name_successor(node, fencing_token)
        world.kill(node)
        world.loop.call_later(0.3, start, world, node)

    succession.name_successor = named  # type: ignore[method-assign]
    await world.play_faults([cut("leader", "workers")])
    assert len(history.terms) >= 2


async def cut_named(world: World, history: History) -> None:
    """The node that is named loses the store as it is named."""
    assert world.leader is not None
    succession = world.leader.reachability.succession
    name_successor = succession.name_successor
    cuts: list[asyncio.Task[None]] = []

    def named(node: str, fencing_token: int) -> None:
        name_successor(node, fencing_token)
        cuts.append(world.loop.create_task(world.play_faults([cut(node, "store")])))

    succession.name_successor = named  # type: ignore[method-assign]
    await world.play_faults([cut("leader", "workers")])
    await asyncio.gather(*cuts)
    assert cuts and len(history.terms) >= 2


async def name_not_heard(world: World, history: History) -> None:
    """The others never hear who was named."""
    with mock.patch.object(Succession, "observe_successor", lambda self, node, fencing_token: None):
        await world.play_faults([cut("leader", "workers")])
    assert len(history.terms) >= 2


async def in_an_election(world: World, history: History) -> None:
    assert world.leader is not None
    name = world.leader.api._node
    world.kill(name)
    world.loop.call_later(0.2, start, world, name)
    await world.play_faults(
        [cut("follower", "store", at=0.1), cut("leader", "workers", at=2.1), cut("leader", "peers", at=2.2)]
    )


async def in_a_rolling_restart(world: World, history: History) -> None:
    """Each node ends and is back at once, with cuts that come and go meanwhile."""
    for node in NODES:
        replace(world, node, SUPPORTED, 0.2)
        await world.play_faults(
            [cut("leader", "workers", length=6.0, on_s=2.0, off_s=0.5), cut(node, "peers", length=4.0)]
        )


async def leader_hangs(world: World, history: History) -> None:
    assert world.leader is not None
    still = world.loop.create_task(world.stand_still(world.leader.api._node, 8.0))
    await world.play_faults([cut("leader", "workers"), cut("follower", "store", at=2.0)])
    await still


MIDDLE: list[Script] = [kill_named, cut_named, name_not_heard, in_an_election, in_a_rolling_restart, leader_hangs]


@pytest.mark.parametrize("script", MIDDLE)
def test_a_cut_in_the_middle_of_something(script: Script) -> None:
    cut_day(script)


def test_the_feature_turns_on_inside_a_cut_and_beside_the_version_before() -> None:
    async def script(world: World, history: History) -> None:
        # The version before leads, or follows, until its turn comes; each time the leader is cut off.
        for node in NODES:
            replace(world, node, SUPPORTED, 0.3)
            await world.play_faults(
                [cut("leader", "workers", at=1.0, length=9.0), cut("leader", "follower", length=3.0)]
            )
        await until_level(world, SUPPORTED.highest)

    cut_day(script, levels=BEFORE)


# Drawn schedules


ENDS = [("leader", "store"), ("follower", "store"), ("leader", "peers"), ("follower", "leader")]
ENDS += [("leader", "workers"), ("follower", "workers"), ("leader", "workers/east"), ("workers/north", "leader")]


@settings(HISTORIES, max_examples=12, phases=[Phase.generate, Phase.shrink])
@given(st.integers(0, 10_000), st.integers(2, 3))
def test_drawn_schedules_break_no_rule(seed: int, count: int) -> None:
    cut_day(plays(*draw(seed, ENDS, count, 40.0)), seed=seed)


def test_a_schedule_is_played_again_from_its_file(tmp_path: Path) -> None:
    faults = draw(7, ENDS, 3, 30.0)
    path = tmp_path / "schedule.toml"
    tables = ["\n".join(f"{key} = {json.dumps(value)}" for key, value in fault.items()) for fault in faults]
    path.write_text("".join(f"[[faults]]\n{table}\n" for table in tables))
    again = read_schedule(path)
    assert again == faults
    terms = [cut_day(plays(*one), seed=3).terms for one in (faults, again)]
    assert terms[0] == terms[1]
    path.write_text(path.read_text().replace("for_s", "fro_s", 1))
    with pytest.raises(BadScheduleError, match="schedule.toml: faults.0: .*for_s"):
        read_schedule(path)


# Each check is seen to fail with a guard taken out


def always_sure(self: Election) -> bool:
    return self.role is not Role.FOLLOWER


@pytest.mark.parametrize("guard", ["sure lease", "holding time", "vacancy ends a rest"])
def test_the_checks_see_a_guard_that_is_missing(guard: str) -> None:
    async def no_store(world: World, history: History) -> None:
        await world.play_faults([cut("leader", "store", length=40.0), cut("leader", "peers", length=40.0)])

    async def alone(world: World, history: History) -> None:
        assert world.leader is not None
        others = [node for node in NODES if node != world.leader.api._node]
        for node in others:
            world.kill(node)
        await world.play_faults([cut("leader", "workers", length=12.0)])

    def whole_rest(self: LeadershipBackoff, vacant_for: timedelta) -> timedelta:
        return self._until - self._clock()

    guards: dict[str, tuple[Any, str, Any, Script, str]] = {
        "sure lease": (Election, "holds_lease", always_sure, no_store, "without a sure lease"),
        "holding time": (Election, "may_answer_workers", always_sure, no_store, "past the holding time"),
        "vacancy ends a rest": (LeadershipBackoff, "candidacy_delay", whole_rest, alone, "no leader hears most"),
    }
    owner, name, without, script, told = guards[guard]
    cut_day(script)
    with mock.patch.object(owner, name, without), pytest.raises(AssertionError, match=told):
        cut_day(script)
