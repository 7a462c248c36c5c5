"""A route is moved to another service, back, and again, in calm times; then users call it."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import rig as r

HOST = "lofi7.example"
TIMEOUT_S = 4.0
SERVICES = {
    name: {"MemoryMb": 128, "BootMs": 900, "MaxConcurrency": 1, "WorkMs": 60}
    for name in ("first", "print-v1", "print-v2")
}
HOSTS = {f"w-{n}": {"Zone": "chc-a", "MemoryMb": 7780} for n in range(1, 5)}


def route(name, service):
    return {
        "Name": f"r-{name}",
        "HostName": HOST,
        "PathPrefix": f"/{name}/",
        "RouteKind": "safe",
        "TimeoutMs": int(TIMEOUT_S * 1000),
        "TargetLatencyMs": 1500,
        "Priority": 2,
        "Service": service,
        "MaxAttempts": 2,
    }


def service(name):
    return {
        "Name": name,
        "HealthPath": None,
        "ConnectionLimit": 22,
        "Protocol": "h1",
        "TlsEnabled": False,
        "MemoryMb": 128,
        "BootMs": 900,
        "MaxConcurrency": 1,
    }


CONFIG = {
    "Version": 3,
    "Routes": [route("first", "first")],
    "Services": [service(name) for name in SERVICES],
    "Limits": r.LIMITS,
}


async def user(rig, front, path, rid, results):
    began = time.monotonic()
    writer = None
    try:
        reader, writer = await asyncio.open_connection(rig.fronts[front], rig.front_port)
        writer.write(
            f"GET /{path}/{rid} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {rid}\r\n"
            f"Remaining-Milliseconds: {int(TIMEOUT_S * 1000)}\r\n\r\n".encode()
        )
        rig.log(f"client: {rid} /{path}/ at {front} sent")
        got = await asyncio.wait_for(r.read_head(reader), TIMEOUT_S + 2)
        status = got[0].split(" ")[1] if got else "closed"
    except asyncio.TimeoutError:
        status = "no answer"
    except OSError:
        status = "closed"
    finally:
        if writer:
            writer.close()
    results.append((path, status))
    rig.log(
        f"client: {rid} /{path}/ at {front} -> {status} after {time.monotonic() - began:.3f} s"
    )


async def users(rig, tag, paths, count=6, waves=1, gap=1.0):
    """So many requests on each path at each front, in waves."""
    results = []
    tasks = []
    for wave in range(waves):
        for path in paths:
            for front in rig.fronts:
                for n in range(count):
                    rid = f"{tag}-{path}-{front}-{wave}-{n}"
                    tasks.append(asyncio.ensure_future(user(rig, front, path, rid, results)))
        await asyncio.sleep(gap)
    await asyncio.gather(*tasks)
    return results


async def case(rig, trouble):
    await rig.start(SERVICES, HOSTS)
    await rig.until_taken("/v1/configuration/replace", 0, CONFIG)
    for front in rig.fronts:
        await rig.until_ready(front)

    version = 3

    async def change(to):
        nonlocal version
        tree = {"Version": version + 2, "Upserts": {"Routes": [route("print", to)]}, "Removals": {}}
        await rig.until_taken("/v1/configuration/modify", version, tree)
        version += 2
        rig.log(f"operator: /print/ goes to {to} from version {version} on")
        await asyncio.sleep(5)  # over ConfigApplyMs and ContactMs: nothing is under way any more

    await change("print-v1")  # the route is added: version 5
    await users(rig, "v1", ["first", "print"])
    if trouble:
        for to in ("print-v2", "print-v1", "print-v2"):  # out, back, out again
            await change(to)
            if version < 11:
                await users(rig, f"move{version}", ["first", "print"])
    got = await users(rig, "judged", ["first", "print"], waves=10)
    share = {}
    for path in ("first", "print"):
        all_of = [s for p, s in got if p == path]
        share[path] = sum(s == "200" for s in all_of) / len(all_of)
        rig.log(f"/{path}/: {len(all_of)} requests, served {share[path]:.2f}")
    got = await rig.read_back()
    if got:
        rig.log(f"operator: services of the routes {[x['Service'] for x in got['Routes']]}")
    return not share["print"] < share["first"] / 4


r.main(case, Path(__file__).parent, fronts=2, cores=3, record="record.txt")
