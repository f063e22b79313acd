"""A minimal HTTP/1.1 server and client on asyncio, for the stand-ins of the review."""

import asyncio


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers  # Names in lower case.
        self.body = body


async def read_head(reader):
    """Returns the start line and the header fields; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise asyncio.IncompleteReadError(line, None)
            size = int(line.split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    return Request(method, target, head[1], await read_body(reader, head[1]))


def response(status, body=b"", fields=None):
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def serve(ip, port, handler):
    """Calls `handler(request, writer)` for each request; a connection ends when it returns False."""

    writers = set()

    async def connected(reader, writer):
        writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None or await handler(request, writer) is False:
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writers.discard(writer)
            writer.close()

    server = await asyncio.start_server(connected, ip, port)
    server.open_writers = writers
    return server


def end(server):
    """Ends a server with all of its connections, as the end of its process does."""
    server.close()
    for writer in list(server.open_writers):
        writer.close()


class Client:
    """Sends one request at a time on a kept connection."""

    def __init__(self, ip, port):
        self.address = (ip, port)
        self.streams = None

    async def call(self, method, path, fields, body=b"", timeout=5.0):
        """Returns status, header fields and body; status 0 if there is no complete answer."""
        try:
            return await asyncio.wait_for(self._call(method, path, fields, body), timeout)
        except (ConnectionError, OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return 0, {}, b""

    async def _call(self, method, path, fields, body):
        if self.streams is None:
            self.streams = await asyncio.open_connection(*self.address)
        reader, writer = self.streams
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            raise ConnectionError
        answer = await read_body(reader, head[1])
        if head[1].get("connection", "").lower() == "close":
            self.close()
        return int(head[0].split(" ")[1]), head[1], answer

    def close(self):
        if self.streams is not None:
            self.streams[1].close()
        self.streams = None
