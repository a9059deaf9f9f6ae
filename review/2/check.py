"""A host is killed soon after the other two were restarted as planned."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stage as stages  # noqa: E402

DEADLINE_SECONDS = 6.0
EVENTS, EVENT_SECONDS = 18, 0.2
# The rule: of this many streams that are taken up, the share that goes on may
# not be under half of the share of new streams that begin.
MIN_STREAMS = 12
# How long all hosts run before the planned work. Longer than any stream lasts.
STEADY_SECONDS = 35.0
# How long after the planned work the third host is killed.
LATER_SECONDS = 8.0
TRIES = 3
PAUSE_SECONDS = 0.5


class Stream:
    """A stream of one client: its first try and the tries to take it up."""

    def __init__(self, first):
        self.first = first
        self.take_ups = []


async def run():
    configuration = stages.make_configuration(
        10,
        [
            stages.make_route(
                '/draft/',
                'streaming',
                'llm',
                TimeoutMs=6000,
                TargetLatencyMs=500,
                GapAimMs=400,
                MaxAttempts=2,
                Resumable=True,
                Sticky=True,
            )
        ],
        [stages.make_engine_service('llm')],
    )
    stage = stages.Stage(FOLDER, configuration)
    try:
        await stage.open()
        for number in range(4):
            replica = await stage.add_replica(
                'i-%d' % number, 'llm', stage.zones[number % 3], 'decode'
            )
            replica.event_count = EVENTS
            replica.event_seconds = EVENT_SECONDS
        stage.configure(configuration)
        await stage.start_hosts()
        return await play(stage)
    finally:
        await stage.close()


async def play(stage):
    streams, tasks = [], set()

    async def begin_streams():
        while True:
            task = asyncio.create_task(run_client(stage, streams))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(0.04)

    traffic = asyncio.create_task(begin_streams())
    await asyncio.sleep(STEADY_SECONDS)
    *restarted, last = stage.hosts
    for host in restarted:
        await host.restart()
        await asyncio.sleep(2.0)
    await asyncio.sleep(LATER_SECONDS)
    killed_at = stage.record.now()
    if stages.is_troubled():
        await last.kill()
    else:
        # The clients lose their connections, the host runs on.
        stage.break_clients(last)
    await asyncio.sleep(DEADLINE_SECONDS + 1.0)
    traffic.cancel()
    return judge(stage, streams, killed_at)


async def run_client(stage, streams):
    """Send a stream, and take it up again if it breaks off."""
    started_at = stage.record.now()

    def left():
        return started_at + DEADLINE_SECONDS - stage.record.now()

    first = await stage.send(
        '/draft/1', 'POST', b'prompt', DEADLINE_SECONDS, extra=describe(stage)
    )
    stream = Stream(first)
    streams.append(stream)
    last = first.events[-1][0] if first.events else 0
    if not last or first.whole:
        return
    for _ in range(TRIES):
        await asyncio.sleep(PAUSE_SECONDS)
        if left() < 1.0 or last >= EVENTS:
            return
        extra = describe(stage)
        extra |= {'Resumes': first.attempt, 'Last-Event-Id': str(last)}
        host = stage.choose_host(other_than=first.host)
        answer = await stage.send(
            '/draft/1', 'POST', b'prompt', left(), host, extra=extra
        )
        stream.take_ups.append(answer)
        if answer.events:
            last = answer.events[-1][0]
            if answer.whole:
                return


def describe(stage):
    return {
        'Accept': 'text/event-stream',
        'Model': 'm',
        'Token-Count': '400,40',
        'Prompt-Prefix': '5c1e07a2:200,%s:200' % stage.new_attempt()[-8:],
    }


def judge(stage, streams, killed_at):
    """Apply the rule LOST on streams that are taken up again."""
    begun = tried = taken_up = gone_on = 0
    for stream in streams:
        # New streams are counted from the kill on, like those taken up.
        if stream.first.in_touch and stream.first.sent_at >= killed_at:
            tried += 1
            begun += bool(stream.first.events)
        take_ups = [answer for answer in stream.take_ups if answer.in_touch]
        if take_ups:
            taken_up += 1
            gone_on += any(answer.events for answer in take_ups)
    line = (
        'at machines in touch: %d of %d new streams began; '
        '%d of %d streams that were taken up went on'
        % (begun, tried, gone_on, taken_up)
    )
    print(line)
    stage.record.write('%s', line)
    if taken_up < MIN_STREAMS:
        if stages.is_troubled() or not begun:
            raise stages.CannotRun('only %d take-ups' % taken_up)
        return []
    if gone_on / taken_up < 0.5 * begun / tried:
        return ['LOST: %s' % line]
    return []


if __name__ == '__main__':
    stages.play(run)
