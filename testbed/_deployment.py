"""A deployment on loopback: stand-ins of platform services and upstreams, daemons."""

import hashlib
import os
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random
from types import TracebackType
from typing import Any, Self

import httpcore
import yaml

from ._http import Reply, send
from ._ports import PortAllocator
from ._process import ManagedProcess

OPERATOR_TOKEN = "operator-token-for-tests"
FLEET_KEY = "fleet-key-for-tests-0123456789"
#: Longest time that `Deployment.wait_until` waits by default, in seconds.
DEFAULT_WAIT_S = 30.0
_POLL_INTERVAL_S = 0.05


@dataclass(frozen=True, kw_only=True)
class UpstreamSpec:
    """How to start one upstream."""

    #: Identifier, unique within the deployment.
    upstream_id: str
    #: Pool that it serves.
    pool: str
    #: Failure domain under which the instance list has it.
    failure_domain: str
    #: Module of the stand-in: ``standins.engine`` or ``standins.service``.
    module: str
    #: Further command-line options of the stand-in.
    options: Sequence[str] = ()


@dataclass(frozen=True, kw_only=True)
class DaemonHandle:
    """A started daemon and its addresses."""

    #: Identifier of the daemon.
    daemon_id: str
    #: Its process.
    process: ManagedProcess
    #: Base URL of the listener for callers.
    caller_url: str
    #: Base URL of the listener for operators.
    operator_url: str
    #: Path of its settings file.
    settings_path: Path


def digest_of_key(key: str) -> str:
    """Compute the digest by which settings and configuration hold a key or token."""
    return hashlib.sha256(key.encode()).hexdigest()


class Deployment:
    """Starts processes, and kills all of them when the context is left.

    :param directory: Where settings and log files are written.
    """

    def __init__(self, *, directory: Path) -> None:
        self.directory = directory
        self.store: ManagedProcess
        self.instance_list: ManagedProcess
        self.upstreams_by_id: dict[str, ManagedProcess] = {}
        self.daemons_by_id: dict[str, DaemonHandle] = {}
        self._specs_by_id: dict[str, UpstreamSpec] = {}
        self._processes: list[ManagedProcess] = []
        self._ports = PortAllocator(random=Random(os.getpid()))

    def __enter__(self) -> Self:
        self.store = self._start("store", "standins.store", ["--port", "0"])
        self.instance_list = self._start(
            "instance-list", "standins.instance_list", ["--port", "0"]
        )
        self.store.wait_ready()
        self.instance_list.wait_ready()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for process in reversed(self._processes):
            process.kill()
        self._ports.close()

    def _start(
        self, name: str, module: str, arguments: Sequence[str]
    ) -> ManagedProcess:
        process = ManagedProcess(
            name=name,
            module=module,
            arguments=arguments,
            log_path=self.directory / f"{name}.log",
        )
        self._processes.append(process)
        return process

    def start_upstreams(self, specs: Sequence[UpstreamSpec]) -> None:
        """Start upstreams, wait until they are ready, and publish them as live."""
        started = []
        for spec in specs:
            arguments = ["--port", "0", "--id", spec.upstream_id, *spec.options]
            process = self._start(spec.upstream_id, spec.module, arguments)
            self.upstreams_by_id[spec.upstream_id] = process
            self._specs_by_id[spec.upstream_id] = spec
            started.append(process)
        for process in started:
            process.wait_ready()
        self.publish_instances()

    def restart_upstream(self, *, upstream_id: str) -> None:
        """Start an ended upstream again on the same port."""
        spec = self._specs_by_id[upstream_id]
        port = self.upstreams_by_id[upstream_id].ready_by_key["port"]
        arguments = ["--port", port, "--id", upstream_id, *spec.options]
        process = self._start(upstream_id, spec.module, arguments)
        self.upstreams_by_id[upstream_id] = process
        process.wait_ready()

    def publish_instances(self, *, leaving: Sequence[str] = ()) -> None:
        """Publish the started upstreams in the instance list; mark some as leaving."""
        instances = [
            {
                "id": spec.upstream_id,
                "pool": spec.pool,
                "failure_domain": spec.failure_domain,
                "host": "127.0.0.1",
                "port": int(
                    self.upstreams_by_id[spec.upstream_id].ready_by_key["port"]
                ),
                "state": "leaving" if spec.upstream_id in leaving else "live",
            }
            for spec in self._specs_by_id.values()
        ]
        self.control(self.instance_list, {"instances": instances})

    def allocate_address(self) -> str:
        """Reserve a loopback address until the deployment ends."""
        return f"127.0.0.1:{self._ports.allocate()}"

    def start_daemon(
        self,
        *,
        daemon_id: str,
        failure_domain: str,
        region: str,
        changes: Mapping[str, Any] | None = None,
    ) -> DaemonHandle:
        """Start a daemon without waiting until it is ready.

        Call `ManagedProcess.wait_ready` on its process before using it.

        :param changes: Settings that replace or extend the usual ones.
        """
        addresses = [self.allocate_address() for _ in range(3)]
        settings = {
            "daemon_id": daemon_id,
            "failure_domain": failure_domain,
            "region": region,
            "caller_address": addresses[0],
            "operator_address": addresses[1],
            "peer_address": addresses[2],
            "store_url": url_of(self.store),
            "instance_list_url": url_of(self.instance_list),
            "fleet_key": FLEET_KEY,
            "operator_token_digest": digest_of_key(OPERATOR_TOKEN),
            **(changes or {}),
        }
        path = self.directory / f"{daemon_id}.yaml"
        path.write_text(yaml.safe_dump(settings))
        return self._start_daemon_process(
            daemon_id=daemon_id,
            caller_url=f"http://{addresses[0]}",
            operator_url=f"http://{addresses[1]}",
            settings_path=path,
        )

    def restart_daemon(self, *, daemon_id: str) -> DaemonHandle:
        """Start an ended daemon again with the same settings."""
        old = self.daemons_by_id[daemon_id]
        return self._start_daemon_process(
            daemon_id=daemon_id,
            caller_url=old.caller_url,
            operator_url=old.operator_url,
            settings_path=old.settings_path,
        )

    def _start_daemon_process(
        self,
        *,
        daemon_id: str,
        caller_url: str,
        operator_url: str,
        settings_path: Path,
    ) -> DaemonHandle:
        arguments = ["daemon", "--settings", str(settings_path)]
        handle = DaemonHandle(
            daemon_id=daemon_id,
            process=self._start(daemon_id, "galenashift", arguments),
            caller_url=caller_url,
            operator_url=operator_url,
            settings_path=settings_path,
        )
        self.daemons_by_id[daemon_id] = handle
        return handle

    def control(self, process: ManagedProcess, changes: Mapping[str, Any]) -> None:
        """Set faults or other options of a stand-in.

        :raises RuntimeError: If the stand-in refuses the change.
        """
        path = "/control/faults" if self._is_upstream(process) else "/control"
        reply = send(method="POST", url=f"{url_of(process)}{path}", document=changes)
        if reply.status != 200:
            raise RuntimeError(f"{process.name} refused {changes}: {reply.body!r}")

    def record(self, process: ManagedProcess) -> Any:
        """Read the record of a stand-in."""
        path = "/control/record" if self._is_upstream(process) else "/record"
        return send(method="GET", url=f"{url_of(process)}{path}").json()

    def read_upstream(self, upstream: ManagedProcess, path: str) -> Any:
        """Read a JSON document of an upstream; while it restarts, try again."""
        documents: list[Any] = []

        def answered() -> bool:
            try:
                url = f"{url_of(upstream)}{path}"
                documents.append(send(method="GET", url=url).json())
            except (httpcore.NetworkError, httpcore.ProtocolError, OSError):
                return False
            return True

        self.wait_until(answered, what=f"{upstream.name} answers")
        return documents[-1]

    def _is_upstream(self, process: ManagedProcess) -> bool:
        return process.name in self._specs_by_id

    def executions(self, *, pool: str) -> list[Mapping[str, Any]]:
        """List the executions recorded by the running upstreams of a pool."""
        return [
            {**execution, "upstream_id": spec.upstream_id}
            for spec in self._specs_by_id.values()
            if spec.pool == pool and self.upstreams_by_id[spec.upstream_id].running
            for execution in self.record(self.upstreams_by_id[spec.upstream_id])[
                "executions"
            ]
        ]

    def configure(self, *, daemon: DaemonHandle, document: Mapping[str, Any]) -> int:
        """Plan and confirm a configuration.

        :returns: The version that is in force.
        :raises RuntimeError: If the plan or its confirmation is refused.
        """
        wanted = {"document": document}
        plan = self.call_operator_api(daemon, "POST", "/operator/plan", wanted)
        if plan.status != 200:
            raise RuntimeError(f"plan refused: {plan.body!r}")
        return self.confirm(daemon=daemon, plan=plan.json())

    def wait_fleet_connected(self) -> None:
        """Wait until every running daemon sees all others as alive."""
        running = [each for each in self.daemons_by_id.values() if each.process.running]

        def sees_all(daemon: DaemonHandle) -> bool:
            status = self.call_operator_api(daemon, "GET", "/operator/status").json()
            alive = [row for row in status["daemons"] if row["status"] == "alive"]
            return len(alive) >= len(running)

        for daemon in running:
            self.wait_until(
                lambda daemon=daemon: sees_all(daemon),  # type: ignore[misc]
                what=f"{daemon.daemon_id} sees the whole fleet",
            )

    def confirm(self, *, daemon: DaemonHandle, plan: Mapping[str, Any]) -> int:
        """Confirm a plan, and repeat this until a majority of daemons is reachable.

        :returns: The version that is in force.
        :raises RuntimeError: If the confirmation is refused.
        """
        replies: list[Reply] = []

        def answered() -> bool:
            replies.append(
                self.call_operator_api(daemon, "POST", "/operator/confirm", plan)
            )
            return "minority-of-daemons" not in replies[-1].body.decode()

        self.wait_until(answered, what="a majority of the daemons is reachable")
        if replies[-1].status != 200:
            raise RuntimeError(f"confirm refused: {replies[-1].body!r}")
        return int(replies[-1].json()["version"])

    def last_registered(self) -> DaemonHandle:
        """Return the daemon that registered last.

        A confirmation needs more than half of the daemons that were registered at
        each moment, so this is the daemon whose absence it tolerates.
        """
        listed = send(
            method="POST",
            url=f"{url_of(self.store)}/v1/list",
            document={"prefix": "/daemons/"},
        ).json()
        last = max(listed["entries"], key=lambda entry: entry["revision"])
        return self.daemons_by_id[last["key"].removeprefix("/daemons/")]

    def call_operator_api(
        self, daemon: DaemonHandle, method: str, path: str, document: Any = None
    ) -> Reply:
        """Send a request to the operator listener of a daemon."""
        headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
        url = f"{daemon.operator_url}{path}"
        return send(method=method, url=url, headers=headers, document=document)

    def is_ready(self, daemon: DaemonHandle) -> bool:
        """Return whether the readiness check of a daemon succeeds."""
        try:
            url = f"{daemon.caller_url}/readyz"
            return send(method="GET", url=url, timeout_s=2.0).status == 200
        except (httpcore.NetworkError, httpcore.TimeoutException, OSError):
            return False

    def wait_all_ready(self) -> None:
        """Wait until every running daemon is ready."""
        for daemon in self.daemons_by_id.values():
            if daemon.process.running:
                self.wait_until(
                    lambda daemon=daemon: self.is_ready(daemon),  # type: ignore[misc]
                    what=f"{daemon.daemon_id} ready",
                )

    def wait_until(
        self,
        condition: Callable[[], bool],
        *,
        what: str,
        timeout_s: float = DEFAULT_WAIT_S,
    ) -> None:
        """Poll a condition until it holds.

        :param what: Description of the condition for the error message.
        :raises TimeoutError: If it does not hold in time.
        """
        deadline_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline_s:
                raise TimeoutError(f"no success within {timeout_s:g} s: {what}")
            time.sleep(_POLL_INTERVAL_S)


def url_of(process: ManagedProcess) -> str:
    """Return the base URL of a stand-in that has reported ready."""
    return f"http://127.0.0.1:{process.ready_by_key['port']}"


def call_pipeline(
    *,
    daemon: DaemonHandle,
    pipeline: str,
    api_key: str,
    document: Mapping[str, Any],
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 30.0,
) -> Reply:
    """Send a unary request as a caller.

    :param document: The request's ``input`` object.
    :param headers: Further headers, for example the idempotency key.
    """
    return send(
        method="POST",
        url=f"{daemon.caller_url}/v1/pipelines/{pipeline}",
        headers={
            "authorization": f"Bearer {api_key}",
            "content-type": "application/json",
            **(headers or {}),
        },
        document={"input": dict(document), "stream": False},
        timeout_s=timeout_s,
    )
