"""LOST: a new failover leader takes a replica that started again empty for the one that had the commits."""

import asyncio
import base64
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import Client, ROUTES, config, main, now  # noqa: E402

ZONES = ["luz-a", "luz-b", "luz-c"]
DUTY = "dandelionpitch/duty"     # the failover leader's key
REGISTERS_S = 1.2                # a heartbeat (heartbeat_ms)
DEAF_S = 6.0                     # replica_lag
DOWN_S = 4.0                     # of the primary


async def place_orders(site, acked):
    """A client that places order after order; `acked` gets those that were acknowledged."""
    client, serial = None, 0
    while True:
        try:
            if client is None:
                client = Client(site.record, "c")
                if not await client.open(site.writer.listen, "orders"):
                    raise OSError
            serial += 1
            _, end, _ = await client.query("PUT order-%d placed-%d" % (serial, serial))
            if end.startswith("DONE i-"):
                acked.append("placed-%d" % serial)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            client = None
        await asyncio.sleep(0.1)


def leader(site):
    """The proxy that holds the failover leadership."""
    item = site.store.items.get(DUTY)
    name = base64.b64decode(item["value"]).decode() if item else ""
    return next((proxy for proxy in site.proxies if name.startswith(proxy.id)), None)


async def case(site, trouble):
    await site.start(lag=0.15, promote_s=1.0, tells_born=True, zones=ZONES)
    group = site.groups[0]
    site.configure(config(3, ROUTES))
    await site.start_proxies(ZONES[:2], config_apply_ms=5000)
    while leader(site) is None:
        await asyncio.sleep(0.1)
    await asyncio.sleep(7)
    old = leader(site)
    site.writer = next(proxy for proxy in site.proxies if proxy is not old)
    primary, confirming, lagging = group.servers
    acked = []
    asyncio.ensure_future(place_orders(site, acked))
    await asyncio.sleep(1)

    lagging.deaf = True
    site.record("disruption: replica %s receives nothing" % lagging.id)
    asyncio.get_running_loop().call_later(DEAF_S, setattr, lagging, "deaf", False)
    await asyncio.sleep(0.5)
    site.record("planned work: the machine of the failover leader, %s, is stopped" % old.id)
    old.signal("SIGTERM")
    while DUTY in site.store.items:
        site.store.expire()
        await asyncio.sleep(0.01)
    site.record("store: the failover leader has given up its lease")

    if trouble:
        site.record("disruption: replica %s starts again under its id" % confirming.id)
        confirming.crash()
    site.record("disruption: the primary crashes")
    primary.crash()
    before = list(acked)
    asyncio.get_running_loop().call_later(
        DOWN_S, lambda: asyncio.ensure_future(primary.start_again(empty=False)))
    if trouble:
        await asyncio.sleep(0.1)
        asyncio.ensure_future(confirming.start_again(empty=True, registers_s=REGISTERS_S))
    until = now() + 12
    while not group.promotions and now() < until:
        await asyncio.sleep(0.05)
    await asyncio.sleep(2)
    if not group.promotions:
        site.record("nobody was promoted")
        return None
    _, promoted, log = group.promotions[0]
    lost = [data for data in before if data not in log]
    site.record("promoted %s; of %d acknowledged orders its log lacks %d: %r" % (promoted, len(before), len(lost), lost))
    if lost:
        return "%s was promoted without %d of %d acknowledged orders (%s to %s)" % (
            promoted, len(lost), len(before), lost[0], lost[-1])


main(case)
