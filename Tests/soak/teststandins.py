"""The ledger of the soak catches a breach of each promise that it checks."""

import os
import random
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from standins import CAPACITY_MILLIS, Ledger, Life, now  # noqa: E402


class LedgerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.ledger = Ledger()
        steps = [{"count": 1, "cpu": 1000}, {"count": 1, "cpu": 1000, "after": [0]}]
        for name in ("a", "b"):
            self.ledger.jobs[name] = {"spec": "text", "steps": steps, "accepted": True, "cancelled_at": 0.0, "cancel_sent": False}

    def life(self, name):
        return Life(name, self.ledger, random.Random(1))

    def start(self, life, task, run=1, spec="text", fence=1):
        return life.start({"task": task, "run": run, "spec": spec, "fencingToken": fence, "deadlineMs": life.clock() + 5000})[0]

    def rules(self):
        return [line.split()[0] for line in self.ledger.broken]

    async def test_two_runs_at_the_same_time(self):
        self.start(self.life("u1"), "a.0.0.0")
        self.start(self.life("u2"), "a.0.0.0", run=2)
        self.assertEqual(["TWICE"], self.rules())

    async def test_a_start_after_a_noted_end(self):
        life = self.life("u1")
        self.start(life, "a.0.0.0")
        life.end("a.0.0.0", "done")
        self.start(self.life("u2"), "a.0.0.0", run=2)
        self.assertEqual([], self.rules())  # Nobody took note yet, and the first run is over.
        life.acknowledge(1)
        self.start(self.life("u3"), "a.0.0.0", run=3)
        self.assertIn("TWICE", self.rules())

    async def test_more_than_a_worker_holds(self):
        life = self.life("u1")
        self.ledger.jobs["a"]["steps"] = [{"count": 9, "cpu": CAPACITY_MILLIS // 2 + 1}]
        self.start(life, "a.0.0.0")
        self.start(life, "a.0.0.1")
        self.assertEqual(["LIMIT"], self.rules())

    async def test_a_step_before_its_turn(self):
        self.start(self.life("u1"), "a.0.1.0")
        self.assertEqual(["ORDER"], self.rules())

    async def test_what_nobody_asked_for(self):
        life = self.life("u1")
        self.start(life, "c.0.0.0")
        self.start(life, "a.0.0.0", spec="other")
        self.ledger.jobs["b"]["cancelled_at"] = now() - 60
        self.start(life, "b.0.0.0")
        self.assertEqual(["UNASKED"] * 3, self.rules())

    async def test_a_lower_fence_does_nothing(self):
        life = self.life("u1")
        self.assertEqual(200, self.start(life, "a.0.0.0", fence=2))
        self.assertEqual(409, self.start(life, "b.0.0.0", fence=1))

    async def test_a_stopped_run_is_refused(self):
        life = self.life("u1")
        life.stop({"task": "a.0.0.0", "run": 3, "fencingToken": 1})
        self.assertEqual(409, self.start(life, "a.0.0.0", run=3))
        self.assertEqual(200, self.start(life, "a.0.0.0", run=4))


if __name__ == "__main__":
    unittest.main()
