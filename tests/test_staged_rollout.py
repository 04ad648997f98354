"""A staged rollout in the simulated world: off until every controller has it, then on once for all."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from elmthread.common.features import SUPPORTED, ActiveFeatures, Feature
from elmthread.rollout import gate as gate_module
from elmthread.rollout import term as term_module
from elmthread.rollout.activation import Activate, Wait, plan_activation
from elmthread.rollout.gate import CompatibilityGate, GateState
from elmthread.rollout.term import TermRollout
from elmthread.rollout.view import Announcement, RolloutView
from elmthread.settings.rollout import RolloutSettings
from elmthread.store import messages as store
from tests.test_rollout import fall
from tests.test_world import HISTORIES, TROUBLES, befall, day, restore
from tests.world import earlier
from tests.world.loop import play
from tests.world.rollouts import (
    BEFORE,
    SOAK_S,
    RolloutMonitor,
    begin_before,
    done_in_store,
    monitored,
    replace,
    stored_level,
    until_level,
)
from tests.world.world import NEXT, NODES, World, job, start

Script = Callable[[World, RolloutMonitor], Awaitable[None]]


def staged_day(script: Script, before: Callable[[World], None] = begin_before, **more: Any) -> World:
    """A day that begins with the version before; nothing that the monitor sees may break a promise."""

    async def watched(world: World) -> None:
        with monitored(world) as monitor:
            await script(world, monitor)
        assert monitor.broken == []
        assert len(monitor.activations) <= 1

    return day(watched, before=before, **more)


async def submit_some(world: World, count: int = 4, first: int = 0) -> list[str]:
    """Jobs of several chunks of done marks and of a single task."""
    ids = []
    for number in range(first, first + count):
        pieces = [1, 40, 300, 7][number % 4]
        spec = job(number, pieces=pieces, cpus=0.1, ram_gb=0.05, true_s=12.0, expected_s=12.0)
        if await world.submit(spec):
            ids.append(spec["name_id"])
    return ids


async def upgrade_all(world: World) -> None:
    for node in NODES:
        replace(world, node, SUPPORTED, 0.2)
    await until_level(world, SUPPORTED.highest)


async def until_done(world: World, ids: list[str]) -> None:
    assert set((await world.until_over(ids, 200)).values()) == {"done"}


def test_a_feature_stays_off_until_the_last_node_has_it_and_turns_on_once() -> None:
    async def script(world: World, monitor: RolloutMonitor) -> None:
        ids = await submit_some(world)
        for node in NODES:
            assert stored_level(world) == 1
            replace(world, node, SUPPORTED, 1.0)
            await asyncio.sleep(8)
            if node != NODES[-1]:
                # Whoever leads, and whatever it writes: the version before could read it.
                earlier.read(world.store.values())
        await until_level(world, SUPPORTED.highest)
        assert len(monitor.activations) == 1
        for one in world.controllers.values():
            assert one.rollout.features.is_active(Feature.DONE_BITMAPS)
        # The version in production reads what stands before the fence, and refuses what stands after it.
        with pytest.raises(earlier.UnreadableError):
            earlier.read(world.store.values())
        ids += await submit_some(world, 4, 10)
        await asyncio.sleep(14)
        assert world.leader is not None
        world.kill(world.leader.api._node)
        await until_done(world, ids)
        assert monitor.loads >= 2

    world = staged_day(script)
    assert max(world.rules.starts.values()) == 1


def test_the_rollout_costs_a_transaction_a_start_and_few_requests() -> None:
    """Counted: two requests at a start, one at a load, two each ten seconds while the leader waits, then none."""
    requests: list[str] = []

    async def script(world: World, monitor: RolloutMonitor) -> None:
        apply, serve = world.store.apply, world.store.serve

        def noted(method: str, path: str, body: Any) -> Any:
            if method == "GET" and "starts=rollout/" in path:
                requests.append("read")
            elif path == "/txn" and any(one.get("put", "").startswith("rollout/") for one in body["then"]):
                requests.append("write")
            return apply(method, path, body)

        async def watched(method: str, path: str, body: Any) -> Any:
            if path.startswith("/watch?starts=rollout/"):
                requests.append("watch")
            return await serve(method, path, body)

        world.store.apply, world.store.serve = noted, watched  # type: ignore[method-assign]
        await upgrade_all(world)
        # Three starts and the activation.
        assert requests.count("write") == 4
        # A read a start and a load, and each time an announcement wakes the leader.
        assert requests.count("read") <= 3 + 3 + 8 and requests.count("watch") <= 8
        requests.clear()
        await asyncio.sleep(60)
        assert requests == []

    staged_day(script)


def test_the_level_waits_for_the_soak_time_and_a_new_announcement_starts_it_again() -> None:
    async def script(world: World, monitor: RolloutMonitor) -> None:
        for node in NODES:
            replace(world, node, SUPPORTED, 0.1)
        await asyncio.sleep(6)
        assert stored_level(world) == 1
        follower = next(node for node in NODES if world.leader and node != world.leader.api._node)
        replace(world, follower, SUPPORTED, 0.1)
        again = world.loop.now
        await until_level(world, SUPPORTED.highest)
        assert monitor.activations[0] - again >= 10.0

    def before(world: World) -> None:
        begin_before(world)
        world.rollout = RolloutSettings(enabled=True, soak_s=10.0)

    staged_day(script, before)


# A node's process is replaced: by this version, by the version before, by this one with an operator's hold; or it
# ends. `wait` is longer than the soak time, and `off` means that the level has not risen.
SCENARIOS = {
    "rolled back halfway": "new 0, new 1, wait, back 0, new 2, wait, off, new 0",
    "down meanwhile, and back as before": "end 2, new 0, new 1, wait, off, back 2, wait, off, new 2",
    "rolled back twice": "new 2, wait, back 2, new 1, new 0, wait, off, new 2, back 2, wait, off, new 2",
    "held by an operator on one node": "new 0, new 2, held 1, wait, wait, off, new 1",
}


@pytest.mark.parametrize("steps", SCENARIOS.values(), ids=SCENARIOS)
def test_the_level_stays_while_one_node_is_old_down_or_holds_it(steps: str) -> None:
    async def take(world: World, kind: str, node: str) -> None:
        hold_at = 1 if kind == "held" else None
        world.rollout = RolloutSettings(enabled=True, soak_s=SOAK_S, hold_at=hold_at)
        if kind == "end":
            world.kill(node)
        else:
            replace(world, node, BEFORE if kind == "back" else SUPPORTED, 0.5)
            await asyncio.sleep(1)

    async def script(world: World, monitor: RolloutMonitor) -> None:
        ids = await submit_some(world)
        for step in steps.split(", "):
            kind, *number = step.split()
            if kind == "wait":
                await asyncio.sleep(3 * SOAK_S)
            elif kind == "off":
                assert stored_level(world) == 1
                assert all(one.rollout.gate.admitted for one in world.controllers.values())
            else:
                await take(world, kind, NODES[int(number[0])])
        await until_level(world, SUPPORTED.highest)
        await until_done(world, ids)

    staged_day(script)


def test_a_version_that_does_not_read_the_active_level_stays_out_and_says_what_to_do(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def refused(world: World, node: str) -> None:
        one = world.controllers[node]
        assert one.rollout.gate.state is GateState.REFUSED and one.election.role.name == "FOLLOWER"
        assert (await world.ask("GET", "/ready", node=node)).status == 503
        answer = await world.ask("GET", "/submissions/run-000000", node=node)
        assert answer.status == 503 and answer.retry_after is not None and answer.close

    async def watched(world: World) -> None:
        with monitored(world) as monitor:
            await upgrade_all(world)
            ids = await submit_some(world)
            # The leader itself is rolled back: the others serve on, and nobody works on what it would misread.
            assert world.leader is not None
            back = world.leader.api._node
            replace(world, back, BEFORE, 0.3)
            await asyncio.sleep(8)
            await refused(world, back)
            assert world.leader is not None and world.leader.api._node != back
            # Alone it does not lead either.
            for node in NODES:
                if node != back:
                    world.kill(node)
            await asyncio.sleep(40)
            await refused(world, back)
            assert world.leader is None
            for node in NODES:
                replace(world, node, SUPPORTED, 0.5)
            await until_done(world, ids)
            assert (await world.ask("GET", "/ready", node=back)).status == 200
        assert monitor.broken == [] and len(monitor.activations) == 1

    world = World(3)
    begin_before(world)

    async def main() -> None:
        world.rent("large", "east")
        for node in world.nodes:
            world.start(node)
        await watched(world)

    with caplog.at_level(logging.ERROR, "elmthread"):
        play(main(), world.loop)
    assert world.rules.broken == []
    told = [record.getMessage() for record in caplog.records]
    # Told once, not at every try.
    assert (
        len(told) == 1 and f"level {SUPPORTED.highest} is active" in told[0] and "start a version that reads" in told[0]
    )


async def announce_late(world: World) -> None:
    """New, then old within a fraction of a second: the new one's announcement arrives after the old one's."""
    for node in NODES[:2]:
        replace(world, node, SUPPORTED, 0.1)
    await asyncio.sleep(6)
    for turn in range(6):
        replace(world, NODES[2], SUPPORTED, 0.05)
        await asyncio.sleep(0.052 + 0.004 * turn)
        # Whatever it has sent by now arrives within six seconds.
        if NODES[2] in world.controllers:
            world.ports[NODES[2]][0].trouble.late = 1.0
            await asyncio.sleep(0.02)
            world.kill(NODES[2])
            world.ports[NODES[2]][0].trouble.testament = True
        replace(world, NODES[2], BEFORE, 0.05)
        await asyncio.sleep(1.0)
        assert world.store.items[f"rollout/nodes/{NODES[2]}"][0]["highest"] == 1
        await asyncio.sleep(12 + SOAK_S)
        assert world.store.items[f"rollout/nodes/{NODES[2]}"][0]["highest"] == 1
        assert stored_level(world) == 1


def test_what_an_earlier_process_of_the_node_has_on_its_way_cannot_speak_for_the_present_one() -> None:
    staged_day(lambda world, monitor: announce_late(world))


def test_more_controllers_than_a_transaction_can_compare_keep_the_level(caplog: pytest.LogCaptureFixture) -> None:
    world = World()
    world.rollout = RolloutSettings(enabled=True, soak_s=1.0)
    # Four keys can be compared: the token, the level and two announcements.
    world.limits = {"txn_ops": 1}

    async def main() -> None:
        for node in world.nodes:
            world.start(node)
        await asyncio.sleep(30)
        assert stored_level(world) == 1 and await world.submit(job(1))

    with caplog.at_level(logging.ERROR, "elmthread"):
        play(main(), world.loop)
    assert [record.getMessage().split(":")[0] for record in caplog.records] == [
        "3 controllers are more than one transaction can compare"
    ]
    assert world.store.bad_requests == []


@pytest.mark.parametrize("seed", range(3))
def test_an_activation_without_an_answer_is_found_in_the_store_and_not_repeated(seed: int) -> None:
    async def script(world: World, monitor: RolloutMonitor) -> None:
        ids = await submit_some(world)
        for node in NODES:
            replace(world, node, SUPPORTED, 0.5)
        await asyncio.sleep(3)
        for node in NODES:
            world.ports[node][0].trouble.lost = 0.6
        await asyncio.sleep(2 * SOAK_S)
        for node in NODES:
            world.ports[node][0].trouble.lost = 0.0
        await until_level(world, SUPPORTED.highest)
        await until_done(world, ids)

    staged_day(script, seed=seed)


def test_a_leader_that_ends_between_activation_and_fence_leaves_it_to_the_next() -> None:
    async def script(world: World, monitor: RolloutMonitor) -> None:
        ended: list[str] = []
        written = monitor._level_written

        def end_the_leader(before: int, level: int) -> None:
            written(before, level)
            node = next(one.api._node for one in world.controllers.values() if one.election.holds_lease())
            ended.append(node)
            world.loop.call_soon(world.kill, node)

        monitor._level_written = end_the_leader  # type: ignore[method-assign]
        for node in NODES:
            replace(world, node, SUPPORTED, 0.5)
        while not ended:
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.1)
        # Nothing of the level is in use yet: the store is as the version in production reads it.
        earlier.read(world.store.values())
        ids = await submit_some(world)
        start(world, ended[0])
        await until_level(world, SUPPORTED.highest)
        await until_done(world, ids)

    staged_day(script)


@pytest.mark.parametrize(
    ("key", "value", "said"),
    [
        ("rollout/level", {"level": "two", "token": 1}, "rollout/level"),
        ("rollout/level", {"level": 0, "token": 1}, "rollout/level"),
        ("rollout/level", 2, "rollout/level"),
        ("rollout/level", {"level": 9, "token": 1}, "level 9 is active"),
    ],
)
def test_nothing_is_led_on_a_level_that_cannot_be_read(
    key: str, value: Any, said: str, caplog: pytest.LogCaptureFixture
) -> None:
    world = World()
    world.rollout = RolloutSettings(enabled=True, soak_s=SOAK_S)
    world.store.items[key] = (value, 1, None)

    async def main() -> None:
        for node in world.nodes:
            world.start(node)
        await asyncio.sleep(30)
        assert world.leader is None
        assert (await world.ask("GET", "/ready")).status == 503
        # Put right by an operator, it is taken up without a restart.
        world.store.revision += 1
        world.store.items[key] = ({"level": 1, "token": 1}, world.store.revision, None)
        await asyncio.sleep(20)
        assert world.leader is not None and await world.submit(job(1))

    with caplog.at_level(logging.ERROR, "elmthread"):
        play(main(), world.loop)
    assert any(said in record.getMessage() for record in caplog.records)


@pytest.mark.parametrize(
    "value",
    [
        "rubbish",
        {"lowest": 2, "highest": 1, "members": NODES, "process": "x", "announced_at": 1.0},
        {"lowest": 1, "highest": 2, "process": "x", "announced_at": 1.0},
        {"lowest": 1, "highest": 2, "members": NODES[:2], "process": "x", "announced_at": 1.0},
    ],
)
def test_an_announcement_that_cannot_be_read_or_names_other_members_counts_as_none(value: Any) -> None:
    async def script(world: World, monitor: RolloutMonitor) -> None:
        await asyncio.sleep(1)
        world.kill(NODES[2])
        world.store.revision += 1
        world.store.items[f"rollout/nodes/{NODES[2]}"] = (value, world.store.revision, None)
        for node in NODES[:2]:
            replace(world, node, SUPPORTED, 0.5)
        await asyncio.sleep(4 * SOAK_S)
        assert stored_level(world) == 1
        # The node itself sets it right, and comes back new.
        replace(world, NODES[2], SUPPORTED, 0.5)
        await until_level(world, SUPPORTED.highest)

    staged_day(script)


async def roll_back_unannounced(world: World) -> None:
    """A node's announcement still stands, but names another process than the one that runs."""
    for node in NODES:
        replace(world, node, SUPPORTED, 0.2)
    await asyncio.sleep(2)
    assert world.leader is not None
    back = next(node for node in NODES if node != world.leader.api._node)
    # Without the setting it announces nothing, as a version that knows no levels.
    world.rollout = RolloutSettings()
    replace(world, back, BEFORE, 0.2)
    await asyncio.sleep(0.5)
    world.rollout = RolloutSettings(enabled=True, soak_s=SOAK_S)
    await asyncio.sleep(4 * SOAK_S)
    assert world.store.items[f"rollout/nodes/{back}"][0]["highest"] == SUPPORTED.highest
    assert stored_level(world) == 1, "active though a node runs a version that announced nothing"
    replace(world, back, SUPPORTED, 0.2)
    await until_level(world, SUPPORTED.highest)


def test_a_node_rolled_back_to_a_version_without_levels_is_noticed_while_it_answers() -> None:
    staged_day(lambda world, monitor: roll_back_unannounced(world))


def test_a_store_left_by_the_version_without_levels_is_taken_up() -> None:
    async def script(world: World, monitor: RolloutMonitor) -> None:
        ids = await submit_some(world)
        await asyncio.sleep(6)
        assert not any(key.startswith("rollout/") for key in world.store.items)
        # The rollout is switched on node by node, with the new version.
        world.rollout = RolloutSettings(enabled=True, soak_s=SOAK_S)
        for node in NODES:
            assert stored_level(world) == 1
            replace(world, node, SUPPORTED, 1.0)
            await asyncio.sleep(6)
        await until_level(world, SUPPORTED.highest)
        await until_done(world, ids)

    def before(world: World) -> None:
        world.levels = dict.fromkeys(world.nodes, BEFORE)

    staged_day(script, before)


def test_without_the_setting_nothing_is_announced_or_raised_and_an_active_level_is_kept_to() -> None:
    async def script(world: World, monitor: RolloutMonitor) -> None:
        await asyncio.sleep(3 * SOAK_S)
        assert not any(key.startswith("rollout/") for key in world.store.items)
        world.rollout = RolloutSettings(enabled=True, soak_s=SOAK_S)
        await upgrade_all(world)
        ids = await submit_some(world)
        while not any(done_in_store(world).values()):
            assert any(world.rules.told[job_id] != "done" for job_id in ids)
            await asyncio.sleep(0.2)
        world.rollout = RolloutSettings()
        for node in NODES:
            replace(world, node, SUPPORTED, 0.5)
        await asyncio.sleep(5)
        assert all(one.rollout.features.level == SUPPORTED.highest for one in world.controllers.values() if one.leader)
        await until_done(world, ids)

    staged_day(script, lambda world: None)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["new", "new", "new", "before", "before", *TROUBLES]),
        st.sampled_from(NODES),
        st.floats(0.05, 9.0),
    ),
    min_size=10,
    max_size=16,
)


async def upgrades_and_rollbacks(
    world: World, monitor: RolloutMonitor, steps: list[tuple[str, str, float]], falls: float
) -> None:
    """Nodes change their version again and again beside every trouble; in the end all are new."""
    world.loop.call_later(falls, fall, world)
    ids = await submit_some(world, 6)
    for kind, node, pause in steps:
        if kind in ("new", "before"):
            replace(world, node, SUPPORTED if kind == "new" else BEFORE, world.rng.uniform(0.02, 4.0))
        else:
            await befall(world, kind, ids)
        await asyncio.sleep(pause)
        for job_id in ids:
            await world.poll(job_id)
    restore(world)
    for node in NODES:
        if world.levels[node] != SUPPORTED:
            replace(world, node, SUPPORTED, world.rng.uniform(0.02, 4.0))
    await asyncio.sleep(5)
    await until_level(world, SUPPORTED.highest)
    ids += await submit_some(world, 3, 20)
    states = await world.until_over(ids, 400)
    assert all(state in ("done", "cancelled") for state in states.values()), states
    await asyncio.sleep(max(0.0, falls - world.loop.now))


# A history that fails is made smaller, unlike those of the other worlds: its steps tell which guard is missing.
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


def day_beside_an_earlier_version(seed: int, earlier: str) -> None:
    """Upgrades from, and rollbacks to, a version that knows no levels (`tests/both.py`)."""
    rng = random.Random(seed)

    async def script(world: World, monitor: RolloutMonitor) -> None:
        ids = await submit_some(world, 6)
        for _ in range(12):
            kind, node = rng.choice(["new", "new", "earlier", *rng.sample(TROUBLES, 2)]), rng.choice(NODES)
            if kind in ("new", "earlier"):
                (world.old.discard if kind == "new" else world.old.add)(node)
                replace(world, node, SUPPORTED, rng.uniform(0.05, 4.0))
            else:
                await befall(world, kind, ids)
            await asyncio.sleep(rng.uniform(0.05, 9.0))
            for job_id in ids:
                await world.poll(job_id)
        restore(world)
        for node in sorted(world.old):
            world.old.discard(node)
            replace(world, node, SUPPORTED, rng.uniform(0.05, 4.0))
        await asyncio.sleep(5)
        await until_level(world, SUPPORTED.highest)
        ids += await submit_some(world, 3, 20)
        await asyncio.sleep(14)
        # Rolled back after the activation: the earlier version does not lead on what it would misread.
        world.old.update(NODES)
        for node in NODES:
            replace(world, node, SUPPORTED, 0.5)
        for _ in range(60):
            await asyncio.sleep(0.5)
            assert not any(one.leader is not None and one.leader.loaded for one in world.controllers.values())
        world.old.clear()
        for node in NODES:
            replace(world, node, SUPPORTED, 0.5)
        states = await world.until_over(ids, 400)
        assert all(state in ("done", "cancelled") for state in states.values()), states

    def before(world: World) -> None:
        begin_before(world)
        world.levels.clear()
        world.limits, world.earlier, world.old = dict(NEXT), earlier, set(world.nodes)

    staged_day(script, before, seed=seed)


# Faults: one guard less, or another rule. A day made for each of them shows that a check sees it.


def by_majority(view: RolloutView, members: frozenset[str], supported: Any) -> Activate | Wait:
    """The level rises once most nodes have it."""
    able = {node for node, one in view.announcements.items() if getattr(one, "levels", BEFORE).highest >= 2}
    if view.level < 2 and len(able) * 2 > len(members):
        found = {node: one for node, one in view.announcements.items() if isinstance(one, Announcement)}
        return Activate(2, view.level_mod_revision, tuple((node, found[node]) for node in able))
    return plan_activation(view, members, supported)


class GuardsLeftOut:
    """The store's messages, but keys of a kind are not compared."""

    def __init__(self, left_out: str) -> None:
        self._left_out, self.put = left_out, store.put

    def compare(self, key: str, mod_revision: int) -> dict[str, Any]:
        """The comparison, of a key that never exists where it is left out."""
        return store.compare("never", 0) if self._left_out in key else store.compare(key, mod_revision)


async def upgrade_most(world: World) -> None:
    for node in NODES[:2]:
        replace(world, node, SUPPORTED, 0.2)
    await asyncio.sleep(3)
    # If the version before leads, one of the others does from now on.
    replace(world, NODES[2], BEFORE, 3.0)
    await asyncio.sleep(4 * SOAK_S)


def announce_before(world: World, node: str) -> dict[str, Any]:
    """The transaction by which a process of the version before announces itself."""
    key = f"rollout/nodes/{node}"
    record = world.store.items[key][0] | {"lowest": 1, "highest": 1, "process": "rolled back"}
    comparisons = [store.compare(key, world.store.items[key][1])]
    if "rollout/level" in world.store.items:
        comparisons.append(store.compare("rollout/level", world.store.items["rollout/level"][1]))
    return {"guards": comparisons, "then": [store.put(key, record)]}


def before_putting(world: World, key: str, call: Callable[[], None]) -> None:
    """Calls once, right before the first transaction that puts the key is carried out."""
    transact, called = world.store._transact, False

    def watched(body: Any) -> Any:
        nonlocal called
        if not called and any(change.get("put") == key for change in body.get("then", [])):
            called = True
            call()
        return transact(body)

    world.store._transact = watched  # type: ignore[method-assign]


async def roll_back_as_the_level_rises(world: World) -> None:
    def rolled_back() -> None:
        answer = world.store._transact(announce_before(world, NODES[2]))
        assert answer.status == 200

    before_putting(world, "rollout/level", rolled_back)
    for node in NODES:
        replace(world, node, SUPPORTED, 0.2)
    await asyncio.sleep(3 * SOAK_S)


async def raise_the_level_as_a_process_announces_itself(world: World) -> None:
    for node in NODES:
        replace(world, node, SUPPORTED, 0.2)
    await asyncio.sleep(2)

    def raised() -> None:
        fencing_token = world.store.items["leader"][1]
        put = store.put("rollout/level", {"level": 2, "token": fencing_token})
        assert world.store._transact({"guards": [], "then": [put]}).status == 200

    before_putting(world, f"rollout/nodes/{NODES[2]}", raised)
    replace(world, NODES[2], BEFORE, 0.2)
    await asyncio.sleep(10)


async def mark_tasks_done_before_the_upgrade(world: World) -> None:
    await submit_some(world)
    await asyncio.sleep(16)


async def mark_tasks_done(world: World) -> None:
    """Upgraded, with a job of which some tasks are done and stored."""
    await upgrade_all(world)
    await submit_some(world)
    await asyncio.sleep(16)


async def roll_all_back(world: World) -> None:
    await mark_tasks_done(world)
    for node in NODES:
        replace(world, node, BEFORE, 0.2)
    await asyncio.sleep(10)


def learn_at_once(rollout: TermRollout) -> None:
    """New forms do not wait for the fence, which is not put up."""
    rollout._rollout.features.learn(rollout._level)


FAULTS: dict[str, tuple[Callable[[], Any], Callable[[World], Awaitable[None]]]] = {
    "a majority is enough": (lambda: mock.patch.object(term_module, "plan_activation", by_majority), upgrade_most),
    "the activation does not compare the announcements": (
        lambda: mock.patch.object(term_module, "store_messages", GuardsLeftOut("/nodes/")),
        roll_back_as_the_level_rises,
    ),
    "an announcement does not compare the level": (
        lambda: mock.patch.object(gate_module, "store_messages", GuardsLeftOut("rollout/level")),
        raise_the_level_as_a_process_announces_itself,
    ),
    "an announcement does not compare the one before it": (
        lambda: mock.patch.object(gate_module, "store_messages", GuardsLeftOut("/nodes/")),
        announce_late,
    ),
    "new forms do not wait for the level": (
        lambda: mock.patch.object(ActiveFeatures, "is_active", lambda self, feature: True),
        mark_tasks_done_before_the_upgrade,
    ),
    "new forms do not wait for the fence": (
        lambda: mock.patch.object(TermRollout, "_write_fence", learn_at_once),
        mark_tasks_done,
    ),
    "processes are not asked which they are": (
        lambda: mock.patch.object(TermRollout, "_other_processes", mock.AsyncMock(return_value=())),
        roll_back_unannounced,
    ),
    "every process is admitted": (
        lambda: mock.patch.object(CompatibilityGate, "check", lambda self, level: None),
        roll_all_back,
    ),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_the_checks_see_a_rollout_that_lacks_a_guard(fault: str) -> None:
    patch, script = FAULTS[fault]

    def seen() -> list[str]:
        """What the monitor and the rules tell of on that day."""
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

    # The same day with the guard shows nothing, but for the errors of processes that are rightly refused.
    assert all("is active, this version reads" in what for what in seen())
    with patch():
        assert any("is active, this version reads" not in what for what in seen())
