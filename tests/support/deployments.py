"""Two deployments with different settings: the decisions and the traffic of an instance of each.

python -m tests.support.deployments NAME     runs one deployment and prints its decisions and traffic as JSON
"""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from collections.abc import Iterator
from typing import Any

import uvloop

from gatebank import balancer
from gatebank.events import RetrySafety
from gatebank.fakes.wire import encode_command
from gatebank.fakes.world import World
from gatebank.proxy.clock import Clock
from gatebank.proxy.configuration import MemoryBounds, parse_configuration
from gatebank.proxy.discovery import EndpointRegistry
from gatebank.proxy.dispatcher import Dispatcher
from gatebank.proxy.downstream import Downstream
from gatebank.proxy.upstream import Upstream
from tests.support.random_events import decision_texts
from tests.support.socket_scenarios import ROOT, TIMEOUT_S

# The deployments give the same names other meanings and have different limits; some classes, tenants and
# settings exist in one deployment only.
REQUEST_CLASSES = {
    "harbour": [("read", "free", 7000), ("pay", "single_shot", 9000), ("sign", "guarded", 8000)],
    "library": [
        ("pay", "free", 5000), ("sign", "single_shot", 6000), ("read", "guarded", 7000), ("0", "free", 8000),
    ],
}  # fmt: skip
SETTINGS_OVERRIDES = {
    "harbour": {"accounts": [], "limits": {"max-attempts": 1, "retry-after": False, "cancel": True}},
    "library": {
        "accounts": [{"name": "all", "share": 0.3}, {"name": "t", "share": 0.7}],
        "limits": {"max-attempts": 3, "retry-after": True, "cancel": False},
        "domain": {"caps": [0.5, 1.0], "counted-by": "per_lane", "exposure-window-ms": 900},
    },
}
BALANCER_SETTINGS: dict[str, tuple[int, dict[str, Any]]] = {
    "harbour": (1, {}),
    "library": (
        4,
        {
            "max_attempts": 2, "may_cancel": False, "may_advise_retry_after": False, "caps": [0.6, 1.0],
            "exposure_window": 0.7, "spare_attempts": 0, "warm_up": 1.0, "vote_lifetime": 2.0,
            "rollback_votes": 2,
            "request_classes": [
                {
                    "name": name, "retry_safety": safety, "latency_objective": objective,
                    "priority_weight": weight, "retry_group": group, "retry_window": 0.4,
                }
                for name, safety, objective, weight, group in (
                    ("read", RetrySafety.NON_IDEMPOTENT, 0.2, 9.0, "all"),
                    ("sign", RetrySafety.IDEMPOTENT, 3.0, 1.0, "all"),
                    ("pay", RetrySafety.KEYED, 0.5, 2.0, "cell"),
                )
            ],
        },
    ),
}  # fmt: skip


def decisions(name: str) -> Iterator[str]:
    seed, settings = BALANCER_SETTINGS[name]
    return decision_texts(balancer, seed, settings)


class DeploymentInstance:
    """The parts of one instance on real connections, with one endpoint and one client.

    The endpoint serves every third command. The client sends requests with all class and tenant names of both
    deployments.
    """

    def __init__(self, name: str) -> None:
        self.name, self.world, self.answers = name, World(), list[str]()
        self.world.planned_behaviours.extend(["value", "error", "busy"] * 40)

    async def run(self) -> list[str]:
        await self.world.start()
        await self.world.add_endpoint("node", 41)
        settings = json.loads((ROOT / "examples/marshal.json").read_text())["settings"]
        for section, override in SETTINGS_OVERRIDES[self.name].items():
            settings[section] = settings[section] | override if isinstance(override, dict) else override
        settings["classes"] = [
            {
                "name": class_name,
                "semantics": semantics,
                "on-time-ms": deadline_ms // 2,
                "deadline-ms": deadline_ms,
                "worth": 1 + index,
            }
            | {"group": "all", "window-ms": deadline_ms // 2}
            for index, (class_name, semantics, deadline_ms) in enumerate(REQUEST_CLASSES[self.name])
        ]
        configuration = {"listen": "127.0.0.1:1", "seed": "7", "settings": settings}
        parsed_settings = parse_configuration(configuration).settings
        registry = EndpointRegistry(parsed_settings)
        dispatcher = Dispatcher(parsed_settings, 7, Clock(), registry, 1 << 20)
        dispatcher.upstream = Upstream(parsed_settings, 8)
        downstream = Downstream(parsed_settings, dispatcher, 8, MemoryBounds.within(64))
        downstream.listen((self.world.host, 0))
        accepting = asyncio.ensure_future(downstream.accept())
        dispatcher.apply_initial_knowledge(
            registry.parse_list(self.world.discovery.endpoint_list(None))[0], None
        )
        try:
            assert downstream.listener
            await asyncio.wait_for(self.send_requests(downstream.listener.getsockname()), TIMEOUT_S)
        finally:
            accepting.cancel()
            downstream.close()
            dispatcher.upstream.close()
            await self.world.stop()
        commands = [
            b" ".join(arguments).decode().replace(",", " ").split() for _, arguments in self.world.received
        ]
        # The remaining deadline (d=) of a command depends on the time and is left out.
        return self.answers + [" ".join(word for word in command if word[:2] != "d=") for command in commands]

    async def send_requests(self, address: tuple[str, int]) -> None:
        reader, writer = await asyncio.open_connection(*address)
        names = sorted({row[0] for rows in REQUEST_CLASSES.values() for row in rows})
        for number, (class_name, command, tenant) in enumerate(
            (name, command, tenant)
            for name in names
            for command in ("Q.ASK", "Q.DO")
            for tenant in ("", "t=all,", "t=t,")
        ):
            fields = f"c={class_name},{tenant}d=4000,k=ticket-{number}"
            body = (b"body",) if command == "Q.DO" else ()
            writer.write(encode_command(command.encode(), b"key", b"%d" % number, fields.encode(), *body))
            line = await reader.readline()
            if line[:1] == b"$":
                await reader.readexactly(int(line[1:]) + 2)
            self.answers.append(f"{number} {class_name} {command} {tenant} {line!r}")
            if line.startswith((b"-ERR no such", b"-ERR this workload")):
                writer.close()  # The instance closes a connection after several unknown names.
                reader, writer = await asyncio.open_connection(*address)
        writer.close()


def run_in_own_process(name: str) -> dict[str, list[str]]:
    command = [sys.executable, "-m", "tests.support.deployments", name]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=120, check=True)
    return json.loads(completed.stdout)


async def run_in_one_process() -> dict[str, list[str]]:
    traffic = await asyncio.gather(*(DeploymentInstance(name).run() for name in REQUEST_CLASSES))
    return dict(zip(REQUEST_CLASSES, traffic, strict=True))


def main(name: str) -> None:
    traffic = uvloop.run(DeploymentInstance(name).run())
    print(json.dumps({"decisions": list(decisions(name)), "traffic": traffic}))


if __name__ == "__main__":
    main(sys.argv[1])
