"""Specs of jobs and services as users submit them."""

from typing import Any


def job(number: int, **changes: Any) -> dict[str, Any]:
    return {
        "name_id": f"run-{number:06d}",
        "docket": "nightly",
        "crew": "blue",
        "form": "batch",
        "urgency": "normal",
        "pieces": 4,
        "cpus": 1.0,
        "cards": 0.0,
        "ram_gb": 1.0,
        "kit": "img-1",
        "size_gb": 1.0,
        "builds": None,
        "yard": None,
        "one_zone": False,
        "scatter": False,
        "loaners": True,
        "expected_s": 8.0,
        "snapshot_every_s": 0.0,
        "snapshot_s": 0.0,
        "due_s": None,
        "true_s": 8.0,
    } | changes


def daemon(number: int, **changes: Any) -> dict[str, Any]:
    """Return a service's spec: a replica runs for `true_s`, then exits by itself with `ends`."""
    return (
        job(
            number,
            docket="gateway",
            form="daemon",
            urgency="production",
            pieces=3,
            loaners=False,
            scatter=True,
            expected_s=0.0,
            true_s=float("inf"),
            ends="done",
        )
        | changes
    )


def submission_body(spec: dict[str, Any]) -> dict[str, Any]:
    """Return the fields of a spec that a user sends; the others are for the simulated workers only."""
    return {name: value for name, value in spec.items() if name not in ("true_s", "each_s", "ends")}
