"""Guards against programs that a signal kills while they load."""

import signal

import pytest

from damaskridge.binaries.platform import main


@pytest.mark.parametrize("program", ["entry", "control"])
def test_signals_while_the_program_loads_are_handled(program, tmp_path):
    """A settings change killed a program that had just been restarted (seed 111)."""
    settings = tmp_path / "settings"
    settings.write_text("Node=\n")
    kinds = (signal.SIGTERM, signal.SIGHUP)
    before = [signal.getsignal(kind) for kind in kinds]
    try:
        assert main([program], {"DAMASKRIDGE_CONFIG": str(settings)}) == 2
        assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
        assert callable(signal.getsignal(signal.SIGTERM))
    finally:
        for kind, handler in zip(kinds, before, strict=True):
            signal.signal(kind, handler)
