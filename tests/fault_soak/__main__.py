"""Command line of the fault soak."""

import argparse
import logging
import shutil
import sys
import tempfile
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from tests.fault_soak.soak import run_seed


def _run_in_folder(seed, fault_duration_s, guard):
    # Otherwise asyncio logs a traceback for each server stopped during a response.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    record = run_seed(seed, folder, fault_duration_s, guard)
    if not record.violations:
        shutil.rmtree(folder)
    return (
        seed,
        str(folder),
        record.violations,
        record.fault_counts,
        record.status_counts,
        record.take_ups,
    )


def main():
    """Run the requested seeds and return the exit status."""
    parser = argparse.ArgumentParser(prog="python -m tests.fault_soak")
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first-seed", type=int, default=0)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--guard", default="", help="disable this guard")
    options = parser.parse_args()
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    fault_counts, status_counts, failed_seeds = Counter(), Counter(), 0
    take_ups = Counter()
    with ProcessPoolExecutor(options.workers) as pool:
        jobs = [
            pool.submit(_run_in_folder, s, options.seconds, options.guard)
            for s in seeds
        ]
        for job in jobs:
            seed, folder, violations, *counts = job.result()
            seed_fault_counts, seed_status_counts, seed_take_ups = counts
            fault_counts += seed_fault_counts
            status_counts += seed_status_counts
            take_ups += seed_take_ups
            failed_seeds += bool(violations)
            if violations:
                print(f"seed {seed}, logs in {folder}")
                print("\n".join(f"  {line}" for line in violations[:6]), flush=True)
    print(f"{len(seeds)} seeds of {options.seconds} s, {failed_seeds} failed")
    print("faults by kind:", dict(sorted(fault_counts.items())))
    print("responses by status:", dict(sorted(status_counts.items(), key=str)))
    print("streams taken up:", dict(sorted(take_ups.items(), key=str)))
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
