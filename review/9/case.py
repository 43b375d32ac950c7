"""A client withdraws a job that a frozen instance has not read yet; the job runs afterwards."""

import json
import signal
import sys
import threading
import time
from pathlib import Path

from system import CANCEL_S, CONTACT_S, STOP_S, TROUBLE, NotRunError, System, run_case

FREEZE_S = 0.8
FIRST_SEND_S = 0.1
BUDGET_S = 3.0
GIVE_UP_S = 0.5
WORK_S = 8.5
WATCH_S = 16.0
JOB = "5c0e7a21d94b36f8"
STEP = {"count": 4, "cpu": 26000, "mem-mb": 68000, "gpu": 2, "estimated-ms": 8500}


def case(system: System) -> str:
    """Play the case; return what was broken, empty if the rule held."""
    for n in range(2):
        system.worker(f"i-7f3a91c{n}", labels=["a", f"r1-{n}"]).join()
    system.up()
    first, second = system.following()
    woken_s = system.now_s()
    if TROUBLE:
        first.send(signal.SIGSTOP)
        woken_s += FREEZE_S
        threading.Timer(FREEZE_S, first.send, (signal.SIGCONT,)).start()
    time.sleep(FIRST_SEND_S)
    body = {"spec": json.dumps({"work_s": WORK_S}), "steps": [STEP]}
    path = f"/plate/{JOB}"
    submitted, _ = system.call(
        "POST", path, at=first, body=body, timeout_s=GIVE_UP_S, budget_s=BUDGET_S
    )
    withdrawn, _ = system.call("DELETE", path, at=second)
    if withdrawn not in (200, 410):
        raise NotRunError(f"the cancel was answered with {withdrawn}")
    acked_s = system.now_s()
    system.say(f"the cancel is acknowledged with {withdrawn}; the submit got {submitted}")
    gone_by_s = max(acked_s + CANCEL_S + STOP_S, woken_s + CONTACT_S)
    seen: set[str] = set()
    while system.now_s() < acked_s + WATCH_S:
        time.sleep(0.05)
        running = set(system.runs_of(JOB))
        if system.now_s() > gone_by_s and running - seen:
            seen |= running
            system.say(f"at work {system.now_s() - acked_s:.1f} s after the cancel: {running}")
    late = []
    for at_s, task, run in system.starts_of(JOB):
        system.say(f"start of {task} run {run}: {at_s - acked_s:.2f} s after the cancel")
        if at_s > gone_by_s:
            late.append(task)
    system.say(f"the job is shown as {system.state(path)}")
    if not seen:
        return ""
    return (
        f"UNASKED: {sorted(seen)} at work, {late} started, later than {CANCEL_S} s + {STOP_S} s "
        f"after the job's cancelling was acknowledged with {withdrawn}, and {CONTACT_S} s after "
        "the freeze"
    )


if __name__ == "__main__":
    run_case(case, Path(sys.argv[1]))
