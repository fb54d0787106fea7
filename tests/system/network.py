"""Simulated processes with drifting clocks, and an unreliable network between them."""

import asyncio
import contextvars
import hashlib
from collections import Counter

import looptime

__all__ = [
    "DriftingClockLoop",
    "Network",
    "Pipe",
    "Process",
    "Trace",
    "current_process",
    "call_later_in_world",
    "create_world_task",
]

_CURRENT_PROCESS = contextvars.ContextVar("process", default=None)
# Above the resolution of the simulated clock, so that a timer never fires too early.
_TIMER_SLACK_S = 3e-6


def current_process():
    """Return the process whose code is running, or None outside every process."""
    return _CURRENT_PROCESS.get()


class DriftingClockLoop(looptime.LoopTimeEventLoop, asyncio.SelectorEventLoop):
    """Event loop with a simulated clock, which each process reads at its own rate."""

    def __init__(self):
        super().__init__(start=0.0, noop_cycles=0)
        self.set_task_factory(_new_task)

    def true_time(self):
        return super().time()

    def time(self):
        process = _CURRENT_PROCESS.get()
        now_s = super().time()
        return now_s if process is None else now_s * process.clock_rate

    def call_at(self, when, callback, *args, context=None):
        process = _CURRENT_PROCESS.get()
        if process is not None:
            when = when / process.clock_rate + _TIMER_SLACK_S
            args = (callback, *args)
            callback = process.call_if_alive
        return super().call_at(when, callback, *args, context=context)


def _new_task(loop, coro, *, context=None):
    context = context or contextvars.copy_context()
    task = asyncio.Task(coro, loop=loop, context=context)
    process = context.get(_CURRENT_PROCESS)
    if process is not None:
        process.track_task(task)
    return task


class Process:
    """
    A simulated process: a name, a clock rate and the tasks that end when it is killed.

    A context variable holds the process, so that new tasks and timers belong to it.
    """

    def __init__(self, name, clock_rate=1.0):
        self.name = name
        self.clock_rate = clock_rate
        self.alive = True
        self._tasks = {}
        self._context = contextvars.copy_context()
        self._context.run(_CURRENT_PROCESS.set, self)

    def track_task(self, task):
        self._tasks[task] = None
        task.add_done_callback(lambda task: self._tasks.pop(task, None))
        if not self.alive:
            task.get_loop().call_soon(task.cancel)

    def start(self, coro):
        """Run a coroutine as part of this process."""
        loop = asyncio.get_running_loop()
        return loop.create_task(coro, context=self._context.copy())

    def run(self, function, *args):
        """Call a function as part of this process."""
        return self._context.copy().run(function, *args)

    def call_if_alive(self, callback, *args):
        """Run a timer's callback; a killed process has no timers."""
        if self.alive:
            callback(*args)

    def kill(self):
        """Cancel every task; messages that a cancelled task sends are not delivered."""
        self.alive = False
        create_world_task(self._cancel_all())

    async def _cancel_all(self):
        # A cancel scope that ends at the same time may absorb a cancellation, so a task
        # is cancelled until it ends.
        while self._tasks:
            for task in list(self._tasks):
                task.cancel()
            await asyncio.sleep(0.001)


class Trace:
    """Records events and their digest, to check that a seed repeats its run."""

    def __init__(self):
        self._digest = hashlib.sha256()
        self.lines = []

    def record(self, *parts):
        now_s = asyncio.get_running_loop().true_time()
        line = f"{now_s:.6f} " + " ".join(str(part) for part in parts)
        self._digest.update(line.encode())
        self.lines.append(line)

    def hexdigest(self):
        return self._digest.hexdigest()


class Network:
    """
    Links between named processes.

    `cuts` maps a pair of names, between which every message is lost, to the end of the
    cut.
    """

    def __init__(self, rng):
        self.rng = rng
        self.cuts = {}
        self.processes = {}
        self.loss_probability = self.delay_probability = self.duplicate_probability = (
            self.stall_probability
        ) = 0.0
        self.events = Counter()

    def add(self, process):
        self.processes[process.name] = process

    def is_cut(self, first, second):
        return (first, second) in self.cuts or (second, first) in self.cuts

    def delay_s(self):
        """Draw the delay of a message, with longer ones at random during faults."""
        delay_s = self.rng.uniform(0.0004, 0.003)
        if self.rng.random() < self.delay_probability:
            self.events["late"] += 1
            delay_s += self.rng.uniform(0.0, 0.4)
        if self.stall_probability and self.rng.random() < self.stall_probability:
            self.events["stalled"] += 1
            delay_s += self.rng.uniform(0.5, 3.0)
        return delay_s

    def delivers(self, source, target):
        """Return whether a message that is sent now is delivered."""
        if not source.alive or self.is_cut(source.name, target):
            return False
        if self.rng.random() < self.loss_probability:
            self.events["lost"] += 1
            return False
        return True


class Pipe:
    """One direction of a stream; after a lost message it delivers nothing more."""

    def __init__(self, network, source, target):
        self._network, self.source, self._target = network, source, target
        self._queue = asyncio.Queue()
        self.silent = False
        self._last_arrival_s = 0.0
        self.error = None

    def send(self, message):
        loop = asyncio.get_running_loop()
        self.silent |= not self._network.delivers(self.source, self._target)
        if self.silent:
            return
        now_s = loop.true_time()
        self._last_arrival_s = max(
            self._last_arrival_s, now_s + self._network.delay_s()
        )
        _call_later_in_world(loop, self._last_arrival_s - now_s, self._deliver, message)

    def _deliver(self, message):
        if self._network.is_cut(self.source.name, self._target):
            self.silent = True
        if not self.silent:
            self._queue.put_nowait(message)

    def fail(self, error):
        """Make the receiver raise `error`, as on a lost connection."""
        self.error = error
        self._queue.put_nowait(None)

    async def receive(self):
        message = await self._queue.get()
        if message is None and self.error is not None:
            self._queue.put_nowait(None)
            raise self.error
        return message


def _call_later_in_world(loop, delay_s, function, *args):
    """Call a function after a delay, outside of any process and on the true clock."""
    context = contextvars.copy_context()
    context.run(_CURRENT_PROCESS.set, None)
    return context.run(loop.call_later, max(0.0, delay_s), function, *args)


def create_world_task(coro):
    """Run a coroutine outside of any process."""
    context = contextvars.copy_context()
    context.run(_CURRENT_PROCESS.set, None)
    return asyncio.get_running_loop().create_task(coro, context=context)


call_later_in_world = _call_later_in_world
