"""Settings of the simulated nodes: zones, machine types, teams and limits."""

from typing import Any

NODES = ["loom-0", "loom-1", "loom-2"]
ZONES = ["east", "north", "west"]
TYPES: list[dict[str, Any]] = [
    {
        "name": "small",
        "cpus": 4.0,
        "cards": 0.0,
        "ram_gb": 16.0,
        "cache_gb": 40.0,
        "fetch_gb_per_s": 0.5,
        "rate": 0.2,
        "spot_price": 0.08,
        "ready_s": 10.0,
        "yards": ZONES,
    },
    {
        "name": "large",
        "cpus": 16.0,
        "cards": 0.0,
        "ram_gb": 64.0,
        "cache_gb": 80.0,
        "fetch_gb_per_s": 1.0,
        "rate": 0.9,
        "spot_price": 0.3,
        "ready_s": 12.0,
        "yards": ZONES[:2],
    },
]
SETTINGS = """
node_name = "{node}"
site = "east"
serve_on = "10.0.0.1:8080"
peer_listen = "10.0.0.1:8081"
{others}
[endpoints]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[facts]
zones = ["east", "north", "west"]
time_bound_ms = 25.0
[[facts.teams]]
name = "red"
cpus = 8.0
cpus_max = 12.0
[[facts.teams]]
name = "blue"
cpus = 0.0
cpus_max = 0.0
[[facts.objectives]]
kind = "finished"
class = "nightly"
within_s = 120.0
share = 0.9
[facts.workers]
report_s = 3.0
lease_s = 12.0
cancel_s = {cancel}
[facts.state]
rps = 120.0
write_rps = 30.0
value_kb = 8.0
txn_ops = 8
{next}
[facts.cloud]
rps = 4.0
list_lag_s = 3.0
[facts.limits]
cores = 0.5
ram_mb = 200.0
max_connections = 500
"""
# Lower limits of the state service, for days on which they change.
NEXT_LIMITS = {"value_kb": 2.0, "txn_ops": 4, "write_rps": 15.0}


def settings(node: str, nodes: list[str], limits: dict[str, float] | None = None, cancel: float = 30.0) -> str:
    others = "".join(
        f'[[others]]\nnode_name = "{other}"\nsite = "east"\naddress = "10.0.0.1:8081"\n'
        for other in nodes
        if other != node
    )
    next_limits = "" if limits is None else "[facts.state.next]\n"
    next_limits += "".join(f"{name} = {value}\n" for name, value in (limits or {}).items())
    return SETTINGS.format(node=node, others=others, next=next_limits, cancel=cancel)
