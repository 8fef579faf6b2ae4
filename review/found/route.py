"""STALE: a session's own commit is forgotten when its route leaves its service and comes back."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import Client, ROUTES, config, main, now  # noqa: E402

APPLY_S = 3.0     # config_apply_ms
LAG_S = 1.2       # replica_lag x = 60 of 20 ms
WITHIN_S = 2.5    # max_staleness_ms of the route


def configuration(version, service):
    """The route `dispatch`, a `session` route, leads to `service`."""
    wire = json.loads(config(version, ROUTES))
    for route in wire["routes"]:
        if route["host"] == "dispatch":
            route["service"] = service
    wire["services"].append(dict(wire["services"][0], name="archive"))
    return json.dumps(wire).encode()


async def case(site, trouble):
    await site.start(services=("ledger", "archive"))
    ledger = site.groups[0]
    site.configure(configuration(3, "ledger"))
    await site.start_proxies(["riga-purvciems", "riga-imanta"])
    await asyncio.sleep(2)
    client = Client(site.record, "c")
    if not await client.open(site.proxies[0].listen, "dispatch"):
        raise RuntimeError("no session")
    await client.query("PUT parcel pending")
    await asyncio.sleep(4)
    for server in ledger.servers[1:]:
        server.lag = LAG_S
    site.record("disruption: replica_lag, replicas of ledger apply %.1f s late" % LAG_S)

    await client.query("FETCH parcel")
    _, end, _ = await client.query("PUT parcel withdrawn")
    if not end.startswith("DONE i-0."):
        raise RuntimeError("the commit was not acknowledged: %s" % end)
    acked = now()
    if trouble:
        site.configure(configuration(5, "archive"))
    while now() < acked + APPLY_S:
        rows, _, _ = await client.query("FETCH parcel")
        if trouble and rows == ["-"]:
            break    # the new version is in force: the other service has no such item
        if not trouble and now() > acked + 0.3:
            break
        await asyncio.sleep(0.02)
    if trouble:
        site.configure(configuration(8, "ledger"))
    while now() < acked + WITHIN_S:
        sent = now()
        rows, end, _ = await client.query("FETCH parcel")
        if end.startswith("DONE i-") and rows != ["withdrawn"]:
            return ("a read sent %.3f s after the ack of the session's own commit ran on %s without it and "
                    "returned %r" % (sent - acked, end.split(" ")[1].split(".")[0], rows))
        await asyncio.sleep(0.02)


main(case)
