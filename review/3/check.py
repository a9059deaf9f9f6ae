"""The hosts are restarted in turn while endpoints are ordered in vain."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stage as stages  # noqa: E402

LEASE_SECONDS = stages.BOUNDS['LeaseMs'] / 1000
# The pause between two hosts that are stopped.
GAP_SECONDS = 1.0
# The pause between two rounds is random, so that the rounds don't keep step
# with the orders of the holder.
PAUSE_SECONDS = (0.5, 3.5)
PLAYED_SECONDS = 100.0


async def run():
    service = stages.make_engine_service('llm')
    service['Scaling'] = {
        'MinReplicas': 1,
        'MaxReplicas': 2,
        'BootTimeoutS': 4.0,
        'SpotPrice': 0.18,
        'ZonePrices': {'a': 1.0, 'b': 0.8, 'c': 1.25},
    }
    configuration = stages.make_configuration(
        10,
        [
            stages.make_route('/stock/', 'safe', 'floor', MaxAttempts=2),
            stages.make_route('/chat/', 'streaming', 'llm', Sticky=True),
        ],
        [
            {
                'Name': 'floor',
                'HealthPath': '/healthz',
                'MaxConnections': 100,
            },
            service,
        ],
    )
    stage = stages.Stage(FOLDER, configuration)
    try:
        await stage.open()
        stage.cloud.refuses_spot = True
        for number, zone in enumerate(stage.zones):
            await stage.add_replica('i-%d' % number, 'floor', zone)
            stage_name = 'prefill' if number == 0 else 'decode'
            await stage.add_replica('e-%d' % number, 'llm', zone, stage_name)
        stage.configure(configuration)
        await stage.start_hosts()
        return await play(stage)
    finally:
        await stage.close()


async def play(stage):
    traffic = asyncio.create_task(send_traffic(stage))
    await asyncio.sleep(10.0)
    while stage.record.now() < PLAYED_SECONDS:
        restarts = []
        if stages.is_troubled():
            for host in sort_hosts(stage):
                restarts.append(asyncio.create_task(host.restart()))
                await asyncio.sleep(GAP_SECONDS)
        await asyncio.gather(*restarts)
        await asyncio.sleep(random.uniform(*PAUSE_SECONDS))
    traffic.cancel()
    return judge(stage)


def sort_hosts(stage):
    """Return the hosts, first the one that acted last."""
    holder = stage.cloud.calls[-1]['holder']
    return sorted(stage.hosts, key=lambda host: host.name != holder)


async def send_traffic(stage):
    """Send about 10 requests a second."""
    tasks = set()
    while True:
        task = asyncio.create_task(stage.send('/stock/1'))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.1)


def judge(stage):
    """Apply the rule ONE to the calls for each duty and subject."""
    calls_by_subject = {}
    for call in stage.cloud.calls:
        body = call['body']
        subject = (call['path'], body.get('Service'), body.get('Zone'))
        calls_by_subject.setdefault(subject, []).append(call)
    broken = []
    for subject, calls in calls_by_subject.items():
        highest = 0
        for number, call in enumerate(calls):
            if call['fence'] < highest:
                broken.append('ONE: %s: lower token in %s' % (subject, call))
            highest = max(highest, call['fence'])
            turn = find_turn(calls[: number + 1])
            if turn:
                broken.append('ONE: %s: %s' % (subject, turn))
    for line in broken:
        stage.record.write('%s', line)
    return broken


def find_turn(calls):
    """Return how holders took turns A, B, A with the last call, or ''."""
    last = calls[-1]
    between = None
    for call in reversed(calls):
        if last['at'] - call['at'] >= LEASE_SECONDS:
            return ''
        if call['holder'] != last['holder']:
            between = call
        elif between is not None:
            return ', '.join(
                '%s (token %d) at %.3f s'
                % (turn['holder'], turn['fence'], turn['at'])
                for turn in (call, between, last)
            )
    return ''


if __name__ == '__main__':
    stages.play(run)
