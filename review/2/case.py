"""RECOVER: the primary is lost for good some seconds after a planned replacement; no other is ever promoted."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import Client, ROUTES, config, main, now  # noqa: E402

LEAVES_S = 8.0      # drain_ms and a little longer
LOST_S = 14.0       # after the replacement began
DOWN_S = 0.75       # of the final fault
RECOVERY_S = 12.0   # recovery_s


async def ask(site, tally):
    """Short sessions of a client: a write and a read each, over both proxies in turn."""
    serial = 0
    while True:
        serial += 1
        proxy = site.proxies[serial % len(site.proxies)]
        for database, text in (("orders", "PUT order-%d placed" % serial), ("history", "FETCH order-1")):
            sent = now()
            client = Client(site.record, "c%d-" % serial)
            try:
                served = await client.open(proxy.listen, database)
                served = served and (await client.query(text))[1].startswith("DONE i-")
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                served = False
            client.close()
            tally.append((sent, bool(served)))
        await asyncio.sleep(0.1)


def share(tally, start, end):
    served = [ok for sent, ok in tally if start <= sent < end]
    if not served:
        raise RuntimeError("nothing was sent")
    return sum(served), len(served)


async def case(site, trouble):
    await site.start()
    group = site.groups[0]
    site.configure(config(3, ROUTES))
    await site.start_proxies(["riga-centrs", "riga-purvciems"])
    await asyncio.sleep(3)
    tally = []
    asyncio.ensure_future(ask(site, tally))
    started = now()
    await asyncio.sleep(3)
    if trouble:
        old = group.primary()
        site.record("planned work: the primary %s is replaced" % old.id)
        await group.join(old.zone)
        old.drain()
        await asyncio.sleep(LEAVES_S)
        if group.primary() in (old, None):
            raise RuntimeError("the leaving primary was not replaced")
        old.stop(left=True)
        await asyncio.sleep(LOST_S - LEAVES_S)
    lost = group.primary()
    ends = {server.id: "%d.%d" % server.end() for server in group.servers if server.state != "gone"}
    site.record("disruption: the primary %s is lost for good; the logs end at %r" % (lost.id, ends))
    lost.stop(left=False)
    fault = now()
    before = share(tally, started, fault)
    await asyncio.sleep(2)
    site.record("final fault: all processes are killed")
    await site.restart_proxies(DOWN_S)
    for proxy in site.proxies:
        await proxy.ready()
    back = now()
    await asyncio.sleep(RECOVERY_S + 8)
    after = share(tally, back + RECOVERY_S, now() - 1)
    alive = [server.id for server in group.servers if server.state != "gone"]
    site.record("served before the loss %d of %d, later than recovery_s after the machines were back %d of %d; "
                "servers alive: %s" % (before + after + (alive,)))
    if before[0] * 4 < before[1]:
        raise RuntimeError("less than a quarter was served before the final fault")
    if after[0] * 4 < after[1]:
        return "%d of %d requests served more than %d s after the machines were back (before: %d of %d), with %s " \
               "alive" % (after + (RECOVERY_S,) + before + (" and ".join(alive),))


main(case)
