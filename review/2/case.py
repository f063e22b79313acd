"""Runners leave one after the other while the store cuts off waiting watches twice a second: do
requests reach one later than drain_ms after its entry was removed?"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

import harness  # noqa: E402
import http1  # noqa: E402
import runner  # noqa: E402
import store  # noqa: E402

DRAIN_S = 3.0
CUT_PERIOD_S = float(os.environ.get("CUT_PERIOD_S", "0.5"))
REMOVAL_GAP_S = 3.9
SERVES_AFTER_REMOVAL_S = 7.0  # drain_ms and a little longer.
HOST = "shop.example"


def configuration():
    return {
        "version": 7,
        "routes": [
            {
                "name": "status",
                "host": HOST,
                "path_prefix": "/status/",
                "kind": "idempotent",
                "timeout_ms": 2000,
                "target_latency_ms": 400,
                "priority": 2,
                "service": "order-desk",
                "max_attempts": 2,
            }
        ],
        "services": [
            {
                "name": "order-desk",
                "health_path": "/health",
                "max_conns": 100,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


async def send_requests(daemon, record, counts, is_done):
    client = http1.Client(daemon.ip, daemon.front)
    number = 0
    while not is_done():
        number += 1
        identity = f"{daemon.node}-{number:05d}"
        record.write(f"send     {identity}")
        fields = {"Host": HOST, "Request-Id": identity, "Deadline-Ms": "4000"}
        status, _, _ = await client.call("GET", f"/status/{number}", fields)
        record.write(f"answer   {identity} {status}")
        counts[status] = counts.get(status, 0) + 1
        await asyncio.sleep(0.05)
    client.close()


async def case(record, temporary, network, daemons):
    trouble = os.environ.get("TROUBLE", "1") != "0"
    platform = store.Store()
    store_ip = f"{network}.9"
    store_port = harness.free_port(store_ip)
    servers = [await http1.serve(store_ip, store_port, platform.handle)]
    platform.put("config", "main", configuration())
    runners = []
    listening = {}
    for index in range(8):
        ip = f"{network}.{20 + index}"
        each = runner.Runner(
            f"i-{index + 1}", "order-desk", ip, harness.free_port(ip), f"z{index % 3 + 1}", record
        )
        each.born = 1700000000000 + index
        listening[each.identity] = await http1.serve(ip, each.port, each.handle)
        servers.append(listening[each.identity])
        platform.put("servers", each.identity, each.entry())
        runners.append(each)
    for index in range(3):
        daemon = harness.Daemon(
            f"front-z{index + 1}",
            f"{network}.{1 + index}",
            f"z{index + 1}",
            f"{store_ip}:{store_port}",
            temporary,
            record,
        )
        daemons.append(daemon)
        daemon.start()
    await asyncio.sleep(3)
    if not all(daemon.is_running() for daemon in daemons):
        record.write("error    a daemon does not run")
        return harness.CANNOT_RUN
    done = False
    counts = {}
    clients = [
        asyncio.create_task(send_requests(daemon, record, counts, lambda: done))
        for daemon in daemons
    ]

    async def cut_watches():
        while trouble and not done:
            await asyncio.sleep(CUT_PERIOD_S)
            record.write(f"cut      {platform.cut_waiting_watches()} waiting watches")

    cutter = asyncio.create_task(cut_watches())
    async def end_later(leaving_runner):
        await asyncio.sleep(SERVES_AFTER_REMOVAL_S)
        record.write(f"ends     {leaving_runner.identity}")
        http1.end(listening[leaving_runner.identity])

    endings = []
    # The daemons are in touch: they run undisturbed for longer than stable_window_ms.
    await asyncio.sleep(6)
    leaving = runners[:5]
    before = [len(each.runs) for each in leaving]
    removed_at = []
    for each in leaving:
        platform.remove("servers", each.identity)
        removed_at.append(record.now())
        record.write(f"removed  the entry of {each.identity}; it serves on")
        endings.append(asyncio.create_task(end_later(each)))
        await asyncio.sleep(REMOVAL_GAP_S)
    await asyncio.gather(*endings)
    done = True
    await asyncio.gather(*clients)
    cutter.cancel()
    late = 0
    for each, removed in zip(leaving, removed_at):
        for at, identity in each.runs:
            if at > removed + DRAIN_S:
                late += 1
                record.write(
                    f"broken   {identity} reached {each.identity} {at - removed:.3f} s after its "
                    "entry was removed"
                )
    record.write(f"result   answers {counts}, runs at the leaving runners before {before}, "
                 f"later than {DRAIN_S} s after the removal {late}")
    print(f"answers {counts}; late at the runners that left: {late}")
    for server in servers:
        server.close()
    if min(before) == 0 or counts.get(200, 0) < 100:
        return harness.CANNOT_RUN
    return harness.BROKEN if late else harness.HELD


if __name__ == "__main__":
    sys.exit(harness.main(FOLDER, case))
