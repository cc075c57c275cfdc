"""Runs two builds of limewing beside each other, and each on the files that the other wrote.

Called by mixed-versions.sh. The stand-ins for the endpoint list, the rollout service and the pods are small HTTP servers of
this process. Every wait has a bound; a case that fails says what it waited for, and the next case runs all the same.
"""

import http.client
import http.server
import json
import os
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile
import threading
import time

WAIT_S = 30  # Bound of each wait for a condition.
CALL_TIMEOUT_S = 5
COMMAND_TIMEOUT_S = 60
STREAM_S = 120  # Longest life of a stage stream.
POLL_S = 0.05
LONG_POLL_S = 5
COMPACTION_ENTRIES = 400  # A voter's log is compacted once it has more entries than this.
NODES = 4
BUILD = 2  # The newest build, on trial; the pods of the earlier one have build 1.
ROOT = pathlib.Path(__file__).resolve().parent.parent


class Failure(Exception):
    """A case did not hold."""


def expect(holds, what):
    if not holds:
        raise Failure(what)


def wait_for(what, condition, seconds=WAIT_S):
    """Returns the condition's first true value."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            value = condition()
        except (OSError, ValueError, http.client.HTTPException):
            value = None
        if value:
            return value
        time.sleep(POLL_S)
    raise Failure(f"not within {seconds} s: {what}")


class Server(http.server.ThreadingHTTPServer):
    """A stand-in on a port that the system chose."""

    daemon_threads = True

    def __init__(self, handler, context):
        super().__init__(("127.0.0.1", 0), handler)
        self.context = context
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def address(self):
        return f"127.0.0.1:{self.server_address[1]}"

    def stop(self):
        self.shutdown()
        self.server_close()

    def handle_error(self, request, client_address):
        pass  # A sidecar that was killed leaves its connections broken.


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def answer(self, body, fields=()):
        self.send_response(200)
        for name, value in fields:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class PodHandler(Handler):
    """Answers every request with its path."""

    def do_GET(self):
        length = int(self.headers.get("Content-Length") or 0)
        self.rfile.read(length)
        self.answer(self.path.encode())

    do_POST = do_GET


class ListHandler(Handler):
    """The endpoint list: Consul's catalog-health API, with blocking queries on a list that does not change."""

    def do_GET(self):
        if "index=1" in self.path:
            time.sleep(LONG_POLL_S)
        rows = []
        for number, pod in enumerate(self.server.context):
            rows.append({
                "Node": {"Node": f"node-{number}", "Datacenter": "east" if number % 2 == 0 else "west"},
                "Service": {
                    "ID": f"order-node-{number}", "Service": "order-node",
                    "Address": "127.0.0.1", "Port": pod.server_address[1],
                    "Meta": {"build": str(BUILD if number == NODES - 1 else BUILD - 1), "started": "1000.0",
                             "cell": "0", "kind": "plain"},
                    "Weights": {"Passing": 4, "Warning": 1},
                },
                "Checks": [{"CheckID": "serfHealth", "Status": "passing"}],
            })
        self.answer(json.dumps(rows).encode(), [("X-Consul-Index", "1"), ("Content-Type", "application/json")])


class RolloutHandler(Handler):
    """The rollout service: one stage that does not change; every vote counts."""

    STAGE = {"number": 3, "build": BUILD, "stage": 0, "phase": "on_trial", "cap": 0.5}

    def do_GET(self):
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Connection", "close")
        self.end_headers()
        end = time.monotonic() + STREAM_S
        while time.monotonic() < end:
            self.wfile.write(f"event: stage\ndata: {json.dumps(self.STAGE)}\n\n".encode())
            self.wfile.flush()
            time.sleep(1)
        self.close_connection = True

    def do_POST(self):
        self.rfile.read(int(self.headers.get("Content-Length") or 0))
        self.answer(json.dumps({"answer": "counted", "stage": self.STAGE}).encode())


class StandIns:
    """Pods, the endpoint list and the rollout service."""

    def __init__(self):
        self.pods = [Server(PodHandler, None) for _ in range(NODES)]
        self.endpoint_list = Server(ListHandler, self.pods)
        self.rollout = Server(RolloutHandler, None)

    def stop(self):
        for server in [self.endpoint_list, self.rollout, *self.pods]:
            server.stop()


def call(address, method, path, body=None, fields=None):
    """One call of a sidecar; its status and body."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_S)
    try:
        connection.request(method, path, body=body, headers=fields or {})
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()


def page(address, name):
    status, body = call(address, "GET", f"/limewing/{name}")
    if status != 200:
        raise ValueError(f"{name}: {status} {body}")
    return json.loads(body)


def post_work(address, request):
    status, body = call(address, "POST", "/limewing/work", json.dumps(request))
    expect(status == 202, f"POST /limewing/work {request}: {status} {body}")
    return json.loads(body)


def run(build, *arguments):
    """Runs a command of one build: exit code, standard output, standard error."""
    done = subprocess.run([build / "limewing", *map(str, arguments)], cwd=ROOT, capture_output=True, text=True,
                          timeout=COMMAND_TIMEOUT_S)
    return done.returncode, done.stdout, done.stderr


class Sidecar:
    """A process of `limewing sidecar`."""

    def __init__(self, build, settings, log):
        self.build = build
        with open(log, "ab") as log_file:
            self.process = subprocess.Popen([build / "limewing", "sidecar", settings], stdout=subprocess.PIPE,
                                            stderr=log_file, text=True)
        # A process that neither listens nor ends is killed, so that the read below returns.
        deadline = threading.Timer(WAIT_S, self.process.kill)
        deadline.start()
        line = self.process.stdout.readline().strip()
        deadline.cancel()
        if not line.startswith("listening "):
            self.kill()
            raise Failure(f"{settings} does not start with {build.name}: see its log")
        self.address = line.removeprefix("listening ")

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()


def settings_for(name, number, folder, stand_ins, join, voters, replicas):
    """Settings of one sidecar, from the example; its files stand in `folder`."""
    settings = json.loads((ROOT / "deploy/sidecar.example.json").read_text())
    settings |= {"name": name, "listen": "127.0.0.1:0", "state_file": str(folder / f"{name}.state.json")}
    settings["list"]["address"] = stand_ins.endpoint_list.address
    settings["installer"]["address"] = stand_ins.rollout.address
    settings["fleet"] |= {"sidecars": max(len(voters), 1), "own_number": number}
    settings["rules"]["cold_for"] = 0.5
    settings["releases"]["keys_stay"] = True
    if voters:
        key_file = folder / "keys.json"
        key_file.write_text(json.dumps({"keys": [{"id": 1, "secret": "ab" * 16}]}))
        settings["peers"] = {"listen": "127.0.0.1:0", "join": join, "key_file": str(key_file), "period": 0.1,
                             "replicas": replicas}
        settings["work"] = {"voters": voters, "folder": str(folder / f"{name}.work"), "patience": 0.3, "lease": 1.0}
    file = folder / f"{name}.json"
    file.write_text(json.dumps(settings))
    return file


def lists(address):
    """The lists of the maintenance page, without what only a leader knows and without reasons in words."""
    shown = page(address, "work")["lists"]
    for entry in shown:
        entry.pop("unknown_to")
        for machine in entry["machines"]:
            machine.pop("not_clear")
            machine.pop("why")
    return shown


def phase_of(address, number, machine):
    for entry in lists(address):
        if entry["list"] == number:
            return next(m for m in entry["machines"] if m["machine"] == machine)
    return {"step": None}


WORK_LIST = {"name": "kernel", "machines": ["node-0", "node-1"], "takes": 0.2, "stalls_after": 60,
             "limits": {"out": 1, "ready_part": 0.2}, "beside_trials": True}


def ask_list(address):
    """Hands a list to a sidecar once it can take it; returns the list's number."""
    wait_for(f"{address} has the endpoint list", lambda: page(address, "status")["pods"] == NODES)
    wait_for(f"{address} holds a lease", lambda: page(address, "work")["lease"])
    number = post_work(address, {"ask": WORK_LIST})["list"]
    wait_for("the list shows", lambda: any(entry["list"] == number and entry["machines"] for entry in lists(address)))
    return number


# The cases: each gets the two builds, in the order in which it is to use them, and a folder of its own.


def settings_are_read_alike(first, second, _folder):
    files = [("sidecar", ROOT / "deploy/sidecar.example.json")]
    files += [("day", file) for file in sorted((ROOT / "days").glob("*.json"))]
    files += [("faults", file) for file in sorted((ROOT / "fleets").glob("*.json"))]
    for kind, file in files:
        arguments = ["settings", "check", file.relative_to(ROOT), "--of", kind]
        said = run(first, *arguments), run(second, *arguments)
        expect(said[0] == said[1], f"{file.name}: {said[0]} and {said[1]}")
        expect(said[0][0] == 0, f"{file.name}: {said[0]}")
    return f"{len(files)} files"


def a_record_is_checked_alike(first, second, folder):
    checked = []
    for day in ["short-quiet", "short-troubled"]:
        out = folder / day
        code, _, error = run(first, "day", "play", f"days/{day}.json", "--folder", out)
        # A day that breaks a rule on a starved machine is a record like another: both have to say the same of it.
        expect((out / "record.jsonl").exists(), f"{day} was not played: {code} {error}")
        said = [run(build, "day", "check", out / "record.jsonl") for build in (first, second)]
        figures = [(code, re.findall(r"kept|broken|[0-9][0-9.]*", text)) for code, text, _ in said]
        expect(figures[0] == figures[1], f"{day}: {said[0]} and {said[1]}")
        expect(len(figures[0][1]) > 5, f"{day}: no figures in {said[0]}")
        checked.append(f"{day}: {'the same text' if said[0] == said[1] else 'the same figures'}")
    return ", ".join(checked)


def a_state_file_is_taken_over(first, second, folder):
    stand_ins = StandIns()
    file = settings_for("sidecar-0", 0, folder, stand_ins, [], [], False)
    state = folder / "sidecar-0.state.json"
    running = []
    try:
        running.append(Sidecar(first, file, folder / "log"))
        wait_for("the state file is written",
                 lambda: state.exists() and len(json.loads(state.read_text())["pods"]) == NODES)
        running[0].kill()
        stand_ins.endpoint_list.stop()
        written = state.read_bytes()
        shown = {}
        for build in (first, second):
            state.write_bytes(written)
            running.append(Sidecar(build, file, folder / "log"))
            shown[build] = page(running[-1].address, "status")["pods"]
            answer = wait_for("a request is served by the saved list",
                              lambda: (got := call(running[-1].address, "GET", "/quotes/7"))[0] == 200 and got)
            expect(answer[1] == "/quotes/7", f"{build.name}: answered {answer}")
            running[-1].kill()
        expect(shown[first] == shown[second] == NODES, f"pods shown: {shown}")
    finally:
        for sidecar in running:
            sidecar.kill()
        for server in [stand_ins.rollout, *stand_ins.pods]:
            server.stop()
    return f"{NODES} pods, and a request served by them"


def a_voter_log_is_taken_over(first, second, folder, compacted=False):
    """One voter: what it was told is in its log alone."""
    stand_ins = StandIns()
    file = settings_for("sidecar-0", 0, folder, stand_ins, [], ["sidecar-0"], False)
    voter_folder = folder / "sidecar-0.work"
    running = []
    try:
        running.append(Sidecar(first, file, folder / "log"))
        address = running[0].address
        number = ask_list(address)
        wait_for("a machine is out", lambda: phase_of(address, number, "node-0")["step"] == "out")
        rounds = COMPACTION_ENTRIES // 2 + 20 if compacted else 1
        for _ in range(rounds):
            for request, held in (({"hold": number}, True), ({"go_on": number}, False)):
                post_work(address, request)
                wait_for(f"{request} shows", lambda: lists(address)[0]["held"] == held)
        post_work(address, {"hold": number})
        wait_for("the list is held", lambda: lists(address)[0]["held"])
        before = lists(address)
        settled = page(address, "work")["settled"]
        expect(not compacted or settled > COMPACTION_ENTRIES, f"{settled} entries are too few for compaction")
        running[0].kill()
        size = (voter_folder / "agree.log").stat().st_size
        expect(not compacted or size < settled * 16, f"{size} bytes for {settled} entries: not compacted")
        written = folder / "written"
        shutil.copytree(voter_folder, written)
        shown = []
        for build in (first, second):
            shutil.rmtree(voter_folder)
            shutil.copytree(written, voter_folder)
            running.append(Sidecar(build, file, folder / "log"))
            at = running[-1].address
            wait_for("it leads", lambda: page(at, "work")["standing"] == "leads")
            wait_for("the log is applied", lambda: page(at, "work")["settled"] >= settled)
            shown.append(lists(at))
            expect(not (voter_folder / "agree.damaged").exists(), f"{build.name}: the log counts as damaged")
            running[-1].kill()
        expect(shown[0] == shown[1] == before, f"before the kill {before}, then {shown[0]} and {shown[1]}")
    finally:
        for sidecar in running:
            sidecar.kill()
        stand_ins.stop()
    return f"{settled} entries, {size} bytes, a machine out, a list held"


def a_compacted_voter_log_is_taken_over(first, second, folder):
    return a_voter_log_is_taken_over(first, second, folder, compacted=True)


class Fleet:
    """Three voters, each of a build of its own."""

    def __init__(self, builds, folder):
        self.folder = folder
        self.names = [f"sidecar-{number}" for number in range(len(builds))]
        self.stand_ins = StandIns()
        self.sidecars = {}
        try:
            for name, build in zip(self.names, builds):
                self.start(name, build)
        except BaseException:
            self.stop()
            raise

    def start(self, name, build):
        join = [page(other.address, "fleet")["listens"] for other in self.sidecars.values()]
        number = self.names.index(name)
        file = settings_for(name, number, self.folder, self.stand_ins, join, self.names, True)
        self.sidecars[name] = Sidecar(build, file, self.folder / f"{name}.log")

    def kill(self, name):
        self.sidecars.pop(name).kill()

    def stop(self):
        for sidecar in self.sidecars.values():
            sidecar.kill()
        self.stand_ins.stop()

    def wait_for_members(self):
        for name, sidecar in self.sidecars.items():
            others = sorted(set(self.names) - {name})

            def sees_all(address=sidecar.address, others=others):
                members = page(address, "fleet")["members"]
                return sorted(m["name"] for m in members if m["standing"] == "alive") == others

            wait_for(f"{name} lists {others} as alive", sees_all)

    def leader(self):
        """The leader, once all name the same one."""

        def agreed():
            views = [page(sidecar.address, "work") for sidecar in self.sidecars.values()]
            named = {view["leader"] for view in views}
            leads = [view["name"] for view in views if view["standing"] == "leads"]
            return named == set(leads) and len(leads) == 1 and all(view["lease"] for view in views) and leads[0]

        return wait_for("one leader is named by all", agreed)

    def at(self, name):
        return self.sidecars[name].address


def run_mixed_fleet(builds, commands, folder):
    fleet = Fleet(builds, folder)
    try:
        fleet.wait_for_members()
        first_leader = fleet.leader()
        check_replication(fleet)
        check_commands(fleet, commands)
        number = ask_list(fleet.at(fleet.names[-1]))
        take_machine_out_and_back(fleet, number, "node-0")
        # The leader is killed and started again as the other build, on its own files.
        former = builds[fleet.names.index(first_leader)]
        fleet.kill(first_leader)
        fleet.start(first_leader, next(build for build in commands if build != former))
        fleet.wait_for_members()
        second_leader = fleet.leader()
        wait_for("all show the same lists", lambda: len({json.dumps(lists(fleet.at(name))) for name in fleet.names}) == 1)
        expect(phase_of(fleet.at(first_leader), number, "node-0")["step"] == "done", "node-0 is done no more")
        take_machine_out_and_back(fleet, number, "node-1")
        for name in fleet.names:
            expect(not (folder / f"{name}.work/agree.damaged").exists(), f"{name}: the log counts as damaged")
            rejected = [cause for cause in page(fleet.at(name), "fleet")["refused"] if cause[1] > 0]
            # Packets to the process that was killed may reach the one that has its place.
            unreadable = [cause for cause in rejected if cause[0] not in ("of an earlier start of its sender",)]
            expect(not unreadable, f"{name} rejected datagrams: {unreadable}")
    finally:
        fleet.stop()
    return f"led by {first_leader}, then {second_leader}; two machines out and back"


def check_replication(fleet):
    """A stage, a key and a request that may have run, at one sidecar each, show at all others."""
    for number, name in enumerate(fleet.names):
        at = fleet.at(name)
        wait_for(f"{name} has caught up", lambda: page(at, "state")["caught_up"])
        answer = call(at, "POST", "/charges", body="{}", fields={"Idempotency-Key": f"charge-{number}"})
        expect(answer[0] == 200, f"{name} answered {answer}")
        wait_for(f"a key meets the new build at {name}", lambda: send_keyed_request(at, name))
    views = {}

    def all_the_same():
        for name in fleet.names:
            views[name] = page(fleet.at(name), "state")
        shown = [(view["hits"], len(view["stages"]), view["keys"]) for view in views.values()]
        count = len(fleet.names)
        return all(hits == stages == count and keys >= count for hits, stages, keys in shown) and len(set(shown)) == 1

    try:
        wait_for("all sidecars show the same keys, requests and stages", all_the_same)
    except Failure as failure:
        raise Failure(f"{failure}: {views}") from None


def send_keyed_request(address, prefix):
    """Sends a request with a new routing key; true once a key of this sidecar was answered by the new build."""
    send_keyed_request.sent += 1
    before = page(address, "state")["logs"]
    call(address, "GET", "/quotes/1", fields={"routing-key": f"{prefix}-{send_keyed_request.sent}"})
    after = page(address, "state")["logs"]
    live = lambda logs: next(log["live"] for log in logs if log["name"] == prefix)
    return live(after) > live(before)


send_keyed_request.sent = 0


def check_commands(fleet, commands):
    """Both builds' commands read the pages of both builds' sidecars."""
    for build in commands:
        for name in fleet.names:
            at = fleet.at(name)
            for arguments in (["fleet", "show", at], ["fleet", "state", at], ["work", "show", at]):
                code, text, error = run(build, *arguments)
                expect(code == 0, f"{build.name} {arguments}: {code} {error}")
                named = [other for other in fleet.names if other in text]
                expect(len(named) == len(fleet.names), f"{build.name} {arguments} names {named} alone: {text}")


def take_machine_out_and_back(fleet, number, machine):
    at = fleet.at(fleet.names[0])
    wait_for(f"{machine} is out", lambda: phase_of(at, number, machine)["step"] == "out")
    grant = phase_of(at, number, machine)["grant"]
    for name in fleet.names:
        closed = lambda: machine in page(fleet.at(name), "work")["closed"]
        wait_for(f"{name} shows {machine} as closed", closed)
    post_work(fleet.at(fleet.names[1]), {"report": {"grant": grant, "said": "began"}})
    post_work(fleet.at(fleet.names[2]), {"report": {"grant": grant, "said": "worked"}})
    for name in fleet.names:
        wait_for(f"{machine} is done at {name}", lambda: phase_of(fleet.at(name), number, machine)["step"] == "done")


def two_of_the_first_and_one_of_the_second(first, second, folder):
    return run_mixed_fleet([first, first, second], (first, second), folder)


CASES = [settings_are_read_alike, a_record_is_checked_alike, a_state_file_is_taken_over, a_voter_log_is_taken_over,
         a_compacted_voter_log_is_taken_over, two_of_the_first_and_one_of_the_second]


def main():
    if len(sys.argv) != 3:
        print("usage: tools/mixed-versions.sh OLD NEW", file=sys.stderr)
        return 2
    builds = {}
    scratch = pathlib.Path(tempfile.mkdtemp(prefix="limewing-mixed-"))
    for name, given in zip(("old", "new"), sys.argv[1:]):
        program = pathlib.Path(given).resolve() / "limewing"
        if not os.access(program, os.X_OK):
            print(f"mixed-versions: {program}: expected the built program", file=sys.stderr)
            return 2
        (scratch / name).mkdir()
        os.symlink(program, scratch / name / "limewing")
        builds[name] = scratch / name
    failed = 0
    for case in CASES:
        for first, second in (("old", "new"), ("new", "old")):
            label = f"{case.__name__.replace('_', ' ')} ({first}, {second})"
            folder = scratch / f"{case.__name__}-{first}"
            folder.mkdir()
            try:
                print(f"passed: {label}: {case(builds[first], builds[second], folder)}", flush=True)
            except (Failure, OSError, ValueError, http.client.HTTPException, subprocess.TimeoutExpired) as error:
                failed += 1
                print(f"FAILED: {label}: {error}; files in {folder}", flush=True)
    if failed == 0:
        shutil.rmtree(scratch)
    print(f"{2 * len(CASES) - failed} passed, {failed} failed")
    return 1 if failed else 0


sys.exit(main())
