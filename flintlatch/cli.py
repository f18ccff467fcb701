"""The command line: `flintlatch COMMAND ...`. Each command imports what it needs when it runs."""

from __future__ import annotations

import argparse
import json
import os
import sys
from typing import Any

EPILOG = """\
A first look:       flintlatch demo
A fleet of yours:   write fleet.toml (deploy/fleet.toml is an example), then
                    flintlatch check fleet.toml && flintlatch fleet fleet.toml
Ask a running one:  flintlatch status fleet.toml
"""


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(
        prog="flintlatch",
        description="A load-balancing HTTP proxy that runs as a fleet of instances on one machine.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = top.add_subparsers(dest="command", required=True, metavar="COMMAND")

    def command(name: str, text: str) -> argparse.ArgumentParser:
        return commands.add_parser(name, help=text, description=text[0].upper() + text[1:] + ".")

    def with_config(name: str, text: str) -> argparse.ArgumentParser:
        added = command(name, text)
        added.add_argument("config", metavar="CONFIG", help="the fleet's configuration, a TOML file")
        return added

    def running(name: str, text: str) -> argparse.ArgumentParser:
        added = with_config(name, text)
        added.add_argument("--control", metavar="SOCKET", help="its control socket, if not as in CONFIG")
        return added

    with_config("fleet", "run a fleet in the foreground; HUP reloads, TERM drains, USR2 upgrades in place")
    with_config("check", "check a configuration and report every problem in it; exit code 2 if there is one")
    status = running("status", "show a running fleet: generations, instances, last reload")
    status.add_argument("--json", action="store_true", help="print the answer of the control socket as it is")
    running("reload", "have a running fleet read its configuration again, and wait for the result")
    running("upgrade", "have a running fleet start the program anew on the same sockets, then drain")
    running("stop", "have a running fleet drain and end; once more hurries it")
    nodes = running("nodes", "show the list of nodes in effect, with its sources; check or confirm a version")
    nodes.add_argument("--json", action="store_true", help="print the answer of the control socket as it is")
    nodes.add_argument(
        "--check", metavar="FILE", help="say what this file would change; exit code 1 if it would be rejected"
    )
    nodes.add_argument(
        "--confirm", nargs=2, metavar=("SOURCE", "VERSION"), help="have a version that is held taken now"
    )
    peers = running("peers", "show the fleets that a running one knows of, with doubts and bounds")
    peers.add_argument("--json", action="store_true", help="print the answer of the control socket as it is")
    peers.add_argument(
        "--share",
        type=float,
        default=1.0,
        help="exit code 1 if less than this part of the members is alive and holds the same view "
        "(default: %(default)s)",
    )
    peers.add_argument("--say", metavar="TEXT", help="tell all fleets this note instead")
    peers.add_argument("--subject", default="note", help="of the note (default: %(default)s)")
    peers.add_argument(
        "--for", dest="for_s", type=float, default=600.0, metavar="SECONDS", help="(default: %(default)s)"
    )
    limits = running("limits", "show the limits of all fleets: keepers, parts, and the most under any cut")
    limits.add_argument("--json", action="store_true", help="print the answer of the control socket as it is")
    verdicts = running(
        "verdicts", "show what the fleets find of servers together, and who goes on trying them"
    )
    verdicts.add_argument(
        "--json", action="store_true", help="print the answer of the control socket as it is"
    )
    for name, text in (
        ("origin", "run the origin of delivery: it commits a watched file of objects; USR1 logs its status"),
        ("relay", "run a relay of delivery between the origin and proxies; USR1 logs its status"),
        ("follow", "follow objects at the relays and show what is in force, its age and the bounds"),
    ):
        delivery = command(name, text)
        delivery.add_argument("config", metavar="FILE", help="its [delivery] table, a TOML file")
    delivery.add_argument("names", nargs="*", metavar="NAME", help="of objects, if not those in FILE")
    delivery.add_argument("--json", action="store_true", help="a row a line, with the machine's clock")
    delivery.add_argument("--once", action="store_true", help="show all that is in force once it is there")
    demo = command("demo", "run stand-in nodes and a fleet on loopback, through a reload and a node's death")
    demo.add_argument("--seed", type=int, default=1, help="of the traffic (default: %(default)s)")
    demo.add_argument("--seconds", type=float, default=12.0, help="of traffic (default: %(default)s)")
    demo.add_argument("--instances", type=int, default=4, help="of the fleet (default: %(default)s)")
    standin = command("standin", "run one stand-in peer by itself, to try things by hand")
    parts = standin.add_subparsers(dest="part", required=True, metavar="PART")
    node = parts.add_parser("node", help="a node with a capacity, a queue and a cold start")
    node.add_argument("--listen", default="127.0.0.1:9001", help="host:port (default: %(default)s)")
    node.add_argument("--uid", default="s1", help="(default: %(default)s)")
    node.add_argument("--slots", type=int, default=8, help="requests at work at once (default: %(default)s)")
    node.add_argument("--work-ms", type=float, default=20.0, help="of one request (default: %(default)s)")
    node.add_argument("--seed", type=int, default=1)
    registry = parts.add_parser("registry", help="a registry that lists the given nodes")
    registry.add_argument("--listen", default="127.0.0.1:8500", help="host:port (default: %(default)s)")
    registry.add_argument("nodes", nargs="+", metavar="UID=HOST:PORT")
    client = parts.add_parser(
        "client", help="mixed traffic for the classes of deploy/fleet.toml, with a ledger"
    )
    client.add_argument("address", metavar="HOST:PORT")
    client.add_argument("--rate", type=float, default=100.0, help="requests a second (default: %(default)s)")
    client.add_argument("--seconds", type=float, default=10.0, help="(default: %(default)s)")
    client.add_argument("--seed", type=int, default=1)
    return top


def check(path: str) -> int:
    from flintlatch.config import Unusable, load

    try:
        config = load(path)
    except Unusable as error:
        print(error, file=sys.stderr)
        count = len(error.problems)
        print(f"{path}: {count} problem{'s' * (count > 1)}", file=sys.stderr)
        return 2
    named = {
        "registry": config.nodes.registry,
        "files": ", ".join(config.nodes.files),
        "catalogue": config.nodes.catalogue,
        "delivery": config.nodes.service,
    }
    source = named.get(config.nodes.source) or f"{len(config.nodes.static)} named"
    print(f"{path}: good: {config.fleet.instances} instances, {len(config.classes)} classes, nodes: {source}")
    return 0


def ask(args: argparse.Namespace, request: dict[str, Any], timeout_s: float = 30.0) -> dict[str, Any] | None:
    """The running fleet's answer; None, after a line that says why, if there is none."""
    from flintlatch.config import Unusable, find_control
    from flintlatch.fleet.control import Taken
    from flintlatch.fleet.control import ask as ask_fleet

    try:
        return ask_fleet(args.control or find_control(args.config), request, timeout_s)
    except (Unusable, Taken) as error:
        print(error, file=sys.stderr)
        return None


def answered(args: argparse.Namespace, request: dict[str, Any]) -> dict[str, Any] | None:
    """The same, where an answer that is a refusal is a line too."""
    answer = ask(args, request)
    if answer is not None and not answer["ok"]:
        print(f"{request['do']}: {answer['reason']}", file=sys.stderr)
        return None
    return answer


def command_running(command: str, args: argparse.Namespace) -> int:
    # A reload waits for the nodes' list and for the new generation, each within its limit.
    answer = ask(args, {"do": command}, 1300.0)
    if answer is None:
        return 1
    if not answer["ok"]:
        print(f"{command}: {answer['reason']}", file=sys.stderr)
        return 1
    print({"reload": f"serving generation {answer.get('generation')}", "stop": "draining",
           "upgrade": f"process {answer.get('pid')} has taken over"}[command])  # fmt: skip
    return 0


def status(args: argparse.Namespace) -> int:
    answer = ask(args, {"do": "status"})
    if answer is None:
        return 1
    if args.json:
        print(json.dumps(answer, indent=2))
        return 0
    print(f"{answer['name']} (pid {answer['pid']}), {answer['phase']}: {answer['summary']}")
    print(f"listens on {', '.join(answer['listen'])}; was ready after {answer['ready_after_s']} s")
    if last := answer["last_reload"]:
        print(f"last reload: {'good' if last['ok'] else last['reason']}, took {last['took_s']} s")
    for generation in answer["generations"]:
        nodes = generation["nodes"]
        late = f" ({nodes['failure']})" if nodes.get("failure") else ""
        known = (
            f"{nodes.get('count')} nodes, version {nodes.get('rev')}, heard {nodes.get('age_s')} s ago{late}"
        )
        print(f"generation {generation['generation']}: {generation['state']}; {known}")
        for slot in generation["slots"]:
            if slot["state"] != "running" or slot["restarts"]:
                told = f"{slot['restarts']} restarts, last crash: {slot['last_crash'] or 'none'}"
                print(f"  instance {slot['number']}: {slot['state']}, {told}")
    row = "{:>6} {:>10} {:>8} {:>8} {:<9} {:>7} {:>9} {:>8} {:>7}"
    print(
        row.format("worker", "generation", "instance", "pid", "state", "age s", "in flight", "clients", "MB")
    )
    keys = ("worker", "generation", "number", "pid", "state", "age_s", "in_flight", "clients", "rss_mb")
    for one in answer["instances"]:
        print(row.format(*("-" if one[key] is None else one[key] for key in keys)))
    for line in answer["news"]:
        print(line)
    return 0


def nodes(args: argparse.Namespace) -> int:
    if args.confirm:
        source, version = args.confirm
        answer = ask(args, {"do": "confirm", "source": source, "version": version})
        if answer is not None and not answer["ok"]:
            print(f"confirm: {answer['reason']}", file=sys.stderr)
        return 0 if answer is not None and answer["ok"] else 1
    if args.check:
        return check_nodes(args)
    answer = ask(args, {"do": "nodes"})
    if answer is None or not answer["ok"]:
        return 1
    if args.json:
        print(json.dumps(answer, indent=2))
        return 0
    for source in answer["sources"]:
        old = ", old: not confirmed since the restart" if source["old"] else ""
        held = f", version {source['held']} held for {source['held_for_s']} s" if source["held"] else ""
        failure = f", {source['failure']}" if source["failure"] else ""
        print(
            f"{source['source']}: version {source['version']}, {source['nodes']} nodes, "
            f"{source['rejected']} rejected{old}{held}{failure}"
        )
        if (told := source.get("delivery")) is not None:
            age = "no age" if told["age_s"] is None else f"at most {told['age_s']} s old"
            why = f"; {told['complaint']}" if told["complaint"] else ""
            print(f"  revision {told['revision']}, {age}, relay {told['relay'] or 'none'}{why}")
        for one in source["rejections"][-1:]:
            print(f"  last rejection: {'; '.join(one['faults'])}")
    row = "{:<24} {:<24} {:<8} {:>8}"
    print(row.format("uid", "address", "state", "weight"))
    for target in answer["list"]["targets"]:
        keys = ("uid", "endpoint", "state", "capacity_hint")
        print(row.format(*(target[key] for key in keys)))
    return 0


def peers(args: argparse.Namespace) -> int:
    if args.say:
        request = {"do": "note", "subject": args.subject, "text": args.say, "for_s": args.for_s}
        answer = answered(args, request)
        if answer is None:
            return 1
        print(f"told; nobody shows it later than {answer['until_at_most_s']} s from now")
        return 0
    answer = answered(args, {"do": "peers"})
    if answer is None:
        return 1
    if args.json:
        print(json.dumps(answer, indent=2))
    elif not answer["member"]:
        print(f"no member: {answer['complaint'] or 'not open yet'}; the instances count as configured")
    else:
        show_peers(answer)
    if not answer["member"]:
        return 1
    good = sum(row["state"] == "alive" and row["agrees"] is True for row in answer["members"])
    return 0 if good >= args.share * len(answer["members"]) else 1


def show_peers(answer: dict[str, Any]) -> None:
    doubt = "" if answer["joined"] else "; nobody met yet"
    doubt += f"; doubts itself, {answer['health']} steps slower" if answer["health"] else ""
    where = f"{answer['address']} (bound {answer['bound']})"
    print(f"{answer['name']} at {where}, view {answer['digest']}{doubt}")
    print(f"{answer['proxies']} instances believed in, ours from number {answer['first']}")
    bounds = answer["bounds"]
    print(
        f"bounds: a death found within {bounds['found_dead_s']} s, the number falls within "
        f"{bounds['number_falls_s']} s, instances without word alone within {bounds['instances_alone_s']} s"
    )
    row = "{:<20} {:<22} {:<8} {:>5} {:>9} {:<10} {:<10} {:>8} {:>8} {:<6} {}"
    names = ("name", "address", "state", "inc", "instances", "zone", "region", "heard s", "rtt ms", "agrees")
    print(row.format(*names, "accusers"))
    keys = ("name", "address", "state", "incarnation", "instances", "zone", "region", "heard_s", "rtt_ms")
    for one in answer["members"]:
        cells = ["-" if one[key] in (None, "") else one[key] for key in keys]
        agrees = {True: "yes", False: "no", None: "-"}[one["agrees"]]
        print(row.format(*cells, "me" if one["me"] else agrees, " ".join(one["accusers"])))
    for note in answer["notes"]:
        print(f"note of {note['by']} ({note['subject']}), {note['left_s']:.0f} s left: {note['text']}")


def limits(args: argparse.Namespace) -> int:
    answer = answered(args, {"do": "limits"})
    if answer is None:
        return 1
    if args.json:
        print(json.dumps(answer, indent=2))
        return 0
    row = "{:<20} {:<10} {:<10} {:>9} {:>7} {:<7} {:<16} {:>9} {:>9} {:>9} {:>10} {:>10}"
    names = ("limit", "tenant", "class", "per s", "burst", "cut", "keeper", "asked", "lent", "granted")
    print(row.format(*names, "most whole", "most cut"))
    keys = ("limit", "tenant", "class", "per_s", "burst", "when_cut", "keeper", "asked_here", "lent_here",
            "granted", "most_without_cuts", "most_in_a_second")  # fmt: skip
    for one in answer["limits"]:
        print(row.format(*("-" if one[key] in (None, "") else one[key] for key in keys)))
    print("most: requests that all fleets together take in any second, with no link cut and under any cut")
    return 0


def verdicts(args: argparse.Namespace) -> int:
    answer = answered(args, {"do": "verdicts"})
    if answer is None:
        return 1
    if args.json:
        print(json.dumps(answer, indent=2))
        return 0
    for fleet in answer["ill"]:
        print(f"{fleet} finds most servers bad and others don't: its voice counts for nothing")
    if answer["many"]:
        print(f"{answer['many']} servers found bad: too many to leave, all are used")
    row = "{:<24} {:<10} {:<12} {:<7} {:<28} {}"
    print(row.format("server", "out", "for zone", "shunned", "voices", "tried by"))
    for one in answer["servers"]:
        out = "yes" if one["out"] else "no"
        shunned = "yes" if one["shunned_here"] else "no"
        zone = one["zone"] or "all" if one["out"] else "-"
        print(row.format(one["server"], out, zone, shunned, " ".join(one["voices"]), " ".join(one["tries"])))
    return 0


def check_nodes(args: argparse.Namespace) -> int:
    from flintlatch.membership import InvalidDocument
    from flintlatch.membership.files import read_regular_file
    from flintlatch.membership.formats import read_file_content

    try:
        content = read_file_content(args.check, read_regular_file(args.check).data)
    except OSError as error:
        print(f"{args.check}: {error.strerror}", file=sys.stderr)
        return 1
    except InvalidDocument as error:
        for fault in error.faults:
            print(f"{args.check}: {fault}", file=sys.stderr)
        print(f"{args.check}: would be rejected", file=sys.stderr)
        return 1
    if not content.nodes:
        print(f"{args.check}: no node: would be rejected", file=sys.stderr)
        return 1
    print(f"{args.check}: good: {len(content.nodes)} nodes")
    answer = ask(args, {"do": "nodes"})
    if answer is None or not answer["ok"]:
        print("no fleet runs to compare it with")
        return 0
    before = {target["uid"]: target for target in answer["list"]["targets"]}
    after = {node.uid: node for node in content.nodes}
    lost = [u for u, t in before.items() if t["state"] == "active" and u not in after]
    drained = [u for u, n in after.items() if u in before and n.state.value == "draining"]
    drained = [u for u in drained if before[u]["state"] == "active"]
    for word, uids in (
        ("adds", [u for u in after if u not in before]),
        ("removes", lost),
        ("drains", drained),
    ):
        print(f"{word} {len(uids)}: {', '.join(uids[:10])}{', ...' if len(uids) > 10 else ''}")
    return 0


def delivery(args: argparse.Namespace) -> int:
    """One of delivery's own processes."""
    try:
        import uvloop

        from flintlatch.config import Unusable
        from flintlatch.config.delivery import load_follow, load_origin, load_relay
        from flintlatch.delivery import run
    except ModuleNotFoundError as error:
        expected = "expected pip install flintlatch[peers]"
        print(f"flintlatch {args.command}: error: {error.name} is not installed; {expected}", file=sys.stderr)
        return 1
    try:
        if args.command == "origin":
            top = load_origin(args.config)
            one = top.common
            return uvloop.run(run.origin(one.me, top.bind, one.upward, one.keys, top.source, top.kept))
        if args.command == "relay":
            below = load_relay(args.config)
            one, above = below.common, (below.origin,)
            return uvloop.run(
                run.relay(one.me, below.bind, one.rules, one.keys, above, below.source_host, one.upward)
            )
        row = load_follow(args.config, tuple(args.names))
    except Unusable as error:
        print(error, file=sys.stderr)
        return 2
    one = row.common
    return uvloop.run(
        run.follow(one.me, row.relays, row.names, one.rules, one.keys, row.source_host, args.json, args.once)
    )


def main(arguments: list[str] | None = None) -> int:
    args = parser().parse_args(arguments)
    if args.command == "fleet":
        try:
            from flintlatch.fleet.supervisor import run
        except ModuleNotFoundError as error:
            expected = "expected pip install flintlatch[fleet]"
            print(f"flintlatch fleet: error: {error.name} is not installed; {expected}", file=sys.stderr)
            return 1
        return run(args.config, os.environ)
    if args.command == "check":
        return check(args.config)
    if args.command == "status":
        return status(args)
    if args.command == "nodes":
        return nodes(args)
    if args.command == "peers":
        return peers(args)
    if args.command == "limits":
        return limits(args)
    if args.command == "verdicts":
        return verdicts(args)
    if args.command in ("reload", "upgrade", "stop"):
        return command_running(args.command, args)
    if args.command in ("origin", "relay", "follow"):
        return delivery(args)
    if args.command == "demo":
        from flintlatch.standin.demo import run as run_demo

        return run_demo(args.seed, args.seconds, args.instances)
    from flintlatch.standin.alone import run as run_alone

    return run_alone(args)


if __name__ == "__main__":
    sys.exit(main())
