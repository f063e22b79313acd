"""Starts daemons with the command of the deploy file and ends them; records what happens."""

import asyncio
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, CANNOT_RUN = 0, 1, 2

SETTINGS = """node={node}
role=gateway
machine_class=front
serves=front
ip={ip}
zone={zone}
region=r1
zones.z1=r1
zones.z2=r1
zones.z3=r1
listen.front={ip}:{front}
listen.ready={ip}:{ready}
internal_ports={internal},{internal_end}
bootstrap=true
loss_counts=false
limits.cpu_share=0.25
limits.cores=1
limits.memory_mb=260
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform
fault_tolerance.machines=2
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stable_window_ms=4000
bounds.ack_ms=5000
bounds.catch_up_s=4
bounds.drain_ms=3000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_ms=3000
bounds.rollback_slack_ms=250
bounds.max_stretch_ms=6000
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=52
bounds.recover_s=12
bounds.pass_ms=400
bounds.retry_after_s=0
bounds.fencing_required=false
bounds.lease_ms=3000
bounds.thaw_ms=300
bounds.ceiling_window_s=5
bounds.ceiling_factor=1.1
bounds.version_ms=5000
platform.address={store}
platform.form=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
"""


class Record:
    """The file record.txt of a case, with seconds since the start of the case."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begin

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def close(self):
        self.file.close()


def random_network():
    """The first three numbers of a loopback network of this run, so that runs do not collide."""
    return f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Daemon:
    def __init__(self, node, ip, zone, store, folder, record):
        self.node = node
        self.ip = ip
        self.front = free_port(ip)
        self.ready = free_port(ip)
        internal = free_port(ip)
        self.record = record
        self.settings = os.path.join(folder, f"{node}.conf")
        self.log = os.path.join(folder, f"{node}.log")
        self.process = None
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(
                SETTINGS.format(
                    node=node,
                    ip=ip,
                    zone=zone,
                    front=self.front,
                    ready=self.ready,
                    internal=internal,
                    internal_end=internal + 15,
                    store=store,
                )
            )

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            words = shlex.split(tomllib.load(file)["roles"]["gateway"]["run"])
        words[0] = os.path.join(ROOT, words[0])
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                words,
                cwd=ROOT,
                env={"PATH": os.environ["PATH"], "JACKDAWLEAD_SETTINGS": self.settings},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.write(f"start    {self.node}")

    def signal(self, number):
        self.record.write(f"signal   {self.node} {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def end(self):
        if self.is_running():
            self.process.kill()
        if self.process is not None:
            self.process.wait()


async def wait_until(condition, timeout):
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if condition():
            return True
        await asyncio.sleep(0.05)
    return False


def main(folder, case):
    """Runs `case(record, temporary folder, network, daemons)`, which returns an exit status, and ends
    all daemons that it put into the list, also if the script itself is told to stop."""
    folder = os.path.abspath(folder)
    record = Record(folder)
    daemons = []
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    status = CANNOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        try:
            status = asyncio.run(
                asyncio.wait_for(case(record, temporary, random_network(), daemons), 114)
            )
        except Exception as error:  # The case could not run to its end.
            record.write(f"error    {type(error).__name__}: {error}")
            print(f"cannot run: {type(error).__name__}: {error}", file=sys.stderr)
        finally:
            for daemon in daemons:
                daemon.end()
            if os.environ.get("KEEP_LOGS"):
                for daemon in daemons:
                    with open(daemon.log, encoding="utf-8") as log:
                        record.write(f"log of {daemon.node}\n{log.read()}")
    record.close()
    return status
