"""What all scripts have in common: the record, the verdict and the end of all processes."""

import asyncio
import os
import signal
import sys
import time
import traceback

LONGEST_S = 110

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} s  {text}\n")

    def say(self, text):
        self.line(text)
        print(text, flush=True)


def play(main, folder):
    """Runs a case; its result is whether the rule held. Exits with 0, 1 or 2 as the issue says."""
    record = Record(folder)
    record.line("with the disruption" if TROUBLE else "without the disruption (TROUBLE=0)")

    async def bounded():
        task = asyncio.ensure_future(main(record))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await asyncio.wait_for(task, LONGEST_S)

    try:
        code = 0 if asyncio.run(bounded()) else 1
    except BaseException:
        record.line(traceback.format_exc())
        traceback.print_exc()
        code = 2
    record.line({0: "the rule held", 1: "the rule was broken", 2: "the case couldn't run"}[code])
    record.file.close()
    sys.exit(code)
