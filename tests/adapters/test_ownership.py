"""Guards against hand-overs that stay refused for good."""

import anyio
from tests.paused import run_paused

from damaskridge.adapters.ownership import propose_release
from damaskridge.model.control import CommandResult, Owner, Session
from damaskridge.model.errors import ErrorKind, Failure

MOVING = Owner("cell/llm", "h2", 12, 21, moving_to="h1")
SESSION = Session("h2", 12, 1, "west", "", "")


class Fleet:
    def __init__(self):
        self.owners = {"cell/llm": MOVING}
        self.index = 100


class Control:
    """Answers a command that is sent again with its first result."""

    def __init__(self, *results):
        self.session = SESSION
        self.fleet = Fleet()
        self.results = list(results)
        self.answers = {}

    async def propose(self, command):
        # The log has gone on whenever a command was answered.
        self.fleet.index += 1
        if command.command_id not in self.answers:
            self.answers[command.command_id] = self.results.pop(0)
        return self.answers[command.command_id]


def refused(kind):
    return CommandResult(failure=Failure(kind))


def release(control):
    async def main():
        with anyio.move_on_after(60):
            return await propose_release(control, MOVING)

    return run_paused(main())


def test_a_refusal_of_a_move_that_was_called_off_does_not_bind_the_next():
    """System seed 24: a host kept a cell for 57 s and served nobody."""
    control = Control(refused(ErrorKind.EPOCH_CONFLICT), CommandResult())
    assert release(control) is True


def test_a_lost_answer_is_asked_for_with_the_same_id():
    control = Control(CommandResult())
    lost = [refused(ErrorKind.CONTROL_UNAVAILABLE)]
    sent = []
    propose = control.propose

    async def losing(command):
        sent.append(command.command_id)
        return lost.pop() if lost else await propose(command)

    control.propose = losing
    assert release(control) is True
    assert len(sent) == 2
    assert len(set(sent)) == 1
