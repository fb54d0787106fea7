"""Guards against requests that fail under load while entry hosts restart in turn."""

import signal

from examples.demo_settings import ENTRIES
from tests.processes.loaded_fleet import Fleet, LoadGenerator, failed_responses


def test_no_request_fails_while_all_entry_hosts_are_restarted(tmp_path):
    with Fleet(tmp_path) as fleet:
        load = LoadGenerator(fleet)
        for name in ENTRIES:
            process = fleet.processes.running.pop(name)
            process.send_signal(signal.SIGTERM)
            assert process.wait(timeout=20) == 0
            fleet.processes.start_entry(name)
            fleet.wait_ready([name])
        responses = load.stop()
        assert failed_responses(responses) == []
        assert len(responses) > 30
        assert len({item.request_id for item in responses}) == len(responses)
