"""Tests that the release of a resource is retried with the right command id."""

import anyio
from tests.paused import run_paused

from damaskridge.adapters.ownership import propose_release
from damaskridge.model.control import CommandResult, Owner, Session
from damaskridge.model.errors import ErrorKind, Failure

MOVING = Owner("cell/llm", "h2", 12, 21, moving_to="h1")
SESSION = Session("h2", 12, 1, "west", "", "")


class FakeFleet:
    def __init__(self):
        self.owners = {"cell/llm": MOVING}
        self.index = 100


class FakeControl:
    """Returns the first result again for a command id that it has seen."""

    def __init__(self, *results):
        self.session = SESSION
        self.fleet = FakeFleet()
        self.results = list(results)
        self.stored_results = {}

    async def propose(self, command):
        # The fleet view advances with every command.
        self.fleet.index += 1
        if command.command_id not in self.stored_results:
            self.stored_results[command.command_id] = self.results.pop(0)
        return self.stored_results[command.command_id]


def refused_with(kind):
    return CommandResult(failure=Failure(kind))


def run_release(control):
    async def main():
        with anyio.move_on_after(60):
            return await propose_release(control, MOVING)

    return run_paused(main())


def test_refused_release_is_retried_with_a_new_id():
    """
    The control group refuses a release whose move was cancelled meanwhile.

    When the move was ordered again, the stored refusal was returned for the same
    command id: a host kept a cell for 57 s and served no request (system test,
    seed 24).
    """
    control = FakeControl(refused_with(ErrorKind.EPOCH_CONFLICT), CommandResult())
    assert run_release(control) is True


def test_lost_response_is_retried_with_the_same_id():
    control = FakeControl(CommandResult())
    lost_responses = [refused_with(ErrorKind.CONTROL_UNAVAILABLE)]
    sent_ids = []
    propose = control.propose

    async def propose_with_loss(command):
        sent_ids.append(command.command_id)
        return lost_responses.pop() if lost_responses else await propose(command)

    control.propose = propose_with_loss
    assert run_release(control) is True
    assert len(sent_ids) == 2
    assert len(set(sent_ids)) == 1
