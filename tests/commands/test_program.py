"""The exit codes of programs."""

import signal
import subprocess
import sys

_FAILING_PROGRAM = """
import asyncio
import mode
from tanagerspoke.commands import program

class Failing(mode.Service):
    async def close(self):
        await self.stop()

    @mode.Service.task
    async def _work(self):
        await asyncio.sleep(0)
        raise RuntimeError("no more work")

program.serve(name="test", log_level="INFO", make_service=Failing)
"""

_SLOWLY_ENDING_PROGRAM = """
import os
import mode
from tanagerspoke.commands import program

class Service(mode.Service):
    async def on_started(self):
        print("started", flush=True)

    async def close(self):
        await self.stop()

class End:
    # Runs when the interpreter clears its modules, after it has restored the
    # default action of signals that have a handler.
    def __del__(self, read=os.read, write=os.write):
        write(1, b"ending\\n")
        read(0, 1)

end = End()
program.serve(name="test", log_level="ERROR", make_service=Service)
"""


def test_failed_task_ends_the_process() -> None:
    """Guards against a process that keeps running after a task failed."""
    process = subprocess.run(
        [sys.executable, "-c", _FAILING_PROGRAM],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert process.returncode == 1
    assert '"event": "task_failed"' in process.stdout


def test_signal_after_the_stop_does_not_kill_the_process() -> None:
    """Guards against exit code -15 when a supervisor repeats SIGTERM."""
    with subprocess.Popen(
        [sys.executable, "-c", _SLOWLY_ENDING_PROGRAM],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        assert process.stdout.readline() == "started\n"
        process.send_signal(signal.SIGTERM)
        assert process.stdout.readline() == "ending\n"
        process.send_signal(signal.SIGTERM)
        process.stdin.close()
        assert process.wait(60) == 0
