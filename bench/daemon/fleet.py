"""Processes of the daemon benchmarks: fakes and daemons on loopback, ended by their process ids."""
import hashlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
ADMIN = {"Authorization": "Bearer admin-secret"}


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def call(port, path, method="GET", body=None, headers=None):
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", data, headers or {},
                                     method=method)
    with urllib.request.urlopen(request, timeout=10) as reply:
        return reply.read().decode()


def wait_until(condition, seconds=30):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (urllib.error.URLError, ConnectionError):
            pass
        time.sleep(0.05)
    raise TimeoutError(f"the fleet did not become ready within {seconds} s")


class Fleet:
    def __init__(self, build):
        self.build = pathlib.Path(build)
        self.folder = tempfile.TemporaryDirectory()
        self.work = pathlib.Path(self.folder.name)
        self.processes = []
        self.hosts = []
        self.platform = free_port()
        self.start("tests/fakes/fakeplatform", port=self.platform)
        wait_until(lambda: call(self.platform, "/v1/hosts"))

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            process.send_signal(signal.SIGTERM)
        for process in self.processes:
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.folder.cleanup()

    def start(self, program, **options):
        argv = [str(self.build / program)]
        for name, value in options.items():
            argv += [f"--{name.replace('_', '-')}", str(value)]
        log = open(self.work / f"{len(self.processes)}.log", "w")
        process = subprocess.Popen(argv, stdout=log, stderr=log)
        self.processes.append(process)
        return process

    def add_host(self, name, role, port, pool=""):
        self.hosts.append({"name": name, "role": role, "ip": "127.0.0.1", "port": port, "pool": pool,
                           "region": "home", "failureDomain": "home-1", "state": "live"})

    def publish_hosts(self):
        call(self.platform, "/v1/hosts", "PUT", {"items": self.hosts})

    def add_engine(self, name, **options):
        port = free_port()
        self.start("tests/fakes/fakeengine", port=port, store_port=self.platform, **options)
        self.add_host(name, "endpoint", port, "assistants")
        return port

    def add_daemon(self, name):
        ports = [free_port() for _ in range(3)]
        settings = self.work / f"{name}.yaml"
        settings.write_text(
            f"host: {name}\nregion: home\nfailureDomain: home-1\n"
            f"listen: {{ ip: 127.0.0.1, callerPort: {ports[0]}, peerPort: {ports[1]},"
            f" adminPort: {ports[2]} }}\n"
            "credentials: { peer: peer-secret, admin: admin-secret }\n"
            f"platform: {{ objectApiIp: 127.0.0.1, objectApiPort: {self.platform},"
            f" hostListIp: 127.0.0.1, hostListPort: {self.platform} }}\n"
            "log: { level: ERROR }\n")
        self.add_host(name, "daemon", ports[1])
        return {"name": name, "caller": ports[0], "admin": ports[2], "settings": settings}

    def start_daemon(self, daemon):
        daemon["process"] = self.start("src/app/jackdawleadd", settings=daemon["settings"])
        wait_until(lambda: call(daemon["admin"], "/readyz"))

    def apply_manifest(self, adapters, slots=4):
        digest = hashlib.sha256(b"caller-secret").hexdigest()
        lines = ["apiVersion: jackdawlead/v1", "release: bench", "models: [{ name: base }]",
                 f"pools: [{{ name: assistants, kind: engine, model: base, slots: {slots} }}]",
                 f"customers: [{{ name: shop, tokenDigests: [{digest}] }}]", "adapters:"]
        names = [f"adapter-{index}" for index in range(1, adapters + 1)]
        lines += [f"  - {{ name: {name}, model: base, versions:"
                  f" [{{ version: \"1\", source: {name}/1 }}] }}" for name in names]
        lines += ["services:", f"  - {{ name: drafts, pool: assistants, callers: [shop],"
                  f" adapters: [{', '.join(names)}] }}"]
        path = self.work / "manifest.yaml"
        path.write_text("\n".join(lines) + "\n")
        subprocess.run([str(self.build / "src/tools/jackdawctl"), "apply", str(path),
                        "--object-api", f"127.0.0.1:{self.platform}"],
                       check=True, stdout=subprocess.DEVNULL)

    def load(self, port, **options):
        argv = [str(self.build / "bench/daemon/loadgen"), "--port", str(port)]
        for name, value in options.items():
            argv += [f"--{name}", str(value)]
        return json.loads(subprocess.run(argv, check=True, capture_output=True, text=True).stdout)


def cpu_seconds(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_mb(process):
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def metric(daemon, name):
    for line in call(daemon["admin"], "/metrics", headers=ADMIN).splitlines():
        if line.startswith(name + " "):
            return float(line.split()[1])
    return 0.0


def fit(points):
    """Returns offset and slope of the least-squares line through (x, y) points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - slope * mean_x, slope
