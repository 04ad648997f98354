"""Group commit against the simulated store: rates, sizes, delayed duplicates and other leaders."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from elmthread.store import messages
from elmthread.store.client import KeyValueStore
from elmthread.store.page_batch import WriteLimits
from elmthread.store.pages import (
    PAGE_PREFIX,
    RecordPages,
    page_capacity,
)
from elmthread.store.records import LEADER_KEY
from elmthread.store.token_bucket import TokenBucket
from elmthread.store.write_queue import WritePriority
from elmthread.store.writer import RecordWriter
from tests.world.error_log import errors_logged
from tests.world.loop import SimLoop, play
from tests.world.service_ports import ServiceFaults, SimulatedClient
from tests.world.simulated_store import SimulatedStore
from tests.world.stored import stored_pages, stored_records
from tests.world.term import StubTerm

MAX_VALUE_BYTES = 2 * 1024


def wire(put: messages.Put) -> Any:
    """Return a transaction without conditions, as it is on the wire."""
    return msgspec.to_builtins(messages.Transaction([], [put]))


class WriterHarness:
    def __init__(self, rate: float = 30.0) -> None:
        self.loop = SimLoop()
        asyncio.set_event_loop(self.loop)
        self.store = SimulatedStore(self.loop, random.Random(1), 8, MAX_VALUE_BYTES)
        self.store.apply("POST", "/txn", wire(messages.put(LEADER_KEY, {"node": "a"})))
        self.faults = ServiceFaults()
        client = KeyValueStore(SimulatedClient(self.store, self.faults), TokenBucket(100, 100, self.loop.clock))
        self.term = StubTerm(self.store.items[LEADER_KEY][1])
        limits = WriteLimits(TokenBucket(rate, rate, self.loop.clock), 8)
        self.writer = RecordWriter(client, RecordPages(page_capacity(2)), self.term, limits, self.loop.clock)

    def pages(self) -> list[tuple[str, Any, int]]:
        return stored_pages(self.store)

    def read(self) -> dict[str, Any]:
        """Return the records that a new leader would find."""
        return stored_records(self.store)

    def play(self, script: Callable[[], Awaitable[None]]) -> None:
        """Run the script while the writer runs, which must not end first."""

        async def main() -> None:
            task = self.loop.create_task(self.writer.run())
            await script()
            assert not task.done()
            task.cancel()

        play(main(), self.loop)


def test_many_changes_take_few_transactions_within_the_rate_limit() -> None:
    harness = WriterHarness(rate=10.0)

    async def script() -> None:
        for number in range(1200):
            harness.writer.write(f"k/{number}", WritePriority.ASSIGNMENT, lambda: {"text": "x" * 20})
        await asyncio.sleep(1)
        assert len(harness.pages()) <= 20  # a burst of one second's tokens, and those of one second
        await asyncio.sleep(6)
        assert len(harness.read()) == 1200
        assert harness.store.revision < 60

    harness.play(script)
    assert harness.store.bad_requests == []


def test_writes_for_users_overtake_waiting_ones() -> None:
    harness = WriterHarness(rate=10.0)

    async def script() -> None:
        for number in range(1200):
            harness.writer.write(f"k/{number}", WritePriority.MAINTENANCE, lambda: {"text": "x" * 20})
        await asyncio.sleep(5.5)
        requested_at = harness.loop.now
        await harness.writer.write_and_wait("j/1", WritePriority.USER, lambda: {"n": 1}, lambda: None)
        assert harness.loop.now - requested_at < 0.3
        assert harness.writer.queue.pending

    harness.play(script)


def test_delayed_duplicate_of_a_transaction_changes_nothing() -> None:
    """A delayed duplicate must not overwrite a newer value, whenever the store applies it."""
    harness = WriterHarness()

    async def script() -> None:
        value = {"n": 0}
        for number in range(1, 30):
            value["n"] = number
            harness.faults.late_share = 0.4
            harness.writer.write("k/1", WritePriority.USER, lambda: dict(value))
            await asyncio.sleep(0.3)
        harness.faults.late_share = 0.0
        # After this write is durable, delayed duplicates of earlier transactions still arrive.
        await harness.writer.write_and_wait("k/1", WritePriority.USER, lambda: {"n": 99}, lambda: None)
        for _ in range(100):
            await asyncio.sleep(0.5)
            assert harness.read()["k/1"] == {"n": 99}

    harness.play(script)
    assert not harness.term.step_down_reasons


def test_transactions_executed_twice_change_nothing() -> None:
    harness = WriterHarness()

    async def script() -> None:
        sent: list[Any] = []
        apply = harness.store.apply

        def recording_apply(method: str, path: str, body: Any) -> Any:
            if path == "/txn":
                sent.append(body)
            return apply(method, path, body)

        harness.store.apply = recording_apply  # type: ignore[method-assign]
        for number in range(60):
            harness.writer.write(f"k/{number % 7}", WritePriority.USER, lambda number=number: {"n": number})  # type: ignore[misc]
            if number % 5 == 4:
                harness.writer.delete(f"k/{number % 3}")
            await asyncio.sleep(0.2)
            before = harness.read()
            for body in sent:
                apply("POST", "/txn", body)
            assert harness.read() == before

    harness.play(script)
    assert not harness.term.step_down_reasons


def test_another_leader_ends_all_writing() -> None:
    harness = WriterHarness()

    async def script() -> None:
        harness.store.apply("POST", "/txn", wire(messages.put(LEADER_KEY, {"node": "b"})))
        harness.writer.write("k/1", WritePriority.USER, lambda: {"n": 1})
        await asyncio.sleep(1)
        assert harness.term.step_down_reasons and harness.read() == {}

    harness.play(script)


@settings(max_examples=60, deadline=None, derandomize=True, database=None)
@given(st.lists(st.tuples(st.integers(0, 40), st.integers(0, 400)), max_size=300), st.floats(0.0, 0.3))
def test_pages_hold_the_same_records_as_a_dict(changes: list[tuple[int, int]], lost_share: float) -> None:
    """After writes, rewrites and deletions, a new leader reads the same records as a dict would hold."""
    harness = WriterHarness()
    expected: dict[str, Any] = {}

    async def script() -> None:
        for number, (key, size) in enumerate(changes):
            harness.faults.lost_response_share = lost_share
            name = f"k/{key}"
            if size < 60:
                expected.pop(name, None)
                harness.writer.delete(name)
            else:
                expected[name] = {"n": number, "text": '"' * size}
                harness.writer.write(name, WritePriority.ASSIGNMENT, lambda value=expected[name]: value)  # type: ignore[misc]
            if number % 9 == 0:
                await asyncio.sleep(0.3)
        harness.faults.lost_response_share = 0.0
        await asyncio.sleep(30)
        assert harness.read() == expected
        # The pages that a new leader loads have the same records.
        reloaded = RecordPages(MAX_VALUE_BYTES)
        reloaded.load(harness.pages())
        assert all((name in reloaded) == (name in expected) for name in (f"k/{key}" for key in range(41)))

    harness.play(script)
    assert harness.store.bad_requests == []


def test_number_of_pages_stays_bounded() -> None:
    harness = WriterHarness(rate=100.0)

    async def script() -> None:
        for number in range(2000):
            # Cold records soon stay unchanged, hot ones are rewritten all the time.
            harness.writer.write(f"cold/{number // 20}", WritePriority.USER, lambda: {"n": 1})
            harness.writer.write(f"hot/{number % 10}", WritePriority.USER, lambda: {"text": "x" * 100})
            await asyncio.sleep(0.05)
        assert len(harness.read()) == 110
        assert len(harness.pages()) < 40

    harness.play(script)


def test_record_larger_than_a_page_blocks_no_other() -> None:
    harness = WriterHarness()

    async def script() -> None:
        harness.writer.write("k/1", WritePriority.USER, lambda: {"text": "x" * MAX_VALUE_BYTES})
        harness.writer.write("k/2", WritePriority.USER, lambda: {"n": 1})
        await asyncio.sleep(1)
        assert harness.read() == {"k/2": {"n": 1}}

    harness.play(script)
    assert harness.store.bad_requests == []


def test_rejected_record_is_isolated_and_blocks_no_other() -> None:
    """If the store accepts less than the settings say, only the record that can't be stored is dropped.

    The leader keeps leadership, as the next one would send the same transaction."""
    harness = WriterHarness()
    stored: list[str] = []

    async def script() -> None:
        harness.store.set_limits(1.0, 2, 30.0)
        for number in range(12):
            key, text = f"k/{number}", "x" * (1500 if number == 5 else 100)
            harness.writer.write(key, WritePriority.ASSIGNMENT, partial(str, text), partial(stored.append, key))
        await asyncio.sleep(20)

    with errors_logged() as lines:
        harness.play(script)
    assert set(harness.read()) == {f"k/{number}" for number in range(12) if number != 5}
    assert sorted(stored) == sorted(harness.read())
    assert not harness.term.step_down_reasons
    assert [line for line in lines if "refuses" in line] and [line for line in lines if "k/5 can't be stored" in line]


def test_changes_over_the_rate_limit_wait_and_leadership_is_kept() -> None:
    harness = WriterHarness(rate=30.0)

    async def script() -> None:
        harness.store.set_limits(2.0, 8, 4.0)
        for number in range(200):
            harness.writer.write(f"k/{number}", WritePriority.ASSIGNMENT, lambda: "x" * 150)
        await asyncio.sleep(60)
        assert len(harness.read()) == 200
        assert not harness.term.step_down_reasons
        assert harness.store.rate_limited < 60

    harness.play(script)


def test_gap_left_by_a_lost_transaction_is_filled_and_no_existing_page_is_selected() -> None:
    """Of two concurrent transactions, only the one with the later page was executed, which leaves a gap.

    A leader that numbers new pages by their count would select an existing page, and the failed comparison of
    its revision would end its leadership.
    """
    harness = WriterHarness()
    writer = harness.writer

    async def script() -> None:
        for number in (0, 1, 3):
            put = messages.put(
                f"{PAGE_PREFIX}{number:04d}", {"number": number + 1, "text": f'{{"k/{number}":{number}}}'}
            )
            harness.store.apply("POST", "/txn", wire(put))
        assert writer.pages.load(harness.pages()) == {"k/0": 0, "k/1": 1, "k/3": 3}
        for number in range(10, 14):
            harness.writer.write(f"k/{number}", WritePriority.USER, lambda: "x" * 1500)
        await asyncio.sleep(2)
        assert not harness.term.step_down_reasons
        found = harness.read()
        assert {key: found[key] for key in ("k/0", "k/1", "k/3")} == {"k/0": 0, "k/1": 1, "k/3": 3}
        assert {f"k/{number}" for number in range(10, 14)} <= found.keys()
        # The gap is filled, so earlier versions, which number new pages by their count, find none either.
        assert f"{PAGE_PREFIX}0002" in harness.store.items

    harness.play(script)
