#!/usr/bin/env python3
"""Processor time of idle nodes on the users' platform, by the number of nodes.

Starts one stand-in store and SIZE nodes in three regions on loopback addresses, waits until they
know each other, and prints the cores that a node uses on average. Ends only what it started.

    scripts/node_cost.py [--build build] [--seconds 6] SIZE...
"""

import argparse
import json
import os
import subprocess
import tempfile
import threading
import time
import urllib.request

REGIONS = ("r1", "r2", "r3")
RENEWAL_SECONDS = 1.2
SETTLE_SECONDS = 22
MAX_NODES = 240
PORTS = {"Front": 18100, "Readiness": 18101, "Control": 18102, "Directory": 18103}
ADMIN_PORT = 18104


def ip_of(node):
    return f"127.0.{1 + node // 200}.{10 + node % 200}"


def put(store, key, value):
    request = urllib.request.Request(
        f"http://{store}/standin/item?Key={key}", data=json.dumps(value).encode(), method="PUT")
    urllib.request.urlopen(request)


def put_server(store, server, sequence):
    put(store, f"servers/s{server}",
        {"Service": "shop", "Address": f"127.0.{9 + server // 200}.{server % 200 + 1}:9",
         "Zone": REGIONS[server % len(REGIONS)] + "-a", "Version": "v1", "Slots": 6,
         "State": "ready", "WarmupLeftMs": 0, "Sequence": sequence})


def renew(store, servers, stop):
    """Writes each server's entry again and again, as running servers do."""
    sequence = 1
    while not stop.is_set():
        sequence += 1
        began = time.monotonic()
        for server in range(servers):
            if stop.is_set():
                return
            put_server(store, server, sequence)
            due = began + RENEWAL_SECONDS * (server + 1) / servers
            time.sleep(max(0.0, due - time.monotonic()))


def publish(store, servers):
    route = {"Name": "read", "Host": "shop.example", "PathPrefix": "/read/", "Kind": "idempotent",
             "TimeoutMs": 8000, "GoalMs": 1000, "Priority": 2, "Service": "shop", "MaxAttempts": 2,
             "Resumable": False, "AllowedRegions": []}
    put(store, "op/config",
        {"Version": 3, "Routes": [route], "Services": [{"Name": "shop"}], "Limits": {}})
    for server in range(servers):
        put_server(store, server, 1)


def settings(node, store):
    region = REGIONS[node % len(REGIONS)]
    return {"Node": f"front-{region}-{node}", "Ip": ip_of(node), "Zone": region + "-a",
            "Region": region, "Zones": {each + "-a": each for each in REGIONS},
            "Listen": {name: f"{ip_of(node)}:{port}" for name, port in PORTS.items()},
            "PortRange": [ADMIN_PORT, ADMIN_PORT],
            "Seeds": [f"{ip_of(seed)}:{PORTS['Control']}" for seed in range(3)],
            "Bounds": {"GraceS": 8, "RetryRatio": 0.2, "RetrySlack": 100, "RetryWindowS": 10},
            "Provider": {"Address": store}}


def processor_seconds(processes):
    ticks = 0
    for process in processes:
        with open(f"/proc/{process.pid}/stat", encoding="ascii") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def measure(build, size, seconds, servers):
    started = []
    stop = threading.Event()
    renewal = None
    with tempfile.TemporaryDirectory() as folder:
        try:
            store = subprocess.Popen([f"{build}/bin/standin_store", "--address", "127.0.0.1:0"],
                                     stdout=subprocess.PIPE, text=True)
            started.append(store)
            address = store.stdout.readline().split()[1]
            publish(address, servers)
            renewal = threading.Thread(target=renew, args=(address, servers, stop))
            renewal.start()
            nodes = []
            for node in range(size):
                path = f"{folder}/{node}.json"
                with open(path, "w", encoding="ascii") as file:
                    json.dump(settings(node, address), file)
                environment = dict(os.environ, SNIPEPLANK_SETTINGS=path)
                nodes.append(subprocess.Popen([f"{build}/bin/snipeplank"], env=environment,
                                              stdout=subprocess.DEVNULL,
                                              stderr=subprocess.DEVNULL))
                started.append(nodes[-1])
            time.sleep(SETTLE_SECONDS)
            before, began = processor_seconds(nodes), time.monotonic()
            time.sleep(seconds)
            used = processor_seconds(nodes) - before
            return used / (time.monotonic() - began) / size
        finally:
            stop.set()
            if renewal:
                renewal.join()
            for process in started:
                process.kill()
                process.wait()


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default="build", help="folder of the build")
    parser.add_argument("--seconds", type=float, default=6, help="length of the measurement")
    parser.add_argument("--servers", type=int, default=40, help="servers that renew their entries")
    parser.add_argument("sizes", metavar="SIZE", type=int, nargs="+",
                        help=f"number of nodes, at most {MAX_NODES}")
    options = parser.parse_args()
    if min(options.sizes) < 1 or max(options.sizes) > MAX_NODES:
        parser.error(f"a SIZE is 1 to {MAX_NODES}: each node is a process")
    for size in options.sizes:
        cores = measure(options.build, size, options.seconds, options.servers)
        print(f"{size} nodes: {cores:.4f} cores a node")


if __name__ == "__main__":
    main()
