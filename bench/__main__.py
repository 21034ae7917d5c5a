"""Runs the benchmarks behind `make bench` and joins their figures.

The last line is `BENCH` with all figures as JSON.
"""

import json
import subprocess
import sys

# Each benchmark with arguments that keep the whole run within minutes.
_BENCHMARKS = (
    ("bench.policy", "--seeds", "5", "--seconds", "4"),
    ("bench.added_latency",),
    ("bench.control_cost",),
)


def _run(module: str, *args: str) -> dict[str, object]:
    """Runs a benchmark, shows its output and returns its figures."""
    figures: dict[str, object] = {}
    argv = [sys.executable, "-m", module, *args]
    with subprocess.Popen(argv, stdout=subprocess.PIPE, text=True) as popen:
        assert popen.stdout is not None
        for line in popen.stdout:
            if line.startswith("BENCH "):
                figures = json.loads(line.removeprefix("BENCH "))
            else:
                print(line, end="", flush=True)
    if popen.returncode:
        raise SystemExit(f"{module} ended with exit code {popen.returncode}")
    return figures


def main() -> None:
    """Runs all benchmarks one after the other."""
    joined: dict[str, object] = {}
    for module, *args in _BENCHMARKS:
        joined.update(_run(module, *args))
    print("BENCH " + json.dumps(joined))


if __name__ == "__main__":
    main()
