"""Group commit against the stand-in store: rates, sizes, late copies and other leaders."""

import asyncio
import random

from elmthread.ledger import messages
from elmthread.ledger.client import StateClient
from elmthread.ledger.pacing import Bucket
from elmthread.ledger.records import LEADER, chunk_tasks, most_holds
from elmthread.ledger.writer import Rank, Writer
from tests.world.loop import SimLoop, play
from tests.world.services import Port, StateStore, Trouble


class Bench:
    def __init__(self, rate: float = 30.0) -> None:
        self.loop = SimLoop()
        asyncio.set_event_loop(self.loop)
        self.store = StateStore(self.loop, random.Random(1), 8, 8 * 1024)
        self.store.apply("POST", "/txn", {"guards": [], "then": [messages.put(LEADER, {"node": "a"})]})
        self.trouble = Trouble()
        client = StateClient(Port(self.store, self.trouble), Bucket(100, 100, self.loop.clock))
        self.lost: list[bool] = []
        token = self.store.items[LEADER][1]
        self.writer = Writer(
            client, token, {}, Bucket(rate, rate, self.loop.clock), 8, self.loop.clock, lambda: self.lost.append(True)
        )


def test_many_changes_go_in_few_transactions_within_the_rate() -> None:
    bench = Bench()

    async def main() -> None:
        task = bench.loop.create_task(bench.writer.run())
        for number in range(90):
            bench.writer.write(f"k/{number}", Rank.ASSIGN, lambda: {"n": 1})
        await asyncio.sleep(1)
        assert len(bench.store.items) - 1 <= 60  # a burst of one second's worth, and a second's
        await asyncio.sleep(3)
        assert len(bench.store.items) - 1 == 90
        assert bench.store.revision < 90
        task.cancel()

    play(main(), bench.loop)
    assert bench.store.bad_requests == []


def test_users_changes_pass_waiting_ones() -> None:
    bench = Bench(rate=10.0)

    async def main() -> None:
        task = bench.loop.create_task(bench.writer.run())
        for number in range(60):
            bench.writer.write(f"k/{number}", Rank.TIDY, lambda: {"n": 1})
        await asyncio.sleep(0.5)
        asked = bench.loop.now
        await bench.writer.written("j/1", Rank.USER, lambda: {"n": 1}, lambda: None)
        assert bench.loop.now - asked < 0.3
        task.cancel()

    play(main(), bench.loop)


def test_late_copy_of_a_transaction_changes_nothing() -> None:
    """An old value must not come back over a newer one, whenever the store applies it."""
    bench = Bench()

    async def main() -> None:
        task = bench.loop.create_task(bench.writer.run())
        value = {"n": 0}
        for number in range(1, 30):
            value["n"] = number
            bench.trouble.late = 0.4
            bench.writer.write("k/1", Rank.USER, lambda: dict(value))
            await asyncio.sleep(0.3)
        bench.trouble.late = 0.0
        # The last writing is durable at the latest now; late copies go on arriving.
        await bench.writer.written("k/1", Rank.USER, lambda: {"n": 99}, lambda: None)
        for _ in range(100):
            await asyncio.sleep(0.5)
            assert bench.store.items["k/1"][0] == {"n": 99}
        task.cancel()

    play(main(), bench.loop)
    assert not bench.lost


def test_another_leader_ends_all_writing() -> None:
    bench = Bench()

    async def main() -> None:
        task = bench.loop.create_task(bench.writer.run())
        bench.store.apply("POST", "/txn", {"guards": [], "then": [messages.put(LEADER, {"node": "b"})]})
        bench.writer.write("k/1", Rank.USER, lambda: {"n": 1})
        await asyncio.sleep(1)
        assert bench.lost and "k/1" not in bench.store.items
        task.cancel()

    play(main(), bench.loop)


def test_records_fit_the_value_limit() -> None:
    for kilobytes in (1.0, 8.0, 16.0):
        assert chunk_tasks(kilobytes) / 4 + 50 < kilobytes * 1024
        longest = '"run-' + "x" * 64 + '":[99999,99999999999999999999],'
        assert most_holds(kilobytes) * len(longest) + 400 <= kilobytes * 1024
