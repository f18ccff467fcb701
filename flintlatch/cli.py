"""Implements the command line `flintlatch COMMAND ...`.

Each command imports its modules when it runs, so that it needs no packages but its own.
"""

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


# Of reload, upgrade and stop. The longest is an upgrade: 2 * start.ready_s + start.bind_wait_s, at most
# 1260 s.
CONTROL_TIMEOUT_S = 1300.0


def build_parser() -> argparse.ArgumentParser:
    root = argparse.ArgumentParser(
        prog="flintlatch",
        description="A load-balancing HTTP proxy that runs as a fleet of instances on one machine.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = root.add_subparsers(dest="command", required=True, metavar="COMMAND")

    def add_command(name: str, text: str) -> argparse.ArgumentParser:
        return commands.add_parser(name, help=text, description=text[0].upper() + text[1:] + ".")

    def add_config_command(name: str, text: str) -> argparse.ArgumentParser:
        command_parser = add_command(name, text)
        command_parser.add_argument("config", metavar="CONFIG", help="the fleet's configuration, a TOML file")
        return command_parser

    def add_control_command(name: str, text: str) -> argparse.ArgumentParser:
        command_parser = add_config_command(name, text)
        command_parser.add_argument(
            "--control", metavar="SOCKET", help="its control socket, if not as in CONFIG"
        )
        return command_parser

    add_config_command(
        "fleet", "run a fleet in the foreground; HUP reloads, TERM drains, USR2 upgrades in place"
    )
    add_config_command(
        "check", "check a configuration and report every problem in it; exit code 2 if there is one"
    )
    status_parser = add_control_command("status", "show a running fleet: generations, instances, last reload")
    status_parser.add_argument(
        "--json", action="store_true", help="print the answer of the control socket as it is"
    )
    add_control_command(
        "reload", "have a running fleet read its configuration again, and wait for the result"
    )
    add_control_command(
        "upgrade", "have a running fleet start the program anew on the same sockets, then drain"
    )
    add_control_command("stop", "have a running fleet drain and end; once more hurries it")
    nodes_parser = add_control_command(
        "nodes", "show the list of nodes in effect, with its sources; check or confirm a version"
    )
    nodes_parser.add_argument(
        "--json", action="store_true", help="print the answer of the control socket as it is"
    )
    nodes_parser.add_argument(
        "--check", metavar="FILE", help="say what this file would change; exit code 1 if it would be rejected"
    )
    nodes_parser.add_argument(
        "--confirm", nargs=2, metavar=("SOURCE", "VERSION"), help="have a version that is held taken now"
    )
    peers_parser = add_control_command(
        "peers", "show the fleets that a running one knows of, with doubts and bounds"
    )
    peers_parser.add_argument(
        "--json", action="store_true", help="print the answer of the control socket as it is"
    )
    peers_parser.add_argument(
        "--share",
        type=float,
        default=1.0,
        help="exit code 1 if less than this part of the members is alive and holds the same view "
        "(default: %(default)s)",
    )
    peers_parser.add_argument("--say", metavar="TEXT", help="tell all fleets this note instead")
    peers_parser.add_argument("--subject", default="note", help="of the note (default: %(default)s)")
    peers_parser.add_argument(
        "--for", dest="for_s", type=float, default=600.0, metavar="SECONDS", help="(default: %(default)s)"
    )
    limits_parser = add_control_command(
        "limits", "show the limits of all fleets: keepers, parts, and the most under any cut"
    )
    limits_parser.add_argument(
        "--json", action="store_true", help="print the answer of the control socket as it is"
    )
    verdicts_parser = add_control_command(
        "verdicts", "show what the fleets find of servers together, and who goes on trying them"
    )
    verdicts_parser.add_argument(
        "--json", action="store_true", help="print the answer of the control socket as it is"
    )
    for name, text in (
        ("origin", "run the origin of delivery: it commits a watched file of objects; USR1 logs its status"),
        ("relay", "run a relay of delivery between the origin and proxies; USR1 logs its status"),
        ("follow", "follow objects at the relays and show what is in force, its age and the bounds"),
    ):
        delivery_parser = add_command(name, text)
        delivery_parser.add_argument("config", metavar="FILE", help="its [delivery] table, a TOML file")
    # After the loop, `delivery_parser` is the parser of `follow`: the other two have no more arguments.
    delivery_parser.add_argument("names", nargs="*", metavar="NAME", help="of objects, if not those in FILE")
    delivery_parser.add_argument("--json", action="store_true", help="a row a line, with the machine's clock")
    delivery_parser.add_argument(
        "--once", action="store_true", help="show all that is in force once it is there"
    )
    demo_parser = add_command(
        "demo", "run stand-in nodes and a fleet on loopback, through a reload and a node's death"
    )
    demo_parser.add_argument("--seed", type=int, default=1, help="of the traffic (default: %(default)s)")
    demo_parser.add_argument("--seconds", type=float, default=12.0, help="of traffic (default: %(default)s)")
    demo_parser.add_argument("--instances", type=int, default=4, help="of the fleet (default: %(default)s)")
    standin_parser = add_command("standin", "run one stand-in peer by itself, to try things by hand")
    standins = standin_parser.add_subparsers(dest="part", required=True, metavar="PART")
    node_parser = standins.add_parser("node", help="a node with a capacity, a queue and a cold start")
    node_parser.add_argument("--listen", default="127.0.0.1:9001", help="host:port (default: %(default)s)")
    node_parser.add_argument("--uid", default="s1", help="(default: %(default)s)")
    node_parser.add_argument(
        "--slots", type=int, default=8, help="requests at work at once (default: %(default)s)"
    )
    node_parser.add_argument(
        "--work-ms", type=float, default=20.0, help="of one request (default: %(default)s)"
    )
    node_parser.add_argument("--seed", type=int, default=1)
    registry_parser = standins.add_parser("registry", help="a registry that lists the given nodes")
    registry_parser.add_argument(
        "--listen", default="127.0.0.1:8500", help="host:port (default: %(default)s)"
    )
    registry_parser.add_argument("nodes", nargs="+", metavar="UID=HOST:PORT")
    client_parser = standins.add_parser(
        "client", help="mixed traffic for the classes of deploy/fleet.toml, with a ledger"
    )
    client_parser.add_argument("address", metavar="HOST:PORT")
    client_parser.add_argument(
        "--rate", type=float, default=100.0, help="requests a second (default: %(default)s)"
    )
    client_parser.add_argument("--seconds", type=float, default=10.0, help="(default: %(default)s)")
    client_parser.add_argument("--seed", type=int, default=1)
    return root


def check_command(path: str) -> int:
    from flintlatch.config import InvalidConfig, load

    try:
        config = load(path)
    except InvalidConfig as error:
        print(error, file=sys.stderr)
        count = len(error.problems)
        print(f"{path}: {count} problem{'s' * (count > 1)}", file=sys.stderr)
        return 2
    source_names = {
        "registry": config.nodes.registry,
        "files": ", ".join(config.nodes.files),
        "catalogue": config.nodes.catalogue,
        "delivery": config.nodes.service,
    }
    source = source_names.get(config.nodes.source) or f"{len(config.nodes.static)} named"
    print(f"{path}: good: {config.fleet.instances} instances, {len(config.classes)} classes, nodes: {source}")
    return 0


def send_request(
    args: argparse.Namespace, request: dict[str, Any], timeout_s: float = 30.0
) -> dict[str, Any] | None:
    """Returns the running fleet's answer on its control socket.

    If there is none, prints the reason and returns None. `timeout_s` bounds each wait on the socket."""
    from flintlatch.config import InvalidConfig, find_control_socket
    from flintlatch.fleet.control import ControlError, send_control_request

    try:
        return send_control_request(args.control or find_control_socket(args.config), request, timeout_s)
    except (InvalidConfig, ControlError) as error:
        print(error, file=sys.stderr)
        return None


def send_and_require_ok(args: argparse.Namespace, request: dict[str, Any]) -> dict[str, Any] | None:
    """Sends a request as `send_request` does. Also prints a refusal by the fleet and returns None for it."""
    answer = send_request(args, request)
    if answer is not None and not answer["ok"]:
        print(f"{request['do']}: {answer['reason']}", file=sys.stderr)
        return None
    return answer


def control_command(command: str, args: argparse.Namespace) -> int:
    # A reload waits up to start.ready_s for the list of nodes, then as long again for the new generation.
    answer = send_request(args, {"do": command}, CONTROL_TIMEOUT_S)
    if answer is None:
        return 1
    if not answer["ok"]:
        print(f"{command}: {answer['reason']}", file=sys.stderr)
        return 1
    print({"reload": f"serving generation {answer.get('generation')}", "stop": "draining",
           "upgrade": f"process {answer.get('pid')} has taken over"}[command])  # fmt: skip
    return 0


def status_command(args: argparse.Namespace) -> int:
    answer = send_request(args, {"do": "status"})
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
        failure = f" ({nodes['failure']})" if nodes.get("failure") else ""
        nodes_text = (
            f"{nodes.get('count')} nodes, version {nodes.get('rev')}, "
            f"heard {nodes.get('age_s')} s ago{failure}"
        )
        print(f"generation {generation['generation']}: {generation['state']}; {nodes_text}")
        for slot in generation["slots"]:
            if slot["state"] != "running" or slot["restarts"]:
                crashes = f"{slot['restarts']} restarts, last crash: {slot['last_crash'] or 'none'}"
                print(f"  instance {slot['number']}: {slot['state']}, {crashes}")
    row_format = "{:>6} {:>10} {:>8} {:>8} {:<9} {:>7} {:>9} {:>8} {:>7}"
    print(
        row_format.format(
            "worker", "generation", "instance", "pid", "state", "age s", "in flight", "clients", "MB"
        )
    )
    keys = ("worker", "generation", "number", "pid", "state", "age_s", "in_flight", "clients", "rss_mb")
    for instance in answer["instances"]:
        print(row_format.format(*("-" if instance[key] is None else instance[key] for key in keys)))
    for line in answer["news"]:
        print(line)
    return 0


def nodes_command(args: argparse.Namespace) -> int:
    if args.confirm:
        source, version = args.confirm
        answer = send_request(args, {"do": "confirm", "source": source, "version": version})
        if answer is not None and not answer["ok"]:
            print(f"confirm: {answer['reason']}", file=sys.stderr)
        return 0 if answer is not None and answer["ok"] else 1
    if args.check:
        return check_nodes_file(args)
    answer = send_request(args, {"do": "nodes"})
    if answer is None or not answer["ok"]:
        return 1
    if args.json:
        print(json.dumps(answer, indent=2))
        return 0
    for source in answer["sources"]:
        unconfirmed = ", old: not confirmed since the restart" if source["old"] else ""
        held = f", version {source['held']} held for {source['held_for_s']} s" if source["held"] else ""
        failure = f", {source['failure']}" if source["failure"] else ""
        print(
            f"{source['source']}: version {source['version']}, {source['nodes']} nodes, "
            f"{source['rejected']} rejected{unconfirmed}{held}{failure}"
        )
        if (delivery := source.get("delivery")) is not None:
            age = "no age" if delivery["age_s"] is None else f"at most {delivery['age_s']} s old"
            complaint = f"; {delivery['complaint']}" if delivery["complaint"] else ""
            print(f"  revision {delivery['revision']}, {age}, relay {delivery['relay'] or 'none'}{complaint}")
        for rejection in source["rejections"][-1:]:
            print(f"  last rejection: {'; '.join(rejection['faults'])}")
    row_format = "{:<24} {:<24} {:<8} {:>8}"
    print(row_format.format("uid", "address", "state", "weight"))
    for target in answer["list"]["targets"]:
        keys = ("uid", "endpoint", "state", "capacity_hint")
        print(row_format.format(*(target[key] for key in keys)))
    return 0


def peers_command(args: argparse.Namespace) -> int:
    if args.say:
        request = {"do": "note", "subject": args.subject, "text": args.say, "for_s": args.for_s}
        answer = send_and_require_ok(args, request)
        if answer is None:
            return 1
        print(f"told; nobody shows it later than {answer['until_at_most_s']} s from now")
        return 0
    answer = send_and_require_ok(args, {"do": "peers"})
    if answer is None:
        return 1
    if args.json:
        print(json.dumps(answer, indent=2))
    elif not answer["member"]:
        print(f"no member: {answer['complaint'] or 'not open yet'}; the instances count as configured")
    else:
        print_peers(answer)
    if not answer["member"]:
        return 1
    agreeing = sum(row["state"] == "alive" and row["agrees"] is True for row in answer["members"])
    return 0 if agreeing >= args.share * len(answer["members"]) else 1


def print_peers(answer: dict[str, Any]) -> None:
    warnings = "" if answer["joined"] else "; nobody met yet"
    warnings += f"; doubts itself, {answer['health']} steps slower" if answer["health"] else ""
    address = f"{answer['address']} (bound {answer['bound']})"
    print(f"{answer['name']} at {address}, view {answer['digest']}{warnings}")
    print(f"{answer['proxies']} instances believed in, ours from number {answer['first']}")
    bounds = answer["bounds"]
    print(
        f"bounds: a death found within {bounds['found_dead_s']} s, the number falls within "
        f"{bounds['number_falls_s']} s, instances without word alone within {bounds['instances_alone_s']} s"
    )
    row_format = "{:<20} {:<22} {:<8} {:>5} {:>9} {:<10} {:<10} {:>8} {:>8} {:<6} {}"
    headings = (
        "name",
        "address",
        "state",
        "inc",
        "instances",
        "zone",
        "region",
        "heard s",
        "rtt ms",
        "agrees",
    )
    print(row_format.format(*headings, "accusers"))
    keys = ("name", "address", "state", "incarnation", "instances", "zone", "region", "heard_s", "rtt_ms")
    for member in answer["members"]:
        cells = ["-" if member[key] in (None, "") else member[key] for key in keys]
        agrees = {True: "yes", False: "no", None: "-"}[member["agrees"]]
        print(row_format.format(*cells, "me" if member["me"] else agrees, " ".join(member["accusers"])))
    for note in answer["notes"]:
        print(f"note of {note['by']} ({note['subject']}), {note['left_s']:.0f} s left: {note['text']}")


def limits_command(args: argparse.Namespace) -> int:
    answer = send_and_require_ok(args, {"do": "limits"})
    if answer is None:
        return 1
    if args.json:
        print(json.dumps(answer, indent=2))
        return 0
    row_format = "{:<20} {:<10} {:<10} {:>9} {:>7} {:<7} {:<16} {:>9} {:>9} {:>9} {:>10} {:>10}"
    headings = ("limit", "tenant", "class", "per s", "burst", "cut", "keeper", "asked", "lent", "granted")
    print(row_format.format(*headings, "most whole", "most cut"))
    keys = ("limit", "tenant", "class", "per_s", "burst", "when_cut", "keeper", "asked_here", "lent_here",
            "granted", "most_without_cuts", "most_in_a_second")  # fmt: skip
    for limit in answer["limits"]:
        print(row_format.format(*("-" if limit[key] in (None, "") else limit[key] for key in keys)))
    print("most: requests that all fleets together take in any second, with no link cut and under any cut")
    return 0


def verdicts_command(args: argparse.Namespace) -> int:
    answer = send_and_require_ok(args, {"do": "verdicts"})
    if answer is None:
        return 1
    if args.json:
        print(json.dumps(answer, indent=2))
        return 0
    for fleet in answer["ill"]:
        print(f"{fleet} finds most servers bad and others don't: its voice counts for nothing")
    if answer["many"]:
        print(f"{answer['many']} servers found bad: too many to leave, all are used")
    row_format = "{:<24} {:<10} {:<12} {:<7} {:<28} {}"
    print(row_format.format("server", "out", "for zone", "shunned", "voices", "tried by"))
    for server in answer["servers"]:
        ejected = "yes" if server["out"] else "no"
        ejected_here = "yes" if server["shunned_here"] else "no"
        zone = server["zone"] or "all" if server["out"] else "-"
        print(
            row_format.format(
                server["server"],
                ejected,
                zone,
                ejected_here,
                " ".join(server["voices"]),
                " ".join(server["tries"]),
            )
        )
    return 0


def check_nodes_file(args: argparse.Namespace) -> int:
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
    answer = send_request(args, {"do": "nodes"})
    if answer is None or not answer["ok"]:
        print("no fleet runs to compare it with")
        return 0
    current = {target["uid"]: target for target in answer["list"]["targets"]}
    new = {node.uid: node for node in content.nodes}
    removed = [uid for uid, target in current.items() if target["state"] == "active" and uid not in new]
    drained = [uid for uid, node in new.items() if uid in current and node.state.value == "draining"]
    drained = [uid for uid in drained if current[uid]["state"] == "active"]
    for change, uids in (
        ("adds", [uid for uid in new if uid not in current]),
        ("removes", removed),
        ("drains", drained),
    ):
        print(f"{change} {len(uids)}: {', '.join(uids[:10])}{', ...' if len(uids) > 10 else ''}")
    return 0


def delivery_command(args: argparse.Namespace) -> int:
    """Runs the origin, a relay or a follower of delivery."""
    try:
        import uvloop

        from flintlatch.config import InvalidConfig
        from flintlatch.config.delivery import load_follower, load_origin, load_relay
        from flintlatch.delivery import run
    except ModuleNotFoundError as error:
        expected = "expected pip install flintlatch[peers]"
        print(f"flintlatch {args.command}: error: {error.name} is not installed; {expected}", file=sys.stderr)
        return 1
    try:
        if args.command == "origin":
            origin_table = load_origin(args.config)
            common = origin_table.common
            return uvloop.run(
                run.run_origin(
                    common.identity,
                    origin_table.bind,
                    common.upstream_rules,
                    common.keys,
                    origin_table.source_path,
                    origin_table.state_path,
                )
            )
        if args.command == "relay":
            relay_table = load_relay(args.config)
            common, upstreams = relay_table.common, (relay_table.origin,)
            return uvloop.run(
                run.run_relay(
                    common.identity,
                    relay_table.bind,
                    common.rules,
                    common.keys,
                    upstreams,
                    relay_table.source_host,
                    common.upstream_rules,
                )
            )
        follower_table = load_follower(args.config, tuple(args.names))
    except InvalidConfig as error:
        print(error, file=sys.stderr)
        return 2
    common = follower_table.common
    return uvloop.run(
        run.run_follower(
            common.identity,
            follower_table.relays,
            follower_table.names,
            common.rules,
            common.keys,
            follower_table.source_host,
            args.json,
            args.once,
        )
    )


def main(arguments: list[str] | None = None) -> int:
    args = build_parser().parse_args(arguments)
    if args.command == "fleet":
        try:
            from flintlatch.fleet.supervisor import run
        except ModuleNotFoundError as error:
            expected = "expected pip install flintlatch[fleet]"
            print(f"flintlatch fleet: error: {error.name} is not installed; {expected}", file=sys.stderr)
            return 1
        return run(args.config, os.environ)
    if args.command == "check":
        return check_command(args.config)
    if args.command == "status":
        return status_command(args)
    if args.command == "nodes":
        return nodes_command(args)
    if args.command == "peers":
        return peers_command(args)
    if args.command == "limits":
        return limits_command(args)
    if args.command == "verdicts":
        return verdicts_command(args)
    if args.command in ("reload", "upgrade", "stop"):
        return control_command(args.command, args)
    if args.command in ("origin", "relay", "follow"):
        return delivery_command(args)
    if args.command == "demo":
        from flintlatch.standin.demo import run as run_demo

        return run_demo(args.seed, args.seconds, args.instances)
    from flintlatch.standin.alone import run as run_alone

    return run_alone(args)


if __name__ == "__main__":
    sys.exit(main())
