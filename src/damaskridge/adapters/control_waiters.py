"""Callers that wait for the result of a command or a confirmation of leadership."""

from dataclasses import dataclass, field

import anyio

from damaskridge.model.control import Command, CommandResult
from damaskridge.model.errors import ErrorKind, Failure

__all__ = ["ProposalWaiters", "ReadWaiters"]


@dataclass(slots=True)
class _Proposal:
    """A command whose caller waits for the result."""

    command: Command
    done: anyio.Event = field(default_factory=anyio.Event)
    result: CommandResult = field(default_factory=CommandResult)

    def finish(self, result: CommandResult) -> None:
        self.result = result
        self.done.set()


@dataclass(slots=True)
class _Reader:
    """A caller that waits for a confirmation of leadership."""

    done: anyio.Event = field(default_factory=anyio.Event)
    confirmed: bool = False


class ProposalWaiters:
    """Commands without a result: new, being appended or appended."""

    def __init__(self) -> None:
        self._new: list[_Proposal] = []
        self._appending: list[_Proposal] = []
        self._appended: dict[int, tuple[int, _Proposal]] = {}

    async def wait(self, command: Command) -> CommandResult:
        """Queue a command, wait for its result and return it."""
        proposal = _Proposal(command)
        self._new.append(proposal)
        await proposal.done.wait()
        return proposal.result

    def begin_append(self) -> list[Command]:
        """Return the new commands; `on_appended` or `on_refused` must follow."""
        assert not self._appending
        self._appending, self._new = self._new, []
        return [proposal.command for proposal in self._appending]

    def on_appended(self, first_index: int, term: int) -> None:
        """Record the indexes of the commands that `begin_append` returned."""
        for offset, proposal in enumerate(self._appending):
            self._appended[first_index + offset] = (term, proposal)
        self._appending = []

    def on_refused(self, result: CommandResult) -> None:
        """Finish the commands that `begin_append` returned with a failure."""
        for proposal in self._appending:
            proposal.finish(result)
        self._appending = []

    def refuse_all(self, result: CommandResult) -> None:
        """Finish all commands that aren't appended yet with a failure."""
        self._appending += self._new
        self._new = []
        self.on_refused(result)

    def on_applied(self, index: int, term: int, result: CommandResult) -> None:
        """Finish the command at an index; outcome unknown if another term wrote it."""
        appended_term, proposal = self._appended.pop(index, (0, None))
        if proposal is not None:
            proposal.finish(result if term == appended_term else _outcome_unknown())

    def on_leadership_lost(self) -> None:
        """Finish the appended commands; the next leader may still commit them."""
        for _, proposal in self._appended.values():
            proposal.finish(_outcome_unknown())
        self._appended.clear()


class ReadWaiters:
    """Callers that wait for a confirmation of leadership, grouped by read."""

    def __init__(self) -> None:
        self._new: list[_Reader] = []
        self._readers_by_read: dict[int, list[_Reader]] = {}
        self._last_read_id = 0

    async def wait(self) -> bool:
        """Wait for a read and return whether it confirmed leadership."""
        reader = _Reader()
        self._new.append(reader)
        await reader.done.wait()
        return reader.confirmed

    @property
    def is_empty(self) -> bool:
        """Whether no caller waits."""
        return not self._new and not self._readers_by_read

    def begin_read(self) -> int | None:
        """Return the id of a read for all new callers, None if there are none."""
        if not self._new:
            return None
        self._last_read_id += 1
        self._readers_by_read[self._last_read_id], self._new = self._new, []
        return self._last_read_id

    def finish_read(self, read_id: int, confirmed: bool) -> None:
        """Return a result to all callers of a read."""
        for reader in self._readers_by_read.pop(read_id, []):
            reader.confirmed = confirmed
            reader.done.set()

    def fail_all(self) -> None:
        """Return to all callers that leadership isn't confirmed."""
        self.begin_read()
        for read_id in list(self._readers_by_read):
            self.finish_read(read_id, False)


def _outcome_unknown() -> CommandResult:
    detail = "leadership was lost before the command was confirmed"
    return CommandResult(Failure(ErrorKind.OUTCOME_UNKNOWN, detail=detail))
