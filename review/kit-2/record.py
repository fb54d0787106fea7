"""What a case has seen, written to record.txt."""

import time


class Record:
    """Collects lines with the time since the start of the case."""

    def __init__(self, path):
        self._file = path.open("w")
        self._start_s = time.monotonic()
        # Attempt ids with the runners that ran them.
        self.runs = {}

    def now_s(self):
        return time.monotonic() - self._start_s

    def note(self, text):
        self._file.write(f"{self.now_s():8.3f}  {text}\n")
        self._file.flush()

    def ran(self, runner, service, attempt, request):
        self.runs.setdefault(attempt, []).append((runner, service, request))
        self.note(f"{runner} ({service}) runs {attempt} {request.target}")

    def close(self):
        self._file.close()
