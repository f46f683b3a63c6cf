"""Stand in for the machines, their minions and the platform's list of machines."""

import json
import threading
import time
import uuid

from http_base import Api, Drop

HEARTBEAT_S = 1.5
HOLD_MAX_MS = 10_000
STOP_S = 0.3
SAVE_S = 1


class Record:
    """Write what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        """Open the file and start the time."""
        self._file = open(path, "w", buffering=1)
        self._lock = threading.Lock()
        self.started_s = time.monotonic()
        self.rows = []

    def add(self, what, **fields):
        """Add one event."""
        at_s = time.monotonic() - self.started_s
        with self._lock:
            self.rows.append({"at_s": round(at_s, 3), "what": what, **fields})
            text = " ".join(f"{k}={v}" for k, v in fields.items())
            self._file.write(f"{at_s:8.3f} {what} {text}\n")

    def of(self, what):
        """Return the events of one kind."""
        with self._lock:
            return [row for row in self.rows if row["what"] == what]


class Run:
    """Represent a run on a minion."""

    def __init__(self, number, work, spec, saved):
        """Start the run now; `work` has `ms` and `how`, ms None for one that lasts."""
        self.number, self.work, self.spec, self.saved = number, work, spec, saved
        self.began_s = time.monotonic()
        ms = work.get("ms")
        self.end_s = None if ms is None else self.began_s + ms / 1000
        self.stop_s = None
        self.saves = 0

    def save(self, now_s):
        """Save the progress made, once each SAVE_S, if the work has `savedChars`."""
        chars, count = self.work.get("savedChars", 0), int(now_s - self.began_s)
        if chars and count >= SAVE_S and count != self.saves:
            self.saves = count
            self.saved = f"{self.number}-{count}-".ljust(chars, "s")


class Minion:
    """Follow PROTOCOL.md, "Running work units", for one life of a machine."""

    def __init__(self, machine, pool, record, worker=None):
        """Start empty, with a clock and numbers of its own."""
        self.machine, self.pool, self.record = machine, pool, record
        self.worker = worker or f"i-{uuid.uuid4().hex[:10]}"
        self.born = int(time.time() * 1000)
        self.began_s = time.monotonic()
        self.lock = threading.Condition()
        self.runs, self.ends, self.last_end = {}, [], 0
        self.highest, self.fence, self.lease_ms = {}, 0, 0
        self.used = {"cpu": 0, "memMb": 0}
        self.next_end_s = float("inf")
        self.is_gone = False
        self.state = "ready"

    def clock_ms(self):
        """Return the steady clock of this life."""
        return 1_000 + int((time.monotonic() - self.began_s) * 1000)

    def entry(self, seq):
        """Return what the minion writes of itself to the store."""
        machine = self.machine
        fields = {"service": self.pool, "address": machine.address}
        fields |= {"zone": machine.zone, "version": "v1", "slots": 8}
        fields |= {"state": self.state, "coldRemainingMs": 0, "seq": seq}
        fields |= {"capacity": machine.capacity, "labels": machine.labels}
        return {**fields, "machine": machine.name, "born": self.born}

    def leave(self, why):
        """End this life; what runs ends with it."""
        with self.lock:
            self.advance()
            self.is_gone = True
            for task, run in self.runs.items():
                fields = {"task": task, "run": run.number, "how": why}
                self.record.add("end", minion=self.worker, **fields)
            self.runs.clear()
            self.used = dict.fromkeys(self.used, 0)
            self.lock.notify_all()

    def advance(self):
        """End the runs whose time has come; the caller holds the lock."""
        now_s = time.monotonic()
        lapsed = self.clock_ms() >= self.lease_ms
        if not lapsed and now_s < self.next_end_s:
            return
        self.next_end_s = float("inf")
        for task, run in list(self.runs.items()):
            if run.stop_s is not None and now_s >= run.stop_s:
                self._end(task, run, "stopped")
            elif run.end_s is not None and now_s >= run.end_s:
                self._end(task, run, run.work.get("how", "done"))
            elif lapsed:
                self._end(task, run, "lapsed")
            else:
                due_s = [s for s in (run.stop_s, run.end_s) if s is not None]
                self.next_end_s = min(self.next_end_s, *due_s, float("inf"))

    def _end(self, task, run, how):
        del self.runs[task]
        for name in self.used:
            self.used[name] -= run.work.get(name, 0)
        self.last_end += 1
        self.ends.append([self.last_end, task, run.number, how, run.saved])
        fields = {"task": task, "run": run.number, "how": how}
        self.record.add("end", minion=self.worker, **fields)
        self.lock.notify_all()

    def answer(self, call):
        """Return the answer to an order."""
        body = call.json()
        with self.lock:
            if self.is_gone:
                raise Drop
            self.advance()
            fence = body.get("fencingToken", 0)
            if fence < self.fence:
                return self._refuse("fence")
            self.fence = fence
            if "untilMs" in body and call.path != "/run-start":
                self._extend(body["untilMs"])
            match call.path:
                case "/run-start":
                    return self._start(body)
                case "/run-stop":
                    return self._stop(body)
                case "/hold":
                    return self._hold(body)
                case "/pace":
                    return 200, {"clockMs": self.clock_ms()}
        return 404, {}

    def _extend(self, until_ms):
        limit_ms = self.clock_ms() + HOLD_MAX_MS
        self.lease_ms = max(self.lease_ms, min(until_ms, limit_ms))

    def _refuse(self, reason):
        return 409, {"clockMs": self.clock_ms(), "reason": reason}

    def _start(self, body):
        task, number = body["task"], body["run"]
        if body["untilMs"] <= self.clock_ms():
            return self._refuse("late")
        self._extend(body["untilMs"])
        run = self.runs.get(task)
        if run is not None and run.number == number:
            return 200, {"clockMs": self.clock_ms()}
        if number <= self.highest.get(task, 0) or run is not None:
            return self._refuse("old")
        if not self.machine.fleet.allows(self, body):
            return self._refuse("ticket")
        work = self.machine.fleet.work_of(task, body["spec"])
        capacity = self.machine.capacity
        if any(self.used[n] + work.get(n, 0) > capacity[n] for n in self.used):
            return self._refuse("room")
        for name in self.used:
            self.used[name] += work.get(name, 0)
        self.highest[task] = number
        saved = body.get("saved", "")
        run = self.runs[task] = Run(number, work, body["spec"], saved)
        if run.end_s is not None:
            self.next_end_s = min(self.next_end_s, run.end_s)
        fields = {"task": task, "run": number, "fence": self.fence}
        fields |= {"pool": self.pool, "machine": self.machine.name}
        self.record.add("start", minion=self.worker, **fields)
        return 200, {"clockMs": self.clock_ms()}

    def _stop(self, body):
        task, number = body["task"], body["run"]
        self.highest[task] = max(number, self.highest.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.number == number and run.stop_s is None:
            run.stop_s = time.monotonic() + STOP_S
            self.next_end_s = min(self.next_end_s, run.stop_s)
        return 200, {"clockMs": self.clock_ms()}

    def _hold(self, body):
        seen = body.get("seenUpto", 0)
        for number, task, run, how, _ in self.ends:
            if number <= seen:
                fields = {"task": task, "run": run, "how": how}
                self.record.add("noted", minion=self.worker, **fields)
        self.ends = [end for end in self.ends if end[0] > seen]
        end_s = time.monotonic() + min(body.get("waitMs", 0), 2_000) / 1000
        known = self.last_end
        while not self.ends and self.last_end == known and not self.is_gone:
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                break
            self.lock.wait(min(left_s, 0.02))
            self.advance()
        if self.is_gone:
            raise Drop
        now_s = time.monotonic()
        for run in self.runs.values():
            run.save(now_s)
        running = [
            [task, run.number, run.saved, 100 if now_s - run.began_s > 0.3 else 50, 0]
            for task, run in self.runs.items()
        ]
        lists = {"running": running, "ended": self.ends[:500]}
        return 200, {"clockMs": self.clock_ms(), "born": self.born, **lists}


class Machine(Api):
    """Serve the minions of one machine, one after the other, at one address."""

    def __init__(self, fleet, name, pool, zone, labels, capacity):
        """Start without a minion; `boot` starts one."""
        super().__init__()
        self.fleet, self.name, self.pool, self.zone = fleet, name, pool, zone
        self.labels, self.capacity = labels, capacity
        self.state, self.minion, self.upkeeps = "up", None, set()

    def boot(self, worker=None):
        """Start the next minion."""
        self.minion = Minion(self, self.pool, self.fleet.record, worker)
        self.state = "up"

    def answer(self, call):
        """Pass an order to the minion that is up."""
        if self.fleet.way_s:
            time.sleep(self.fleet.way_s)
        minion = self.minion
        if minion is None or minion.is_gone:
            raise Drop
        expected = call.headers.get("X-Expect-Instance")
        if expected not in (None, minion.worker):
            return 421, {}
        return minion.answer(call)


class Fleet(Api):
    """List the machines, and carry out moves and upkeep."""

    def __init__(self, store, record, spare="", move_s=1.5, upkeep_s=2.0):
        """Start without machines; machines of the pool `spare` are off."""
        super().__init__()
        self.store, self.record, self.spare = store, record, spare
        self.move_s, self.upkeep_s = move_s, upkeep_s
        self.machines, self.lock, self.seq = {}, threading.RLock(), 0
        self.lose_answer = lambda call, reply: False
        self.allows = lambda minion, body: True
        # The way to a machine and back.
        self.way_s = 0.0

    def start(self):
        """Serve, and send heartbeats for all minions."""
        super().start()
        threading.Thread(target=self._beat, daemon=True).start()
        threading.Thread(target=self._advance, daemon=True).start()

    def work_of(self, task, spec):
        """Return the work of a task: that of its step in the job's `spec`."""
        steps = json.loads(spec)
        return steps[int(task.split(".")[2])]

    def add(self, name, pool, zone="z1", labels=("a", "r1-1"), capacity=None):
        """Add a machine with a minion that is up."""
        capacity = capacity or {"cpu": 16_000, "memMb": 32_768, "gpu": 0}
        machine = Machine(self, name, pool, zone, list(labels), capacity)
        machine.start()
        if pool != self.spare:
            machine.boot()
        with self.lock:
            self.machines[name] = machine
        self.record.add("machine", name=name, pool=pool)
        self.write_entry(machine)
        return machine

    def write_entry(self, machine):
        """Write the entry of a machine's minion to the store."""
        minion = machine.minion
        if minion is not None and not minion.is_gone:
            self.seq += 1
            value = json.dumps(minion.entry(self.seq)).encode()
            self.store.put(f"servers/{minion.worker}", value)

    def _beat(self):
        while True:
            time.sleep(HEARTBEAT_S)
            for machine in list(self.machines.values()):
                self.write_entry(machine)

    def _advance(self):
        """End runs when their time has come, also if nobody calls the minion."""
        while True:
            time.sleep(0.01)
            for machine in list(self.machines.values()):
                minion = machine.minion
                if minion is not None and not minion.is_gone:
                    with minion.lock:
                        minion.advance()

    def answer(self, call):
        """Answer a call of the system."""
        if (call.method, call.path) == ("GET", "/machines"):
            with self.lock:
                rows = [self._row(m) for m in self.machines.values()]
            return 200, {"machines": rows, "nextToken": None}
        body = call.json()
        with self.lock:
            reply = self._order(call, body)
        holder = call.headers.get("X-Duty-Holder")
        token = call.headers.get("X-Fencing-Token")
        fields = {"machine": body.get("machine"), "holder": holder, "token": token}
        lost = self.lose_answer(call, reply)
        fields |= {"status": reply[0], "reason": (reply[1] or {}).get("reason")}
        self.record.add(call.path.strip("/"), **fields, lost=lost)
        if lost:
            raise Drop
        return reply

    def _row(self, machine):
        row = {"machine": machine.name, "pool": machine.pool, "state": machine.state}
        row |= {"zone": machine.zone, "labels": machine.labels}
        row["capacity"] = machine.capacity
        minion = machine.minion
        if minion is not None and not minion.is_gone and machine.state == "up":
            row["id"] = minion.worker
        return row

    def _order(self, call, body):
        machine = self.machines.get(body.get("machine"))
        if machine is None:
            return 400, {}
        if call.path == "/machine-move":
            if machine.pool == body["pool"]:
                return 200, {}
            return self._take(machine, "moving", self.move_s, pool=body["pool"])
        if call.path == "/machine-upkeep":
            wave = json.loads(self.store.read(f"op/wave/{body['wave']}") or b"{}")
            if machine.name not in wave.get("machines", []):
                return 409, {"reason": "wave"}
            if body["wave"] in machine.upkeeps:
                return 200, {}
            return self._take(machine, "upkeep", self.upkeep_s, wave=body["wave"])
        return 404, {}

    def _take(self, machine, state, duration_s, pool=None, wave=None):
        minion = machine.minion
        if machine.state != "up" or (minion and minion.state != "ready"):
            return 409, {"reason": "busy"}
        if minion is not None:
            minion.leave("gone")
            threading.Timer(
                HEARTBEAT_S, self.store.remove, (f"servers/{minion.worker}",)
            ).start()
        machine.state, machine.minion = state, None
        machine.pool = pool or machine.pool
        if wave is not None:
            self.record.add("upkeep-begins", machine=machine.name, wave=wave)
        threading.Timer(duration_s, self._return, (machine, wave)).start()
        return 200, {}

    def _return(self, machine, wave):
        with self.lock:
            if wave is not None:
                machine.upkeeps.add(wave)
                self.record.add("upkeep-ends", machine=machine.name, wave=wave)
            machine.state = "up"
            if machine.pool != self.spare:
                machine.boot()
        self.write_entry(machine)
