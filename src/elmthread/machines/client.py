"""A typed client for the cloud's rate-limited API."""

import logging
from collections.abc import Callable
from datetime import timedelta
from typing import Any, TypeVar

import msgspec

from elmthread.cluster.machine import InstanceKind
from elmthread.common.clock import seconds
from elmthread.common.errors import ElmthreadError
from elmthread.machines import messages
from elmthread.net.http_client import ClientResponse, HttpCaller, NoResponseError
from elmthread.store.machine_type import MachineType
from elmthread.store.token_bucket import TokenBucket

log = logging.getLogger(__name__)

ResponseBody = TypeVar("ResponseBody", bound=msgspec.Struct)
CALL_TIMEOUT = seconds(5)
MAX_DELETIONS_PER_CALL = 100
MAX_INSTANCES_PER_REQUEST = 50
MAX_MACHINES_PER_PAGE = 500


class CloudError(ElmthreadError):
    """No usable response; the request may have been carried out."""


class NoCapacityError(ElmthreadError):
    """The cloud has no capacity for this kind of instance now."""


class CloudClient:
    """Calls the cloud's API. Callers take a token from `rate_limit` before each call."""

    def __init__(
        self,
        caller: HttpCaller,
        rate_limit: TokenBucket,
        list_lag: timedelta,
        mutation_precondition: Callable[[], bool],
    ) -> None:
        """Create a client that checks `mutation_precondition` right before it sends a mutating call.

        The check stands in for fencing, which the cloud's API lacks.
        """
        self._caller = caller
        self._mutation_precondition = mutation_precondition
        self.rate_limit = rate_limit
        # Maximum staleness of the cloud's list of machines.
        self.list_lag = list_lag

    async def machine_types(self) -> list[MachineType]:
        """Return all machine types. Raises CloudError."""
        return _decode(await self._call("GET", "/flavors"), messages.MachineTypeList).types

    async def request_instances(self, name: str, kind: InstanceKind, count: int) -> list[str]:
        """Request machines and return the names of those provisioned, at most `count`.

        A repeated request with the same `name` is executed only once. Raises NoCapacityError and CloudError.
        """
        body = messages.ProvisioningBody(
            name, kind.machine_type, kind.zone, kind.spot, min(count, MAX_INSTANCES_PER_REQUEST)
        )
        response = await self._call("POST", "/hosts", messages.encode_body(body), self._mutation_precondition)
        return _decode(response, messages.ProvisionedMachines).machines

    async def delete(self, names: list[str]) -> None:
        """Delete the machines: once this returns, all tasks on them have ended. Raises CloudError."""
        body = messages.encode_body(messages.DeletionBody(names))
        await self._call("POST", "/hosts/delete", body, self._mutation_precondition)

    async def list_page(self, after: str | None) -> messages.ListPage:
        """Return the page of the list after the machine `after`, or the first page. Raises CloudError."""
        since = "" if after is None else f"&since={after}"
        return _decode(await self._call("GET", f"/hosts?most={MAX_MACHINES_PER_PAGE}{since}"), messages.ListPage)

    async def _call(
        self, method: str, path: str, body: Any = None, may_send: Callable[[], bool] | None = None
    ) -> ClientResponse:
        try:
            response = await self._caller.call(method, path, body, timeout=CALL_TIMEOUT, precondition=may_send)
        except NoResponseError as error:
            raise CloudError(str(error)) from error
        if response.status == 429:
            self.rate_limit.drain()
        if response.status == 503 and isinstance(response.body, dict) and response.body.get("error") == "no capacity":
            raise NoCapacityError(path)
        if response.status != 200:
            raise CloudError(f"{method} {path}: {response.status} {response.body}")
        return response


def _decode(response: ClientResponse, body_type: type[ResponseBody]) -> ResponseBody:
    try:
        return msgspec.convert(response.body, body_type)
    except msgspec.ValidationError as error:
        log.error("the cloud sent a malformed response: %s", error)
        raise CloudError(str(error)) from error
