"""The program `damaskridge-ctl`, with which operators control a fleet.

Exit codes: 0 success, 1 refused, 2 wrong usage or an invalid file, 3 no control host
responds. Every error is one line on standard error.
"""

import sys
from collections.abc import Callable, Sequence
from importlib.metadata import PackageNotFoundError, version
from typing import Any, NoReturn, TypeVar, cast

import fire
from fire import completion
from fire.decorators import FIRE_METADATA, SetParseFns

from damaskridge.binaries.ctl_commands import CtlError, CtlSettings, Operations

__all__ = ["Ctl", "main"]

F = TypeVar("F", bound=Callable[..., Any])


def _parse_as_text(*positional: type[str], **named: type[str]) -> Callable[[F], F]:
    """Pass arguments as text; fire would parse ``1e5`` as a number."""
    return cast(Callable[[F], F], SetParseFns(*positional, **named))


class Ctl:
    """
    Controls a fleet.

    Parameters
    ----------
    control
        Addresses of the control hosts, ``ip:port`` with commas between them.
    operator
        Name of the operator.
    key_file
        File with the operator's key.
    request_id
        Repeats an earlier command: give the id that it printed.
    json
        Print JSON.
    """

    @_parse_as_text(control=str, operator=str, key_file=str, request_id=str)
    def __init__(
        self,
        *,
        control: str = "",
        operator: str = "",
        key_file: str = "",
        request_id: str = "",
        json: bool = False,
    ) -> None:
        settings = CtlSettings(
            control=tuple(item.strip() for item in control.split(",") if item.strip()),
            operator=operator,
            key_file=key_file,
            request_id=request_id,
            as_json=json,
        )
        self._operations = Operations(settings)

    @_parse_as_text(str)
    def check(self, file: str) -> None:
        """Check a bundle file and name every fault."""
        self._operations.check(file)

    @_parse_as_text(str)
    def diff(self, file: str) -> None:
        """Show what a bundle file changes in the version in force."""
        self._operations.diff(file)

    @_parse_as_text(str)
    def propose(self, file: str) -> None:
        """Propose a bundle file; prints the proposal's id."""
        self._operations.propose(file)

    @_parse_as_text(str)
    def sign_off(self, proposal: str) -> None:
        """Approve another operator's proposal."""
        self._operations.sign_off(proposal)

    @_parse_as_text(str)
    def roll(self, proposal: str, *, expected_version: int) -> None:
        """Put a proposal in force if the expected version is in force now."""
        self._operations.roll(proposal, expected_version)

    def rollback(self, *, to_version: int, expected_version: int) -> None:
        """Put the content of an older version in force as a new version."""
        self._operations.roll_back(to_version, expected_version)

    def status(self) -> None:
        """Show the version in force, hosts, proposals, drains and evacuations."""
        self._operations.status()

    def leases(self) -> None:
        """Show sessions and the owner of every resource."""
        self._operations.leases()

    @_parse_as_text(str, label=str)
    def key_issue(self, workspace: str, *, label: str = "") -> None:
        """Propose a bundle with a new key and print the key once."""
        self._operations.key_issue(workspace, label)

    @_parse_as_text(digest=str)
    def key_withdraw(self, *, digest: str = "") -> None:
        """Withdraw a key for good: by its digest, else the key on standard input."""
        self._operations.key_withdraw(digest)

    @_parse_as_text(str, str)
    def drain(self, target: str, name: str) -> None:
        """Start draining; TARGET is host or backend_server."""
        self._operations.drain(target, name, draining=True)

    @_parse_as_text(str, str)
    def undrain(self, target: str, name: str) -> None:
        """End draining; TARGET is host or backend_server."""
        self._operations.drain(target, name, draining=False)

    @_parse_as_text(str)
    def evacuate(self, data_centre: str) -> None:
        """Send nothing new to the backend servers of a data centre."""
        self._operations.evacuate(data_centre, is_evacuated=True)

    @_parse_as_text(str)
    def take_back(self, data_centre: str) -> None:
        """End the evacuation of a data centre; its servers count as cold."""
        self._operations.evacuate(data_centre, is_evacuated=False)

    @_parse_as_text(str, str, str, workspace=str)
    def explain(
        self,
        address: str,
        host_name: str,
        path: str,
        *,
        workspace: str = "",
        prompt_tokens: int = 0,
        max_output_tokens: int = 0,
        expected_output_tokens: int = 0,
    ) -> None:
        """
        Show where an entry host would send a request now, without sending it.

        ADDRESS is the host's metrics address; HOST_NAME and PATH select the route.
        """
        self._operations.explain(
            address,
            {
                "host_name": host_name,
                "path": path,
                "workspace": workspace,
                "prompt_tokens": prompt_tokens,
                "max_output_tokens": max_output_tokens,
                "expected_output_tokens": expected_output_tokens,
            },
        )

    def version(self) -> None:
        """Print the version of this program."""
        try:
            print(version("damaskridge"))
        except PackageNotFoundError:
            print("unknown")


def _hide_fire_metadata() -> None:
    """Hide the attribute that `SetParseFns` adds from fire's usage texts."""
    is_visible = completion.MemberVisible

    def is_command(component: object, name: str, *rest: Any, **options: Any) -> bool:
        visible = is_visible(component, name, *rest, **options)
        return bool(visible) and name != FIRE_METADATA

    completion.MemberVisible = is_command


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command line; exit with the code of an error."""
    _hide_fire_metadata()
    try:
        fire.Fire(Ctl, command=arguments, name="damaskridge-ctl")
    except CtlError as error:
        _exit(error.code, str(error))
    except KeyboardInterrupt:
        _exit(CtlError.UNREACHABLE, "interrupted; the command may have been applied")


def _exit(code: int, message: str) -> NoReturn:
    print(f"damaskridge-ctl: {message}", file=sys.stderr)
    sys.exit(code)


if __name__ == "__main__":
    main()
