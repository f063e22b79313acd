"""Stand-in of the platform's store: objects by kind and name, conditional writes, lists and watches
as PROTOCOL.md ("The platform's metadata store") tells them."""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

import http1

PREFIX = "/-/objects/"


class Store:
    def __init__(self):
        self.revision = 10
        self.objects = {}  # (kind, name) -> object
        self.events = []  # (revision, kind, event)
        self.changed = asyncio.Event()
        self.waiting = set()  # Connections of waiting watches.
        self.loses_answer = lambda method, kind: False

    # Writes of the operator and of the runners; the return of the call is the acknowledgement.
    def put(self, kind, name, spec):
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["metadata"]["created"] if known else self.revision
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[(kind, name)] = item
        self._publish(kind, item, False)
        return item

    def remove(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self._publish(kind, item, True)
        return item

    def _publish(self, kind, item, removed):
        self.events.append((self.revision, kind, {"removed": removed, "object": item}))
        self.changed.set()
        self.changed = asyncio.Event()

    def cut_waiting_watches(self):
        """Closes the connections of all waiting watches without an answer."""
        count = len(self.waiting)
        for writer in list(self.waiting):
            writer.close()
        self.waiting.clear()
        return count

    async def handle(self, request, writer):
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if not parts.path.startswith(PREFIX):
            self._reply(writer, 404, {})
            return True
        kind, _, name = parts.path[len(PREFIX) :].partition("/")
        if request.method == "GET" and "watch" in query:
            return await self._watch(kind, query, writer)
        await asyncio.sleep(0.004)
        status, body = self._perform(request, kind, name, query)
        if request.method != "GET" and self.loses_answer(request.method, kind):
            # The connection stays open and returns nothing further.
            await asyncio.sleep(30)
            return False
        self._reply(writer, status, body)
        return True

    @staticmethod
    def _reply(writer, status, body):
        writer.write(
            http1.response(status, json.dumps(body).encode(), {"Content-Type": "application/json"})
        )

    async def _watch(self, kind, query, writer):
        since = int(query["watch"])
        end = asyncio.get_running_loop().time() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = [event for revision, of, event in self.events if of == kind and revision > since]
            remaining = end - asyncio.get_running_loop().time()
            if events or remaining <= 0:
                self._reply(writer, 200, {"events": events, "current_rev": self.revision})
                return True
            self.waiting.add(writer)
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass
            if writer not in self.waiting:
                return False
            self.waiting.discard(writer)

    def _perform(self, request, kind, name, query):
        if request.method == "GET" and not name:
            names = sorted(key[1] for key in self.objects if key[0] == kind)
            after = query.get("after", "")
            items = [self.objects[(kind, each)] for each in names if each > after]
            return 200, {"items": items, "has_more": False, "current_rev": self.revision}
        if request.method == "GET":
            item = self.objects.get((kind, name))
            return (200, item) if item else (404, {})
        if request.method == "DELETE":
            item = self.remove(kind, name)
            return (200, item) if item else (404, {})
        body = json.loads(request.body)
        name = name or body["metadata"]["name"]
        known = self.objects.get((kind, name))
        if request.method == "POST":
            if known is not None:
                return 409, known
            return 201, self.put(kind, name, body["spec"])
        if known is None:
            return 404, {}
        condition = body["metadata"].get("revision", query.get("revision"))
        if condition is not None and int(condition) != known["metadata"]["revision"]:
            return 409, known
        return 200, self.put(kind, name, body["spec"])
