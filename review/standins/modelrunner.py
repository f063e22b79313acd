"""Stand-in of a model runner with adapters: streams, orders and reports as PROTOCOL.md tells them. It
counts the adapters in transit and those whose unload waits for running requests as held."""

import asyncio
import json
import random

import http1

LOAD_S = 0.25
CALL_S = 0.01  # For an order or a report.
REPORT_LAG_S = 0.2


class ModelRunner:
    def __init__(self, identity, service, ip, port, zone, record, model, slots):
        self.identity = identity
        self.service = service
        self.ip = ip
        self.port = port
        self.zone = zone
        self.record = record
        self.model = model
        self.adapter_slots = slots
        self.held = {}  # adapter -> version
        self.pending = {}  # adapter -> version
        self.unloading = set()
        self.running = {}  # adapter -> number of requests
        self.seq = 0
        self.born = 1700000000000
        self.states = []  # (time, report), the newest last
        self.over_limit = []  # (time, description) of orders to load more than there are slots
        self.counts = {}
        self.extra_share = 0.0  # Of the answers that come a second time, before the next one.
        self.random = random.Random(identity)
        self.piece_s = 0.1
        self.pieces = 10

    def entry(self):
        return {
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_left_ms": 0,
            "stage": "combined",
            "models": self._models(),
            "seq": self.seq,
            "born": self.born,
        }

    def _models(self):
        adapters = [f"{name}@{version}" for name, version in self.held.items()]
        return [{"name": self.model, "version": 1, "adapters": adapters}]

    def _remember(self):
        """Keeps the present state, which reports show with a delay."""
        report = {
            "stage": "combined",
            "models": self._models(),
            "busy": False,
            "seq": self.seq,
            "queued": 0,
            "active": sum(self.running.values()),
            "kv_used": 0,
            "kv_total": 130000,
            "handles": 0,
            "pending": [f"{self.model}/{name}@{v}" for name, v in self.pending.items()],
            "born": self.born,
        }
        self.states.append((self.record.now(), report))

    def _report(self):
        as_of = self.record.now() - REPORT_LAG_S
        while len(self.states) > 1 and self.states[1][0] <= as_of:
            self.states.pop(0)
        return self.states[0][1]

    def _write_late_copy(self, writer):
        """Writes the second copy of an earlier answer, where the next answer is expected."""
        copy = getattr(writer, "late_copy", None)
        if copy is not None:
            writer.late_copy = None
            self.counts["late copies"] = self.counts.get("late copies", 0) + 1
            writer.write(copy)

    def _answer(self, writer, data):
        writer.write(data)
        if self.random.random() < self.extra_share:
            writer.late_copy = data

    async def handle(self, request, writer):
        if not self.states:
            self._remember()
        self._write_late_copy(writer)
        fields = request.headers
        if fields.get("expect-instance") not in (None, self.identity):
            self._answer(writer, http1.response(421, b"", {"Instance-Id": self.identity}))
        elif request.target == "/-/report":
            await asyncio.sleep(CALL_S)
            body = json.dumps(self._report()).encode()
            self._answer(writer, http1.response(200, body, {"Content-Type": "application/json"}))
        elif request.target == "/-/order":
            await asyncio.sleep(CALL_S)
            self._answer(writer, http1.response(self._order(json.loads(request.body))))
        else:
            await self._stream(request, writer)
        return True

    def _order(self, order):
        adapter = order.get("adapter")
        status = self._apply(order, adapter)
        if status in (200, 202) and not (status == 200 and order["operation"] == "load"):
            self.seq += 1
        self._remember()
        name = f"order {order['operation']} {status}"
        self.counts[name] = self.counts.get(name, 0) + 1
        self.record.write(
            f"order    {self.identity} {order['operation']} {adapter} rev "
            f"{order.get('expected_rev')} by {order.get('holder')} token "
            f"{order.get('fencing_token')}: {status}, held {len(self.held)}, in transit "
            f"{len(self.pending)}, unload waits {sorted(self.unloading)}"
        )
        return status

    def _apply(self, order, adapter):
        if "holder" not in order or "fencing_token" not in order or adapter is None:
            return 400
        if order.get("expected_rev", self.seq) != self.seq:
            return 409
        if order["operation"] == "unload":
            if adapter not in self.held:
                return 200
            if self.running.get(adapter):
                self.unloading.add(adapter)
                return 202
            self.held.pop(adapter)
            return 200
        if adapter in self.held or adapter in self.pending:
            return 200
        if len(self.held) + len(self.pending) >= self.adapter_slots:
            text = (
                f"{self.identity} is ordered to load {adapter} while it holds {sorted(self.held)} "
                f"and loads {sorted(self.pending)}, {self.adapter_slots} slots; the unload of "
                f"{sorted(self.unloading)} waits for running requests"
            )
            self.over_limit.append((self.record.now(), text))
            self.record.write(f"broken   {text}")
        self.pending[adapter] = order.get("version", 1)
        asyncio.get_running_loop().call_later(LOAD_S, self._loaded, adapter)
        return 202

    def _loaded(self, adapter):
        self.held[adapter] = self.pending.pop(adapter)
        self._remember()

    async def _stream(self, request, writer):
        identity = request.headers["request-id"]
        _, _, adapter = request.headers.get("model", "").partition("/")
        fields = {"Request-Id": identity}
        if adapter not in self.held:
            fields.update({"Instance-Id": self.identity, "Not-Executed": "1"})
            self.counts["421"] = self.counts.get("421", 0) + 1
            self._answer(writer, http1.response(421, b"", fields))
            return
        if adapter in self.unloading:
            fields["Not-Executed"] = "1"
            self.counts["503"] = self.counts.get("503", 0) + 1
            self._answer(writer, http1.response(503, b"", fields))
            return
        self.running[adapter] = self.running.get(adapter, 0) + 1
        self.counts["runs"] = self.counts.get("runs", 0) + 1
        self.record.write(f"run      {self.identity} {identity} {adapter}")
        try:
            writer.write(
                (
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    f"Request-Id: {identity}\r\nResponse-Stamp: {self.identity}.{identity}\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n"
                ).encode()
            )
            for number in range(1, self.pieces + 1):
                await asyncio.sleep(self.piece_s)
                event = f"id: {number}\ndata: {identity}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            self.running[adapter] -= 1
            if adapter in self.unloading and not self.running[adapter]:
                self.unloading.discard(adapter)
                self.held.pop(adapter, None)
                self._remember()
