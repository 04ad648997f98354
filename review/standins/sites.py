"""The small deployment of the repair network (BRIEF, site `epidiorthosi-athina`), with few machines."""

ZONES = ["athina", "iraklio", "patra", "saloniki"]


def athina():
    types = [
        {
            "name": "mikro",
            "cpus": 4.0,
            "cards": 0.0,
            "ram_gb": 8.0,
            "cache_gb": 80.0,
            "fetch_gb_per_s": 0.2,
            "rate": 0.26,
            "spot_price": 0.1,
            "ready_s": 50.0,
            "yards": ["athina", "saloniki", "patra"],
        },
        {
            "name": "mesaio",
            "cpus": 8.0,
            "cards": 0.0,
            "ram_gb": 32.0,
            "cache_gb": 60.0,
            "fetch_gb_per_s": 0.5,
            "rate": 0.55,
            "spot_price": 0.19,
            "ready_s": 50.0,
            "yards": ["athina", "iraklio", "saloniki"],
        },
    ]
    return {
        "controllers": 3,
        "back_s": 8.0,
        "zones": ZONES,
        "types": types,
        "capacity": {(t["name"], zone, spot): 4 for t in types for zone in t["yards"] for spot in (True, False)},
        "machines": [
            ("mikro", "athina"),
            ("mikro", "saloniki"),
            ("mikro", "patra"),
            ("mesaio", "athina"),
            ("mesaio", "iraklio"),
            ("mesaio", "saloniki"),
        ],
        "teams": [{"name": f"ergastirio-{i:02d}", "cpus": 16.0, "cpus_max": 24.0} for i in range(10)],
        "objectives": [
            {"kind": "finished", "class": "bench-tests", "within_s": 200.0, "share": 0.85},
            {"kind": "deadline", "class": "rush-fixes", "share": 0.94, "times": 1.0},
            {"kind": "wait", "class": "rush-fixes", "within_s": 10.0, "share": 0.9},
            {"kind": "finished", "class": "scrap-sort", "within_s": 250.0, "share": 0.9},
        ],
        "report_s": 3.0,
        "lease_s": 17.0,
        "cancel_s": 37.0,
        "state": {"rps": 120.0, "write_rps": 30.0, "value_kb": 16.0, "txn_ops": 12},
        "cloud": {"rps": 2.0, "list_lag_s": 4.0},
        "limits": {"cores": 0.288, "ram_mb": 186.0, "max_connections": 1500},
    }


def job(number, docket, crew, pieces, cpus, ram_gb, urgency="normal", expected_s=18.0, **more):
    """Return a submission of a batch job."""
    return {
        "name_id": f"run-{number:06d}",
        "docket": docket,
        "crew": crew,
        "form": "batch",
        "urgency": urgency,
        "pieces": pieces,
        "cpus": cpus,
        "cards": 0.0,
        "ram_gb": ram_gb,
        "kit": f"img-{docket}",
        "size_gb": 0.4,
        "builds": None,
        "yard": None,
        "one_zone": False,
        "scatter": False,
        "loaners": True,
        "expected_s": expected_s,
        "snapshot_every_s": 0.0,
        "snapshot_s": 0.0,
        "due_s": None,
        **more,
    }


def athina_lean():
    """The same network on smaller controllers (kit/lean, site `epidiorthosi-athina-lean`), with few machines."""
    site = athina()
    site["teams"] = [{"name": f"ergastirio-{i:02d}", "cpus": 350.0, "cpus_max": 1500.0} for i in range(10)]
    site["limits"] = {"cores": 0.086, "ram_mb": 122.0, "max_connections": 1500}
    return site
