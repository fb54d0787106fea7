"""A restart of entry hosts, one after another, that fails requests under load."""

import signal

from examples.demo_settings import ENTRIES
from tests.processes.loaded_fleet import Fleet, Load, problems


def test_no_request_fails_while_all_entry_hosts_are_restarted(tmp_path):
    with Fleet(tmp_path) as fleet:
        load = Load(fleet)
        for name in ENTRIES:
            process = fleet.processes.running.pop(name)
            process.send_signal(signal.SIGTERM)
            assert process.wait(timeout=20) == 0
            fleet.processes.start_entry(name)
            fleet.wait_ready([name])
        answers = load.stop()
        assert problems(answers) == []
        assert len(answers) > 30
        assert len({item.request_id for item in answers}) == len(answers)
