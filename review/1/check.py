"""The store comes back from an older copy; a host is restarted later."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stage as stages  # noqa: E402

# How old the copy is, and for how long the store is away.
COPY_SECONDS = 8.0
AWAY_SECONDS = 1.0


async def run():
    configuration = stages.make_configuration(
        10,
        [
            stages.make_route('/order/', 'unsafe', 'floor'),
            stages.make_route('/stock/', 'safe', 'floor', MaxAttempts=2),
        ],
        [{'Name': 'floor', 'HealthPath': '/healthz', 'MaxConnections': 100}],
    )
    stage = stages.Stage(FOLDER, configuration)
    try:
        await stage.open()
        for number in range(3):
            await stage.add_replica(
                'i-%d' % number, 'floor', stage.zones[number]
            )
        stage.configure(configuration)
        await stage.start_hosts()
        return await play(stage)
    finally:
        await stage.close()


async def play(stage):
    traffic = asyncio.create_task(send_traffic(stage))
    await stage.wait_for(
        lambda: len(list_full_reports(stage)) >= 3, 40, 'usage reports'
    )
    await asyncio.sleep(random.uniform(0.0, 5.0))
    if stages.is_troubled():
        await stage.store.drill(COPY_SECONDS, AWAY_SECONDS)
    else:
        await asyncio.sleep(AWAY_SECONDS)
    # More than ContactMs later, planned work: the hosts are restarted in
    # turn, beginning with one that does not hold the lease.
    await asyncio.sleep(4.0)
    holder = stage.cloud.calls[-1]['holder']
    others = [host for host in stage.hosts if host.name != holder]
    await others[0].restart()
    await asyncio.sleep(25.0)
    traffic.cancel()
    return judge(stage)


def list_full_reports(stage):
    return [call for call in stage.cloud.calls if call['body'].get('Counts')]


async def send_traffic(stage):
    """Send about 20 requests a second."""
    tasks = set()
    while True:
        for path, method in (('/order/1', 'POST'), ('/stock/1', 'GET')):
            task = asyncio.create_task(stage.send(path, method, b''))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.1)


def judge(stage):
    """Apply the rule ONE to the calls that the platform accepted."""
    broken = []
    first_reports, holders = {}, {}
    for call in stage.cloud.calls:
        if call['path'] != '/usage':
            continue
        window, counts = call['body']['WindowSeq'], call['body']['Counts']
        first = first_reports.setdefault(window, call)
        if first['body']['Counts'] != counts:
            broken.append(
                'ONE: window %d reported by %s (fence %d) as %s, '
                'then by %s (fence %d) as %s'
                % (
                    window,
                    first['holder'],
                    first['fence'],
                    first['body']['Counts'],
                    call['holder'],
                    call['fence'],
                    counts,
                )
            )
        holder = holders.setdefault(call['fence'], call['holder'])
        if holder != call['holder']:
            broken.append(
                'ONE: %s and %s sent the token %d'
                % (holder, call['holder'], call['fence'])
            )
    broken = list(dict.fromkeys(broken))
    for line in broken:
        stage.record.write('%s', line)
    return broken


if __name__ == '__main__':
    stages.play(run)
