"""The reasons for which a leader steps down while its process runs on."""

from enum import StrEnum


class StepDownReason(StrEnum):
    """Why a leader steps down; the values are written to the log."""

    NEWER_TERM = "a newer term is known"
    LEASE_EXPIRED = "the lease has expired"
    GRACE_PERIOD_OVER = "the grace period after an uncertain lease is over"
    LEASE_NOT_RENEWED = "the lease could not be renewed in time"
    TRANSACTION_CONFLICT = "a transaction found another leader"
    INCOMPATIBLE_LEVEL = "the active compatibility level is not supported by this version"
    FAULT = "the leader's work has failed"
    HANDED_OVER = "more machines reach another controller"
    WORKERS_REACH_ANOTHER = "most machines do not reach this controller and reach another"
    ISOLATED = "neither machines nor other controllers are reached"
