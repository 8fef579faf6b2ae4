#!/usr/bin/env python3
"""Control cost of idle proxies against the number of proxies and of backend servers.

Starts the stand-in KV, G stand-in groups of three servers and P proxies (release build),
lets them run idle for a bounded time, and reads each process's CPU time, resident memory and
socket bytes (rchar + wchar) from /proc. Prints one row per (groups, proxies) run.
Usage: scripts/capacity.py [--proxies 1,2,4,8] [--groups 1,2,4] [--seconds 10]
"""
import argparse, json, os, re, subprocess, tempfile, time, urllib.request

BIN = os.path.join(os.path.dirname(__file__), "..", "target", "release")
TICK = os.sysconf("SC_CLK_TCK")


def start(args):
    proc = subprocess.Popen([os.path.join(BIN, args[0])] + args[1:], stdout=subprocess.PIPE,
                            stderr=subprocess.DEVNULL, text=True)
    return proc, proc.stdout.readline().strip()


def sample(pid):
    with open(f"/proc/{pid}/stat") as f:
        fields = f.read().rsplit(")", 1)[1].split()
    cpu = (int(fields[11]) + int(fields[12])) / TICK
    with open(f"/proc/{pid}/status") as f:
        rss = next(int(l.split()[1]) for l in f if l.startswith("VmRSS")) / 1024
    return cpu, rss


def tcp_bytes():
    """Bytes sent plus received on every open TCP socket, by owning process id."""
    out = subprocess.run(["ss", "-tinpH"], capture_output=True, text=True).stdout
    totals, owner = {}, None
    for line in out.splitlines():
        found = re.search(r"pid=(\d+)", line)
        if found:
            owner = int(found.group(1))
            continue
        sent = re.search(r"bytes_sent:(\d+)", line)
        received = re.search(r"bytes_received:(\d+)", line)
        if owner is not None:
            value = int(sent.group(1) if sent else 0) + int(received.group(1) if received else 0)
            totals[owner] = totals.get(owner, 0) + value
        owner = None
    return totals


def bundle(groups):
    text = "version = 1\n"
    for index, servers in enumerate(groups):
        quoted = ", ".join(f'"{s}"' for s in servers.split(","))
        text += f'\n[[group]]\nname = "g{index}"\nservers = [{quoted}]\n'
    return text + '\n[[caller]]\nuser = "member"\ngroup = "g0"\nmax_staleness = "1s"\n'


def ready(operator, deadline):
    while time.time() < deadline:
        try:
            report = json.load(urllib.request.urlopen(f"http://{operator}/status", timeout=1))
            if report["bundle_version"] == 1:
                return True
        except OSError:
            pass
        time.sleep(0.05)
    return False


def run(groups, proxies, seconds, work):
    procs = []
    try:
        kv, kv_url = start(["dp-standin", "kv"])
        procs.append(kv)
        lines = []
        for _ in range(groups):
            group, line = start(["dp-standin", "group"])
            procs.append(group)
            lines.append(line)
        path = os.path.join(work, "bundle.toml")
        with open(path, "w") as f:
            f.write(bundle(lines))
        subprocess.run([os.path.join(BIN, "dpctl"), "put", path, "--kv", kv_url], check=True,
                       stdout=subprocess.DEVNULL)
        proxy_pids = []
        for index in range(proxies):
            settings = os.path.join(work, f"p{index}.toml")
            with open(settings, "w") as f:
                f.write(f'id = "p{index}"\ndc = "dc-1"\nlisten = "127.0.0.1:0"\n'
                        f'operator_listen = "127.0.0.1:0"\nkv = "{kv_url}"\n')
            proxy, line = start(["dandelionpitch", "--config", settings])
            procs.append(proxy)
            proxy_pids.append(proxy.pid)
            assert ready(json.loads(line)["operator"], time.time() + 20), "proxy not ready"
        time.sleep(1)
        before = {pid: sample(pid) for pid in proxy_pids + [kv.pid]}
        bytes_before = tcp_bytes()
        time.sleep(seconds)
        after = {pid: sample(pid) for pid in proxy_pids + [kv.pid]}
        bytes_after = tcp_bytes()
        moved = {p: bytes_after.get(p, 0) - bytes_before.get(p, 0) for p in proxy_pids + [kv.pid]}
        cpu = sum(after[p][0] - before[p][0] for p in proxy_pids) / proxies / seconds * 100
        rss = sum(after[p][1] for p in proxy_pids) / proxies
        rate = sum(moved[p] for p in proxy_pids) / proxies / seconds / 1024
        kv_cpu = (after[kv.pid][0] - before[kv.pid][0]) / seconds * 100
        kv_rate = moved[kv.pid] / seconds / 1024
        print(f"{groups * 3:>7} {proxies:>7} {cpu:>10.2f} {rss:>8.1f} {rate:>10.1f} "
              f"{kv_cpu:>8.2f} {kv_rate:>9.2f}", flush=True)
    finally:
        for proc in procs:
            proc.kill()
            proc.wait()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--proxies", default="1,2,4,8")
    parser.add_argument("--groups", default="1,2,4")
    parser.add_argument("--seconds", type=float, default=10)
    args = parser.parse_args()
    print(f"{'servers':>7} {'proxies':>7} {'cpu%/prx':>10} {'rss MB':>8} {'KB/s/prx':>10} "
          f"{'kv cpu%':>8} {'kv KB/s':>9}")
    with tempfile.TemporaryDirectory() as work:
        for groups in map(int, args.groups.split(",")):
            for proxies in map(int, args.proxies.split(",")):
                run(groups, proxies, args.seconds, work)


if __name__ == "__main__":
    main()
