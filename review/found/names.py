"""PINNED: a connection between two proxies takes 1,000 distinct prepared statements, and none after that."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import Client, ROUTES, config, main  # noqa: E402

MAX_CONNS = 10     # so few that one of two proxies forwards


async def owned(proxy):
    """The groups that a proxy serves on connections of its own."""
    host, port = proxy.operator.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"GET /status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    answer = await reader.read()
    writer.close()
    return json.loads(answer.split(b"\r\n\r\n", 1)[1])["owns"]


async def case(site, trouble):
    await site.start()
    wire = json.loads(config(3, ROUTES))
    wire["services"][0]["max_conns"] = MAX_CONNS
    site.configure(json.dumps(wire).encode())
    await site.start_proxies(["riga-centrs", "riga-centrs"])
    await asyncio.sleep(4)
    forwarding = [proxy for proxy in site.proxies if not await owned(proxy)]
    if len(forwarding) != 1:
        raise RuntimeError("no proxy forwards")
    client = Client(site.record, "c")
    if not await client.open(forwarding[0].listen, "orders"):
        raise RuntimeError("no session")
    await client.query("PUT a one")
    refused = 0
    for number in range(1100 if trouble else 900):
        _, end, _ = await client.query("PREPARE s FETCH q%x" % number, quiet=True)
        if end != "DONE -":
            raise RuntimeError("PREPARE was not acknowledged: %s" % end)
        _, end, _ = await client.query("EXEC s a", quiet=True)
        if end.startswith("ERR NOSTMT"):
            refused += 1
            site.record("statement %d: %s" % (number + 1, end))
    if refused:
        return "%d statements were unknown though their preparing was acknowledged" % refused


main(case)
