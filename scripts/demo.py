"""A bounded scripted load through failures; status 1 if a promise broke.

Runs inside ``scripts/run.sh casablanca``, which starts and stops the system.
"""

import json
import os
import pathlib
import random
import signal
import sys
import time

from twisted.internet import defer
from twisted.internet import task

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'bench'))

import load  # noqa: E402
import prepare  # noqa: E402

SECONDS = 18.0
SHIFT_AT = 6.0
WITHDRAW_AT = 8.0
KILL_AT = 11.0
RECLAIM_AT = 14.0
REQUESTS_PER_SECOND = 25
ORDERS_PER_SECOND = 3
BOUND_SECONDS = 3.0
USAGE_WAIT_SECONDS = 8.5
HOSTS = 6
KILLED = 5
CLASSES = [
    ('core-box-review', 'pattern', 4.0),
    ('draft-angle-check', 'pattern', 0.8),
    ('shrinkage-note', 'floor-order', 2.0),
]


def callers(number):
    """Return the address of a gateway for callers."""
    return 'http://127.0.0.1:%d' % (18080 + number)


def admin(number):
    """Return the address of a gateway's admin listener."""
    return 'http://127.0.0.1:%d' % (18100 + number)


class Demo:
    """The script, and what came of it."""

    def __init__(self, reactor):
        self.load = load.Load(reactor)
        self.random = random.Random(7)
        self.keys = {}
        self.answers = []
        self.orders = {}
        self.began = time.monotonic()
        self.withdrawn_at = None
        self.killed_at = None
        self.broken = []

    async def run(self):
        """Run the whole script."""
        for number in range(1, 4):
            team = 'team-%d' % number
            self.keys[team] = prepare.run_ctl(
                admin(0), 'key', 'issue', team
            ).split()[0]
        self.began = time.monotonic()
        events = [
            load.start(self.at(WITHDRAW_AT, self.withdraw)),
            load.start(self.at(KILL_AT, self.kill)),
            load.start(self.at(RECLAIM_AT, self.reclaim)),
        ]
        running = await self.offer()
        await self.finish(running + events)
        await self.load.sleep(USAGE_WAIT_SECONDS)
        await self.judge()

    async def finish(self, steps):
        """Wait for every step; one that failed breaks the demo."""
        for succeeded, result in await defer.DeferredList(
            steps, consumeErrors=True
        ):
            if not succeeded:
                self.broken.append('a step failed: %r' % result.value)

    async def at(self, seconds, event):
        """Let something happen at a time of the script."""
        await self.load.sleep(seconds)
        await event()

    def passed(self):
        """Return the seconds since the script began."""
        return time.monotonic() - self.began

    async def offer(self):
        """Send requests and orders at an even pace."""
        running = []
        tick = 0
        while self.passed() < SECONDS:
            running.append(load.start(self.request()))
            if tick % (REQUESTS_PER_SECOND // ORDERS_PER_SECOND) == 0:
                running.append(load.start(self.order(tick)))
            tick += 1
            await self.load.sleep(1.0 / REQUESTS_PER_SECOND)
        return running

    def pick_host(self):
        """Choose a gateway as the balancer would, not a dead one."""
        count = HOSTS - 1 if self.killed_at else HOSTS
        return self.random.randrange(count)

    async def request(self):
        """Make one model request and keep what came of it."""
        name, model, target = self.random.choice(CLASSES)
        team = self.random.choice(sorted(self.keys))
        words, tokens = 20, 60
        if self.passed() > SHIFT_AT:
            words, tokens = 1200, 8
        prompt = '%d %s' % (self.random.random() * 50, 'mold ' * words)
        sent_at = time.monotonic()
        answer = await self.load.ask(
            callers(self.pick_host()),
            self.keys[team],
            model,
            prompt,
            tokens,
            Cairnloom_Class=name,
        )
        self.answers.append((name, target, team, sent_at, tokens, answer))

    async def order(self, number):
        """Send one pour order twice, through two gateways."""
        key = 'pour-%d' % number
        statuses = []
        for _ in range(2):
            statuses.append(await self.pour(key, number))
        self.orders[key] = statuses

    async def pour(self, key, number):
        """Send one pour order."""
        url = callers(self.pick_host()) + '/pour-orders/new'
        headers = load.http_headers.Headers(
            {
                'authorization': ['Bearer ' + self.keys['team-1']],
                'idempotency-key': [key],
            }
        )
        body = json.dumps({'order': number}).encode()
        try:
            reply = await self.load.http.exchange(
                'POST', url, body, 10.0, headers
            )
        except load.exceptions.TransportError:
            return 0
        return reply.status

    async def withdraw(self):
        """Withdraw the key of one team while its requests go on."""
        reply = await self.change(
            {'kind': 'withdraw_key', 'key_hash': self.hash('team-2')}
        )
        if reply['state'] != 'accepted':
            self.broken.append('withdrawal: %s' % reply)
        self.withdrawn_at = time.monotonic()

    def hash(self, team):
        """Return the hash of a team's key."""
        from cairnloom.coordination import documents

        return documents.hash_key(self.keys[team])

    async def change(self, change):
        """Make one change through a gateway."""
        reply = await self.load.http.exchange(
            'POST',
            admin(1) + '/configuration',
            json.dumps({'changes': [change]}).encode(),
            10.0,
        )
        return json.loads(reply.body)

    async def kill(self):
        """Kill one gateway."""
        path = pathlib.Path('run/casablanca/gateway-%d.pid' % KILLED)
        self.killed_at = time.monotonic()
        os.kill(int(path.read_text()), signal.SIGKILL)

    async def reclaim(self):
        """Let the platform take one domain's cheap endpoints away."""
        await self.load.http.exchange(
            'POST',
            'http://127.0.0.1:18000/faults',
            b'{"reclaim_domain": "cas-b"}',
            5.0,
        )

    async def judge(self):
        """Check the promises and print what happened."""
        reply = await self.load.http.exchange(
            'GET', 'http://127.0.0.1:18000/record', b'', 5.0
        )
        record = json.loads(reply.body)
        self.judge_answers()
        self.judge_orders(record)
        self.judge_record(record)
        self.show(record)

    def judge_answers(self):
        """Every answer is whole, refused, or lost with what was killed."""
        for name, _, team, sent_at, tokens, answer in self.answers:
            late = self.withdrawn_at and (
                sent_at > self.withdrawn_at + BOUND_SECONDS
            )
            if team == 'team-2' and late and answer.status == 200:
                self.broken.append('%s: withdrawn key served' % name)
            if answer.status == 200 and answer.whole:
                if answer.tokens != tokens:
                    self.broken.append('%s: answer not whole' % name)
            elif answer.status == 200 and not self.is_excused(team, sent_at):
                self.broken.append('%s: answer cut %s' % (name, answer.error))
            elif answer.status and answer.status != 200:
                if answer.run_state not in ('not-run', 'may-have-run'):
                    self.broken.append('%s: no run state' % name)

    def is_excused(self, team, sent_at):
        """Tell whether a cut follows from the withdrawal or the kill."""
        if team == 'team-2':
            return True
        return sent_at < self.killed_at < sent_at + 5.0

    def judge_orders(self, record):
        """An order that was confirmed ran once, and none ran twice."""
        runs = [json.loads(run)['order'] for run in record['runs']]
        for key, statuses in self.orders.items():
            count = runs.count(int(key.split('-')[1]))
            if count > 1:
                self.broken.append('%s ran %d times' % (key, count))
            if 200 in statuses and count != 1:
                self.broken.append('%s confirmed, ran %d' % (key, count))

    def judge_record(self, record):
        """Check what reached the platform and the endpoints."""
        if record['cut_by_order']:
            self.broken.append('requests cut by a role change')
        if 'authorization' in record['header_names']:
            self.broken.append('an endpoint saw a key')
        windows = [report['window'] for report in record['reports']]
        if len(windows) != len(set(windows)):
            self.broken.append('a usage window was reported twice')
        billed = sum(
            figures['decode_tokens']
            for report in record['reports']
            for figures in report['teams'].values()
        )
        served = sum(item[-1].tokens for item in self.answers)
        self.billed, self.served = billed, served
        # What a killed gateway had not written is not billed; answers that
        # broke off may be billed for tokens that their callers never saw.
        if billed > served * 1.02 + 60:
            self.broken.append('billed %d of %d' % (billed, served))

    def show(self, record):
        """Print the table."""
        print('%-20s %7s %7s %8s %8s %7s' % HEADS)
        for name, _, target in CLASSES:
            mine = [item for item in self.answers if item[0] == name]
            whole = [item[-1] for item in mine if item[-1].whole]
            met = [item for item in whole if item.first_token <= target]
            firsts = [item.first_token for item in whole]
            print(
                '%-20s %6.1fs %7d %8d %7.3fs %6.1f%%'
                % (
                    name,
                    target,
                    len(mine),
                    len(whole),
                    load.percentile(firsts, 95),
                    100.0 * len(met) / max(1, len(whole)),
                )
            )
        refused = [
            item[-1].status
            for item in self.answers
            if item[-1].status not in (0, 200)
        ]
        lost = [item for item in self.answers if not item[-1].status]
        print('refused: %s' % {s: refused.count(s) for s in set(refused)})
        print('no answer (killed gateway): %d' % len(lost))
        print(
            'pour orders: %d, runs: %d'
            % (len(self.orders), len(record['runs']))
        )
        print(
            'usage: %d windows reported, %d of %d tokens billed'
            % (len(record['reports']), self.billed, self.served)
        )
        changes = sum(len(item) for item in record['orders'].values())
        print(
            'role changes: %d, platform orders: %d'
            % (changes, len(record['platform_orders']))
        )
        for line in self.broken[:20]:
            print('BROKEN: %s' % line)
        print('promises: %s' % ('BROKEN' if self.broken else 'kept'))


HEADS = ('class', 'target', 'asked', 'whole', 'p95', 'met')


async def main(reactor):
    """Run the script and end with its verdict."""
    demo = Demo(reactor)
    await demo.run()
    await demo.load.http.close()
    if demo.broken:
        raise SystemExit(1)


if __name__ == '__main__':
    task.react(lambda reactor: load.start(main(reactor)))
