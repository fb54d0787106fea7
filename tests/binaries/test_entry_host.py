"""Guards against a planned stop that refuses callers with a cached address."""

import anyio
from tests.binaries.test_entry_settings import VALID
from tests.paused import run_paused

from damaskridge.binaries.entry_host import EntryHost
from damaskridge.binaries.entry_settings import EntrySettings
from damaskridge.binaries.http_server import LATE_REQUEST_S
from damaskridge.binaries.settings_file import load_settings

# Time until the other hosts have removed the host from the list of addresses.
DRAIN_COMMIT_S = 0.8


def test_requests_are_accepted_until_the_last_cached_address_has_expired(tmp_path):
    async def main():
        path = tmp_path / "entry.json"
        path.write_text(VALID)
        host = EntryHost(load_settings(path, EntrySettings).unwrap())
        refused_from_s = []

        async def begin_drain():
            await anyio.sleep(DRAIN_COMMIT_S)

        async def do_nothing():
            pass

        host.control.begin_drain = begin_drain
        host.control.close = host.owners.release_all = do_nothing
        host.front.begin_drain = lambda: refused_from_s.append(anyio.current_time())
        stopped = anyio.Event()
        stopped.set()
        started_s = anyio.current_time()
        await host._drain(stopped)
        keep_s = host.settings.front.keep_s
        expired_s = started_s + DRAIN_COMMIT_S + keep_s
        assert refused_from_s[0] >= expired_s + LATE_REQUEST_S

    run_paused(main())
