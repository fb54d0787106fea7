"""Guards against tasks with much buffered work that delay all others of a process."""

import asyncio
import random

import pytest
from tests.adapters.gateway.standin import StandIn, chunk, chunked_head, gateway

from damaskridge.adapters.gateway.connections import open_connection
from damaskridge.adapters.gateway.turn_queue import MAX_PARTS_PER_TURN, TurnQueue

TASKS = 20
PARTS_PER_BODY = 1500
# Data that an engine or a service without a fault never sends so fast.
PARTS = (b"x", b"data: ttttttttt\n", b":\n\n", b"id: 1\ndata: t\n\n", b"x" * 40)


def test_one_task_runs_in_each_iteration_of_the_loop():
    async def main():
        queue, turns = TurnQueue.of_running_loop(), []

        async def work(number):
            for _ in range(3):
                await queue.wait()
                turns.append((iteration, number))

        iteration = 0
        tasks = [asyncio.ensure_future(work(number)) for number in range(TASKS)]
        while not all(task.done() for task in tasks):
            await asyncio.sleep(0)
            iteration += 1
        iterations = [turn[0] for turn in turns]
        assert len(set(iterations)) == 3 * TASKS
        assert [turn[1] for turn in turns] == [*range(TASKS)] * 3

    asyncio.run(main())


def test_cancelled_task_gives_its_turn_to_the_next_one():
    async def main():
        queue, ended = TurnQueue.of_running_loop(), []

        async def work(number):
            await queue.wait()
            ended.append(number)

        tasks = [asyncio.ensure_future(work(number)) for number in range(4)]
        await asyncio.sleep(0)
        tasks[0].cancel()
        tasks[2].cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert ended == [1, 3]

    asyncio.run(main())


@pytest.mark.parametrize("seed", range(6))
def test_many_bodies_of_tiny_parts_delay_other_tasks_by_one_turn_each(seed):
    """Guards against delays that grow with the number of spoiled responses."""
    rng = random.Random(seed)
    bodies = [
        chunk(rng.choice(PARTS)) * PARTS_PER_BODY for _ in range(rng.randint(2, 16))
    ]

    async def main():
        async def script(request, writer):
            body = bodies[int(request.target.rpartition("/")[2])]
            writer.write(chunked_head(request) + body + b"0\r\n\r\n")

        iterations = 0

        async def count_iterations():
            nonlocal iterations
            while True:
                iterations += 1
                await asyncio.sleep(0)

        async def read_parts(connection):
            return [part async for part in connection.body()]

        server = StandIn("e", script, None, "llm")
        async with gateway(server):
            connections = []
            for number in range(len(bodies)):
                connection = await open_connection(server.address, 1.0)
                target = b"/gen/%d" % number
                await connection.send("POST", target, [(b"host", b"h")], b"")
                await connection.head()
                connections.append(connection)
            await asyncio.sleep(0.2)
            counter = asyncio.ensure_future(count_iterations())
            read = await asyncio.gather(*map(read_parts, connections))
            counter.cancel()
            for connection in connections:
                connection.close()
        parts = sum(map(len, read))
        assert parts >= PARTS_PER_BODY * len(bodies)
        # Each body is read without a turn until its first one.
        assert iterations >= parts / MAX_PARTS_PER_TURN - 2 * len(bodies)

    asyncio.run(main())
