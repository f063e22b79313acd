"""Measures the overhead of a daemon: delay, and processor time for each request and token.

Usage: relaybench.py BUILD [SEED]. Compares, in one run, an engine called directly, through a plain
relay on the same library, through its owner daemon, and through another daemon that forwards.
"""
import sys

from fleet import Fleet, cpu_seconds, fit, free_port, wait_until, call, ADMIN

TOKENS = 280  # Tokens of an answer: 810,000 tokens/s over 2,900 requests/s.
STREAMS = (1, 8, 64)
REQUESTS = {1: 20, 8: 80, 64: 256}


def owner_of(daemons):
    import json
    for daemon in daemons:
        state = json.loads(call(daemon["admin"], "/admin/v1/status", headers=ADMIN))
        if state["ownedEndpoints"]:
            return daemon
    return None


def measure(fleet, label, port, processes, seed):
    points = []
    for streams in STREAMS:
        before = sum(cpu_seconds(process) for process in processes)
        result = fleet.load(port, streams=streams, requests=REQUESTS[streams], seed=seed)
        used = sum(cpu_seconds(process) for process in processes) - before
        per_token = 1e6 * used / result["tokens"] if result["tokens"] else 0
        print(f"{label:24} streams {streams:3}  first token ms p50 {result['firstTokenMsP50']:7.2f}"
              f" p99 {result['firstTokenMsP99']:7.2f}  tokens/s {result['tokensPerSecond']:8.0f}"
              f"  requests/s {result['requestsPerSecond']:6.1f}  cpu us/token {per_token:6.2f}"
              f"  failed {result['failed']}")
        points.append((result["tokens"], used))
    return points


def request_cost(build, label, token_counts, start_path, seed):
    """Fits processor time over the tokens of an answer: offset per request, slope per token."""
    points = []
    for tokens in token_counts:
        with Fleet(build) as fleet:
            port, processes = start_path(fleet, tokens)
            fleet.load(port, streams=8, requests=40, seed=seed)
            before = sum(cpu_seconds(process) for process in processes)
            requests = 160
            fleet.load(port, streams=8, requests=requests, seed=seed)
            used = sum(cpu_seconds(process) for process in processes) - before
            points.append((tokens, 1e6 * used / requests))
    offset, slope = fit(points)
    print(f"{label:24} cpu us/request {offset:7.1f} + {slope:6.2f} us/token"
          f"  (measured at {', '.join(f'{x}: {y:.0f} us' for x, y in points)})")


def two_daemons(fleet, tokens):
    engine = fleet.add_engine("engine-1", tokens=tokens, token_ms=1)
    daemons = [fleet.add_daemon("daemon-1"), fleet.add_daemon("daemon-2")]
    fleet.publish_hosts()
    fleet.apply_manifest(1)
    for daemon in daemons:
        fleet.start_daemon(daemon)
    wait_until(lambda: owner_of(daemons))
    owner = owner_of(daemons)
    entry = next(daemon for daemon in daemons if daemon is not owner)
    fleet.load(owner["caller"], streams=1, requests=1)
    # The entry daemon finds the owner through its own watch.
    wait_until(lambda: fleet.load(entry["caller"], streams=1, requests=1)["failed"] == 0)
    return engine, owner, entry


def main():
    build = sys.argv[1]
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    print(f"command: relaybench.py BUILD {seed}  (seed {seed}, {TOKENS} tokens an answer)")
    with Fleet(build) as fleet:
        engine, owner, entry = two_daemons(fleet, TOKENS)
        relay_port = free_port()
        relay = fleet.start("bench/daemon/plainrelay", port=relay_port, target_port=engine)
        wait_until(lambda: fleet.load(relay_port, streams=1, requests=1)["failed"] == 0)
        measure(fleet, "engine, direct", engine, [], seed)
        measure(fleet, "plain relay (baseline)", relay_port, [relay], seed)
        measure(fleet, "owner daemon", owner["caller"], [owner["process"]], seed)
        measure(fleet, "entry and owner daemon", entry["caller"],
                [entry["process"], owner["process"]], seed)

    def through_relay(fleet, tokens):
        engine, _, _ = two_daemons(fleet, tokens)
        port = free_port()
        relay = fleet.start("bench/daemon/plainrelay", port=port, target_port=engine)
        wait_until(lambda: fleet.load(port, streams=1, requests=1)["failed"] == 0)
        return port, [relay]

    def through_owner(fleet, tokens):
        _, owner, _ = two_daemons(fleet, tokens)
        return owner["caller"], [owner["process"]]

    def through_entry(fleet, tokens):
        _, owner, entry = two_daemons(fleet, tokens)
        return entry["caller"], [entry["process"], owner["process"]]

    sizes = (20, 140, 280)
    request_cost(build, "plain relay (baseline)", sizes, through_relay, seed)
    request_cost(build, "owner daemon", sizes, through_owner, seed)
    request_cost(build, "entry and owner daemon", sizes, through_entry, seed)


main()
