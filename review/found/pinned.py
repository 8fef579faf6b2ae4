"""PINNED: a SET inside an open transaction is acknowledged, and not applied to the transaction's connection."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import Client, ROUTES, config, main  # noqa: E402


async def case(site, trouble):
    await site.start()
    site.configure(config(3, ROUTES))
    await site.start_proxies(["riga-centrs", "riga-purvciems"])
    client = Client(site.record, "c")
    if not await client.open(site.proxies[0].listen, "orders"):
        raise RuntimeError("no session")
    values = {}

    async def set_value(name, value):
        _, end, _ = await client.query("SET %s %s" % (name, value))
        if end != "DONE -":
            raise RuntimeError("SET was not acknowledged: %s" % end)
        values[name] = value

    wrong = []

    async def run(text):
        """Sends a read, write or commit, and compares the values that its server had with those acknowledged."""
        runs = site.groups[0].runs
        before = len(runs)
        _, end, _ = await client.query(text)
        if not end.startswith("DONE i-"):
            raise RuntimeError("%s: %s" % (text, end))
        for server, id, ran, seen in runs[before:]:
            if ran.endswith(text) and seen != values:
                wrong.append("%r (id %s) ran on %s with %r, acknowledged are %r" % (ran, id, server, seen, dict(values)))

    await set_value("pharmacy", "north")
    await run("PUT order-1 placed")
    if not trouble:
        await set_value("pharmacy", "south")
    await client.query("BEGIN")
    await run("FETCH order-1")
    if trouble:
        await set_value("pharmacy", "south")
    await run("FETCH order-1")
    await run("PUT order-1 amended")
    await run("COMMIT")
    await run("FETCH order-1")
    return "; ".join(wrong)


main(case)
