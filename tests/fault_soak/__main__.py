"""Plays seeds from the command line."""

import argparse
import logging
import shutil
import sys
import tempfile
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from tests.fault_soak.soak import run_seed


def _play(seed, length_s, guard):
    # Servers that are stopped in the middle of an answer would each leave a trace.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    record = run_seed(seed, folder, length_s, guard)
    if not record.broken:
        shutil.rmtree(folder)
    return seed, str(folder), record.broken, record.faults, record.answers


def main():
    """Play the seeds asked for; returns the exit status."""
    parser = argparse.ArgumentParser(prog="python -m tests.fault_soak")
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first-seed", type=int, default=0)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--guard", default="", help="switch this guard off")
    options = parser.parse_args()
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    faults, answers, failed = Counter(), Counter(), 0
    with ProcessPoolExecutor(options.workers) as pool:
        jobs = [pool.submit(_play, s, options.seconds, options.guard) for s in seeds]
        for job in jobs:
            seed, folder, broken, seen_faults, seen_answers = job.result()
            faults += seen_faults
            answers += seen_answers
            failed += bool(broken)
            if broken:
                print(f"seed {seed}, logs in {folder}")
                print("\n".join(f"  {line}" for line in broken[:6]), flush=True)
    print(f"{len(seeds)} seeds of {options.seconds} s, {failed} failed")
    print("faults:", dict(sorted(faults.items())))
    print("answers:", dict(sorted(answers.items(), key=str)))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
