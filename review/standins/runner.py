"""Stand-in of a runner: serves plain requests, and orders and reports of a model runner."""

import asyncio
import json

import http1


class Runner:
    def __init__(self, identity, service, ip, port, zone, record, work_s=0.02):
        self.identity = identity
        self.service = service
        self.ip = ip
        self.port = port
        self.zone = zone
        self.record = record
        self.work_s = work_s
        self.runs = []  # (time, request id)
        self.orders = []  # (time, holder, token, operation, adapter, status)
        self.seq = 0
        self.adapters = {}
        self.model = None
        self.born = 0

    def entry(self, state="ready", slots=6):
        models = []
        if self.model:
            models = [{"name": self.model, "version": 1, "adapters": self._held()}]
        return {
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": slots,
            "state": state,
            "cold_left_ms": 0,
            "stage": "combined",
            "models": models,
            "seq": self.seq,
            "born": self.born,
        }

    def _held(self):
        return [f"{name}@{version}" for name, version in self.adapters.items()]

    async def handle(self, request, writer):
        now = self.record.now()
        expected = request.headers.get("expect-instance")
        identity = request.headers.get("request-id")
        if expected not in (None, self.identity):
            writer.write(http1.response(421, b"", {"Instance-Id": self.identity}))
            return True
        if request.target == "/-/report":
            self._json(writer, 200, self._report())
            return True
        if request.target == "/-/order":
            self._order(json.loads(request.body), now, writer)
            return True
        self.runs.append((now, identity))
        self.record.write(f"run      {self.identity} {identity} {request.method} {request.target}")
        await asyncio.sleep(self.work_s)
        body = f"answer to {identity} by {self.identity}\n".encode()
        fields = {"Request-Id": identity, "Response-Stamp": f"{self.identity}.{identity}"}
        writer.write(http1.response(200, body, fields))
        return True

    @staticmethod
    def _json(writer, status, body):
        writer.write(
            http1.response(status, json.dumps(body).encode(), {"Content-Type": "application/json"})
        )

    def _report(self):
        return {
            "stage": "combined",
            "models": [{"name": self.model, "version": 1, "adapters": self._held()}],
            "busy": False,
            "seq": self.seq,
            "queued": 0,
            "active": 0,
            "kv_used": 0,
            "kv_total": 100000,
            "handles": 0,
            "pending": [],
            "born": self.born,
        }

    def _order(self, order, now, writer):
        adapter = order.get("adapter")
        if "holder" not in order or "fencing_token" not in order:
            status = 400
        elif order.get("expected_rev", self.seq) != self.seq:
            status = 409
        elif order["operation"] == "load":
            status = 200 if adapter in self.adapters else 202
            self.adapters.setdefault(adapter, order.get("version", 1))
        else:
            status = 200
            self.adapters.pop(adapter, None)
        if status in (200, 202):
            self.seq += 1
        self.orders.append((now, order.get("holder"), order.get("fencing_token"), status))
        self.record.write(
            f"order    {self.identity} {order['operation']} {adapter} by {order.get('holder')} "
            f"token {order.get('fencing_token')} status {status}"
        )
        writer.write(http1.response(status))
