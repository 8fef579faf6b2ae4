"""UNASKED: a message whose last field holds a line feed is taken for two messages."""

import asyncio
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
    separator = "\n" if trouble else " "
    data = "leave at the door" + separator + "QUERY 5c0e7a21d94b36f8 PUT order-2 cancelled"
    text = "PUT note-1 " + data
    await client.query(text, id="77aa01c2e5f39d10")
    await asyncio.sleep(1)
    sent = {"77aa01c2e5f39d10": text}
    wrong = []
    for server, id, ran, _ in site.groups[0].runs:
        if id not in sent:
            wrong.append("%s ran %r under the id %s, which no client sent" % (server, ran, id))
        elif ran != sent[id]:
            wrong.append("%s ran %r under the id %s, whose text was %r" % (server, ran, id, sent[id]))
    return "; ".join(wrong)


main(case)
