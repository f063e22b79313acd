"""Measures the control overhead of a daemon: processor time, memory and bytes by fleet size.

Usage: controlbench.py BUILD [SECONDS]. One real daemon runs with hosts, endpoints and leases that
exist only in the fake platform; one of daemons, endpoints and adapters is varied at a time.
"""
import json
import sys
import threading
import time

from fleet import Fleet, call, cpu_seconds, fit, metric, resident_mb

API = "/apis/jackdawlead.dev/v1/"
BASE = {"daemons": 12, "endpoints": 24, "adapters": 700}
SIZES = {"daemons": (36, 120, 360), "endpoints": (66, 220, 660), "adapters": (2100, 7000, 21000)}


def create(fleet, kind, name, spec):
    body = {"metadata": {"name": name}, "spec": spec}
    return json.loads(call(fleet.platform, API + kind, "POST", body))


class Leases(threading.Thread):
    """Renews the leases of the daemons that exist only in the fake platform."""

    def __init__(self, fleet, names):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.objects = {name: create(fleet, "hostleases", name, {"renewals": 0}) for name in names}
        self.is_stopped = False

    def run(self):
        while not self.is_stopped:
            started = time.monotonic()
            for name, body in self.objects.items():
                if self.is_stopped:
                    return
                body["spec"]["renewals"] += 1
                reply = call(self.fleet.platform, f"{API}hostleases/{name}", "PUT", body)
                self.objects[name] = json.loads(reply)
            time.sleep(max(0.0, 5 - (time.monotonic() - started)))


def measure(build, seconds, daemons, endpoints, adapters):
    with Fleet(build) as fleet:
        daemon = fleet.add_daemon("daemon-0")
        others = [f"daemon-{index}" for index in range(1, daemons)]
        for name in others:
            fleet.add_host(name, "daemon", 9)
        for index in range(endpoints):
            name = f"engine-{index}"
            fleet.add_host(name, "endpoint", 9, "assistants")
            create(fleet, "endpointowners", name,
                   {"holder": others[index % len(others)], "token": 1})
        fleet.publish_hosts()
        fleet.apply_manifest(adapters)
        leases = Leases(fleet, others)
        leases.start()
        fleet.start_daemon(daemon)
        time.sleep(5)
        cpu, started = cpu_seconds(daemon["process"]), time.monotonic()
        sent = metric(daemon, "jackdawlead_control_bytes_sent")
        received = metric(daemon, "jackdawlead_control_bytes_received")
        calls = metric(daemon, "jackdawlead_object_api_calls")
        time.sleep(seconds)
        elapsed = time.monotonic() - started
        result = {
            "cpuPercent": 100 * (cpu_seconds(daemon["process"]) - cpu) / elapsed,
            "memoryMb": resident_mb(daemon["process"]),
            "kbPerSecond": (metric(daemon, "jackdawlead_control_bytes_sent") - sent
                            + metric(daemon, "jackdawlead_control_bytes_received") - received)
            / elapsed / 1000,
            "apiCallsPerSecond": (metric(daemon, "jackdawlead_object_api_calls") - calls) / elapsed,
        }
        leases.is_stopped = True
        leases.join()
        return result


def main():
    build = sys.argv[1]
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 20
    print(f"command: controlbench.py BUILD {seconds:g}  (base {BASE})")
    for varied, sizes in SIZES.items():
        rows = []
        for size in sizes:
            result = measure(build, seconds, **{**BASE, varied: size})
            rows.append((size, result))
            print(f"{varied} {size:6}  " + "  ".join(f"{k} {v:8.3f}" for k, v in result.items()))
        for name in rows[0][1]:
            offset, slope = fit([(size, result[name]) for size, result in rows])
            print(f"  {name}: {offset:.3f} + {slope * 1000:.4f} per 1000 {varied}")
    result = measure(build, seconds, **{name: sizes[-1] for name, sizes in SIZES.items()})
    print("design size    " + "  ".join(f"{k} {v:8.3f}" for k, v in result.items()))


main()
