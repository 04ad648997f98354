"""The cloud met through its protocol, paced within its rate."""

import logging
from collections.abc import Callable
from datetime import timedelta
from typing import Any, TypeVar

import msgspec

from elmthread.common.clock import seconds
from elmthread.common.errors import ElmthreadError
from elmthread.machines import messages
from elmthread.net.http import Answer, Caller, NoResponseError
from elmthread.store.machine_type import MachineType
from elmthread.store.pacing import TokenBucket

log = logging.getLogger(__name__)

T = TypeVar("T", bound=msgspec.Struct)
CALL_TIME = seconds(5)
MOST_DELETED = 100
MOST_RENTED = 50
MOST_LISTED = 500


class CloudError(ElmthreadError):
    """No usable answer; the request may have been carried out."""


class NoCapacityError(ElmthreadError):
    """The cloud has none of this type, zone and kind now."""


class CloudClient:
    def __init__(self, caller: Caller, calls: TokenBucket, list_lag: timedelta, sure: Callable[[], bool]) -> None:
        self._caller = caller
        self.calls = calls
        self.list_lag = list_lag
        # The cloud knows no leaders: what changes something is judged right before it leaves.
        self._sure = sure

    async def types(self) -> list[MachineType]:
        return _read(await self._call("GET", "/flavors"), messages.Types).types

    async def rent(self, name: str, machine_type: str, zone: str, spot: bool, count: int) -> list[str]:
        body = messages.rental(name, machine_type, zone, spot, min(count, MOST_RENTED))
        return _read(await self._call("POST", "/hosts", body, self._sure), messages.Rented).machines

    async def delete(self, names: list[str]) -> None:
        await self._call("POST", "/hosts/delete", messages.deletion(names), self._sure)

    async def page(self, after: str | None, most: int = MOST_LISTED) -> messages.Page:
        since = "" if after is None else f"&since={after}"
        return _read(await self._call("GET", f"/hosts?most={most}{since}"), messages.Page)

    async def _call(self, method: str, path: str, body: Any = None, sure: Callable[[], bool] | None = None) -> Answer:
        try:
            answer = await self._caller.call(method, path, body, timeout=CALL_TIME, sure=sure)
        except NoResponseError as error:
            raise CloudError(str(error)) from error
        if answer.status == 429:
            self.calls.drain()
        if answer.status == 503 and isinstance(answer.body, dict) and answer.body.get("error") == "no capacity":
            raise NoCapacityError(path)
        if answer.status != 200:
            raise CloudError(f"{method} {path}: {answer.status} {answer.body}")
        return answer


def _read(answer: Answer, kind: type[T]) -> T:
    try:
        return msgspec.convert(answer.body, kind)
    except msgspec.ValidationError as error:
        log.error("cloud: malformed answer: %s", error)
        raise CloudError(str(error)) from error
