"""The stand-in for a machine's worker, written from PROTOCOL. It fetches images at once and uses no processor."""

import asyncio
import time

from review.standins.wire import Client, NoAnswer


class Worker:
    """Reports, executes commands, and drops its tasks when its lease runs out."""

    def __init__(self, world, machine):
        self.world, self.machine, self.name = world, machine, machine["name_id"]
        self.shift, self.tally, self.baton = 1, 0, 0
        self.tasks = {}  # (piece, try) -> dict
        self.done = set()
        self.sick = False  # fails every task
        self.recall_at = None  # when the cloud takes the machine back
        self.images = set()
        self.renewed = time.monotonic()
        self.node = world.nodes[int(self.name[2:]) % len(world.nodes)]
        self.client = None
        self.changed = asyncio.Event()
        self.jobs = [asyncio.create_task(self._report()), asyncio.create_task(self._run())]

    def stop(self):
        for job in self.jobs:
            job.cancel()
        if self.client is not None:
            self.client.close()
        self._drop("machine gone")

    def _drop(self, why):
        for key, task in list(self.tasks.items()):
            if task["status"] in ("running", "saving"):
                self.world.ended(self, key, why)
        self.tasks.clear()

    async def _run(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if now - self.renewed > self.world.lease_s:
                self._drop("lease over")
                self.shift, self.renewed = self.shift + 1, now
                self.world.log("worker", self.name, f"lease over, shift {self.shift}")
                self.changed.set()
            for key, task in self.tasks.items():
                if task["status"] == "exited" or now < task["until"]:
                    continue
                spec = self.world.specs[key[0].rpartition("/")[0]]
                if task["status"] == "fetching":
                    self.images.add(spec["kit"])
                    task["status"] = "running"
                    run_s = self.world.run_s[spec["name_id"]]
                    task["until"] = float("inf") if spec["form"] == "daemon" else now + run_s
                    if key[0] in self.done:
                        task["until"] = now
                    self.world.started(self, key)
                elif task["status"] == "running":
                    if self.sick or spec["name_id"] in self.world.mistaken:
                        self._exit(key, task, "error")
                    else:
                        self.done.add(key[0])
                        self._exit(key, task, "done")
                else:
                    task["saved"] = True
                    self._exit(key, task, "halted")
                self.changed.set()

    def _exit(self, key, task, cause):
        if task["status"] in ("running", "saving"):
            self.world.ended(self, key, cause)
        task["status"], task["cause"] = "exited", cause

    def report(self):
        self.tally += 1
        pieces = []
        for (piece, attempt), task in self.tasks.items():
            entry = {"piece": piece, "try": attempt, "status": task["status"]}
            if "cause" in task:
                entry["cause"] = task["cause"]
            if task.get("saved"):
                entry["saved"] = True
            pieces.append(entry)
        machine = self.machine
        return {
            "loom": self.name,
            "endpoint": machine["endpoint"],
            "build": machine["build"],
            "yard": machine["yard"],
            "loaners": machine["loaners"],
            "shift": self.shift,
            "tally": self.tally,
            "baton": self.baton,
            "recall_s": None if self.recall_at is None else max(0.0, self.recall_at - time.monotonic()),
            "pieces": pieces,
        }

    async def send(self, report):
        """Send a report to the node that the worker is at and return the answer. Raises NoAnswer."""
        return await self.client.call("POST", "/agent/beat", report, 4.0)

    async def _report(self):
        world = self.world
        while True:
            sent, shift = time.monotonic(), self.shift
            self.changed.clear()
            if self.client is None:
                self.client = Client(world.addresses[self.node])
            status, body = 0, None
            try:
                status, body, _ = await self.send(self.report())
            except NoAnswer:
                pass
            if status == 200:
                self._take(body, sent, shift)
                await asyncio.sleep(0.5)
                try:
                    async with asyncio.timeout(max(0.0, world.report_s - 0.5)):
                        await self.changed.wait()
                except TimeoutError:
                    pass
                continue
            other = body.get("foreman") if status == 421 and isinstance(body, dict) else None
            if other in world.addresses and other != self.node:
                self._turn_to(other)
                await asyncio.sleep(0.1)
            else:
                self._turn_to(world.nodes[(world.nodes.index(self.node) + 1) % len(world.nodes)])
                await asyncio.sleep(1)

    def _turn_to(self, node):
        self.client.close()
        self.client, self.node = None, node

    def _take(self, body, sent, shift):
        baton = body.get("baton")
        if baton is None or baton < self.baton or shift != self.shift:
            return
        if baton > self.baton:
            self.baton = baton
            self.changed.set()
        self.renewed = max(self.renewed, sent)
        for order in body.get("orders", []):
            self._execute(order)

    def _execute(self, order):
        key = (order["piece"], order["try"])
        task = self.tasks.get(key)
        if order["verb"] == "start" and task is None:
            self._start(key)
        elif order["verb"] == "halt" and task is not None and task["status"] != "exited":
            spec = self.world.specs[key[0].rpartition("/")[0]]
            saves = spec["snapshot_every_s"] > 0 and order["wind_down_s"] >= spec["snapshot_s"]
            if task["status"] == "running" and saves:
                task["status"], task["until"] = "saving", time.monotonic() + spec["snapshot_s"]
            elif task["status"] != "saving" or order["wind_down_s"] == 0:
                self._exit(key, task, "halted")
        elif order["verb"] == "reap" and task is not None and task["status"] == "exited":
            del self.tasks[key]
        else:
            return
        self.changed.set()

    def _start(self, key):
        task = self.tasks[key] = {"status": "fetching", "until": time.monotonic()}
        spec = self.world.specs.get(key[0].rpartition("/")[0])
        build = next(t for t in self.world.types if t["name"] == self.machine["build"])
        others = [k for k, t in self.tasks.items() if t["status"] != "exited" and k != key]
        specs = [self.world.specs[k[0].rpartition("/")[0]] for k in others]
        if spec is None or int(key[0].rpartition("/")[2]) >= spec["pieces"]:
            self._exit(key, task, "no_such")
        elif any(k[0] == key[0] for k in others):
            self._exit(key, task, "in_use")
        elif (
            sum(s["cpus"] for s in specs) + spec["cpus"] > build["cpus"] + 1e-6
            or sum(s["ram_gb"] for s in specs) + spec["ram_gb"] > build["ram_gb"] + 1e-6
        ):
            self._exit(key, task, "no_room")
        elif spec["kit"] not in self.images:
            task["until"] += spec["size_gb"] / build["fetch_gb_per_s"]
