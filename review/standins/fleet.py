"""Start and stop of the project's hosts with the command of the deploy file."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from .http import Headers, Message, encode, read_message

ROOT = Path(__file__).resolve().parents[2]

#: Bounds of the small deployments.
BOUNDS = {
    "config_apply_ms": 2000,
    "strict_revoke": True,
    "revoke_ms": 5000,
    "version_ms": 10000,
    "retry_budget_ratio": 0.2,
    "retry_budget_slack": 52,
    "grace_s": 8,
    "lease_ms": 3000,
}

SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
GAP = re.compile(r"\{\{([\w.]+)\}\}")


def fill(template: str, fields: dict[str, Any]) -> str:
    """Return a settings template with its gaps filled, as DEPLOY.md says."""

    def look_up(name: str) -> Any:
        value: Any = fields
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def fill_section(match: re.Match[str]) -> str:
        value, text = look_up(match[2]), match[3]
        if match[1] == "^":
            return "" if value else text
        if not isinstance(value, list):
            return text if value else ""
        last = len(value) - 1
        return "".join(
            text.replace("{{.}}", str(item)).replace("{{,}}", "," if i < last else "")
            for i, item in enumerate(value)
        )

    def fill_gap(match: re.Match[str]) -> str:
        value = look_up(match[1])
        if value is None:
            return ""
        return value if isinstance(value, str) else json.dumps(value)

    return GAP.sub(fill_gap, SECTION.sub(fill_section, template))


def free_port(ip: str) -> int:
    """Return a port that is free on an address now."""
    with socket.socket() as found:
        found.bind((ip, 0))
        return int(found.getsockname()[1])


class Host:
    """One host of the fleet, as a process of its own."""

    def __init__(self, name: str, zone: str, ip: str, folder: Path) -> None:
        self.name, self.zone, self.ip = name, zone, ip
        self.settings = folder / f"{name}.conf"
        self.log = folder / f"{name}.log"
        self.front, self.ready, self.control = (free_port(ip) for _ in range(3))
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        command[0] = sys.executable if command[0] == "python3" else command[0]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "RAMPWICK_BOOT": str(self.settings),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the host calls itself ready."""
        try:
            answer = await call(
                f"{self.ip}:{self.ready}", "GET", "/readyz", {"Host": self.ip}
            )
        except (OSError, EOFError):
            return False
        return answer is not None and answer.status == 200


async def call(
    address: str, method: str, target: str, headers: Headers, body: bytes = b""
) -> Message | None:
    """Send a request on a new connection; return its answer, None if there is none."""
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        writer.write(encode(f"{method} {target} HTTP/1.1", headers, body))
        await writer.drain()
        return await read_message(reader)
    finally:
        writer.close()


class Fleet:
    """The hosts of one installation."""

    def __init__(self, store_address: str, sizes: list[tuple[str, str]]) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="rampwick-review-"))
        self.store_address = store_address
        # The administration port is the same on all machines, so that each host needs
        # a loopback address of its own.
        base = f"127.{random.randint(10, 250)}.{random.randint(0, 250)}"
        self.hosts = [
            Host(name, zone, f"{base}.{index + 1}", self.folder)
            for index, (name, zone) in enumerate(sizes)
        ]
        for host in self.hosts:
            self.write_settings(host)

    def write_settings(self, host: Host) -> None:
        """Write a host's settings file from the project's template."""
        fields = {
            "node_name": host.name,
            "zone": host.zone,
            "region": "hr-sjever",
            "ip": host.ip,
            "listen": {
                "front": f"{host.ip}:{host.front}",
                "readiness": f"{host.ip}:{host.ready}",
                "control": f"{host.ip}:{host.control}",
            },
            "seeds": [f"{item.ip}:{item.control}" for item in self.hosts[:3]],
            "limits": {"link_mbps": 1000.0},
            "bounds": BOUNDS,
            "platform": {"address": self.store_address},
        }
        template = (ROOT / "deploy/host.toml").read_text()
        wire = tomllib.loads((ROOT / "deploy/wire.toml").read_text())
        assert not wire.get("fields"), "the names of the template are the pages' own"
        host.settings.write_text(fill(template, fields))

    async def start(self, seconds: float = 20.0) -> None:
        """Start all hosts; return when all are ready."""
        for host in self.hosts:
            host.start()
        await self.wait_ready(seconds)

    async def wait_ready(self, seconds: float = 20.0) -> None:
        """Wait until all hosts are ready."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all([await host.is_ready() for host in self.hosts]):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the hosts did not become ready")

    def end(self) -> None:
        """End all processes and remove their files."""
        for host in self.hosts:
            host.end()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
