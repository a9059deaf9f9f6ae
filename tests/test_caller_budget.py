"""The budget for what callers take: any series of events, and its limits.

Guards the decisions alone; :mod:`test_misbehaving_clients` plays them on real
processes.
"""

from hypothesis import stateful
from hypothesis import strategies as st
import pytest
import state_machines

from cairnloom.protocol import caller_budget
from cairnloom.protocol import caller_limits

KILOBYTE = 1024
LIMITS = caller_limits.Limits(held_bytes=1600 * KILOBYTE, connections=6)
LARGE_LIMIT = LIMITS.held_bytes * caller_budget.LARGE_SHARE
LARGEST = 500 * KILOBYTE
SIZES = st.sampled_from(
    [0, 1, KILOBYTE, 40 * KILOBYTE, 70 * KILOBYTE, 300 * KILOBYTE, LARGEST]
)
PART = caller_budget.Part
STAGE = caller_budget.Stage


class ForgetfulBudget(caller_budget.CallerBudget):
    """Does not count what arrives behind a request in progress."""

    def hold(self, connection, part, byte_count, now):
        if part is PART.READ_AHEAD:
            return []
        return super().hold(connection, part, byte_count, now)


class ImpatientBudget(caller_budget.CallerBudget):
    """Ends the oldest upload, although it moves."""

    def _choose_action(self, now):
        receiving = [
            connection
            for connection in self._list_holders()
            if connection.stage is STAGE.RECEIVING
        ]
        if receiving:
            return caller_budget.Refuse(
                min(receiving, key=lambda item: item.began_at)
            )
        return super()._choose_action(now)


class UntrueBudget(caller_budget.CallerBudget):
    """Refuses requests that are served."""

    def _choose_action(self, now):
        action = super()._choose_action(now)
        if action is None:
            return caller_budget.Refuse(self._list_holders()[0])
        return action


class LeakingBudget(caller_budget.CallerBudget):
    """Goes on counting what an ended connection held."""

    def _release(self, connection):
        connection.stage = STAGE.CLOSING


class OpenBudget(caller_budget.CallerBudget):
    """Takes connections without end."""

    def make_room(self, now):
        return []


class Callers(stateful.RuleBasedStateMachine):
    """Connections that receive, wait, are served and are read from."""

    budget_type = caller_budget.CallerBudget

    def __init__(self):
        super().__init__()
        self.budget = self.budget_type(LIMITS)
        self.now = 0.0
        self.open = []
        self.served = []
        self.held = {}

    def check_actions(self, actions, service_checked=False):
        for action in actions:
            connection = action.connection
            match action:
                case caller_budget.End(reason='stalled'):
                    self.check_stalled(connection)
                    self.held.pop(connection, None)
                case caller_budget.End():
                    self.held.pop(connection, None)
                case caller_budget.Refuse():
                    assert connection not in self.served
                    if not service_checked:
                        self.check_newest(connection)
                    self.drop(connection)
                case caller_budget.DropReadAhead():
                    self.held[connection].pop(PART.READ_AHEAD)

    def check_stalled(self, connection):
        since = self.now - connection.progressed_at
        assert since >= caller_budget.STALL_SECONDS
        held = self.held.get(connection, {})
        assert connection not in self.served or held.get(PART.ANSWER)

    def check_newest(self, refused):
        later = [
            connection
            for connection in self.open
            if connection.stage is STAGE.RECEIVING
            and connection.began_at > refused.began_at
            and connection.is_large()
        ]
        assert not later

    def drop(self, connection):
        for part in (PART.REQUEST, PART.COPIES, PART.READ_AHEAD):
            self.held.get(connection, {}).pop(part, None)

    def choose(self, data, *stages):
        chosen = [item for item in self.open if item.stage in stages]
        return data.draw(st.sampled_from(chosen)) if chosen else None

    def set_held(self, connection, part, size):
        self.held.setdefault(connection, {})[part] = size

    @stateful.rule(seconds=st.sampled_from([0.01, 0.3, 1.0, 5.0]))
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule(completes=st.booleans(), service=st.sampled_from('ab'))
    def upload(self, completes, service):
        """Receive a large request, and perhaps start to serve it."""
        connection = self.connect()
        if connection is not None:
            self.take(connection, LARGEST // (2 if completes else 1))
            if completes and connection.stage is STAGE.RECEIVING:
                self.start(connection, service)

    @stateful.rule()
    def open_connection(self):
        self.connect()

    def connect(self):
        stages = {item: item.stage for item in self.open}
        actions = self.budget.make_room(self.now)
        if actions is None:
            assert not [
                connection
                for connection in self.open
                if connection.stage is STAGE.IDLE and connection.was_used
            ]
            return None
        for action in actions:
            assert action.reason == 'descriptors'
            connection = action.connection
            was_idle = stages[connection] is STAGE.IDLE and connection.was_used
            if not was_idle and stages[connection] is not STAGE.CLOSING:
                self.check_stalled(connection)
            self.open.remove(action.connection)
            self.held.pop(action.connection, None)
        self.open.append(self.budget.open(self, self.now))
        return self.open[-1]

    @stateful.rule(data=st.data(), size=SIZES)
    def receive(self, data, size):
        connection = self.choose(data, STAGE.IDLE, STAGE.RECEIVING)
        if connection is not None:
            self.take(connection, size)

    def take(self, connection, size):
        self.budget.begin_request(connection, self.now)
        self.budget.note_moved(connection, size, self.now)
        held = min(connection.get(PART.REQUEST) + size, LARGEST)
        self.set_held(connection, PART.REQUEST, held)
        self.check_actions(
            self.budget.hold(connection, PART.REQUEST, held, self.now)
        )

    @stateful.rule(data=st.data(), service=st.sampled_from('ab'))
    def complete(self, data, service):
        connection = self.choose(data, STAGE.RECEIVING)
        if connection is not None:
            self.start(connection, service)

    def start(self, connection, service):
        copies = connection.get(PART.REQUEST)
        self.set_held(connection, PART.COPIES, copies)
        served_bytes = sum(
            item.held_bytes
            for item in self.served
            if item.service == service and item.is_large()
        )
        actions = self.budget.begin_serving(
            connection, copies, service, self.now
        )
        self.check_actions(actions, served_bytes > 0)
        if connection.stage is STAGE.SERVING:
            self.served.append(connection)

    @stateful.rule(data=st.data(), size=SIZES)
    def read_ahead(self, data, size):
        connection = self.choose(data, STAGE.SERVING)
        if connection is None:
            return
        self.set_held(connection, PART.READ_AHEAD, size)
        self.check_actions(
            self.budget.hold(connection, PART.READ_AHEAD, size, self.now)
        )

    @stateful.rule(data=st.data(), size=SIZES)
    def send_through_host(self, data, size):
        connection = self.choose(data, STAGE.SERVING)
        if connection is None:
            return
        before = connection.get(PART.COPIES)
        fits, actions = self.budget.try_hold(
            connection, PART.COPIES, size, self.now
        )
        self.check_actions(actions)
        if connection.stage is STAGE.SERVING:
            assert connection.get(PART.COPIES) == (size if fits else before)
            self.set_held(connection, PART.COPIES, connection.get(PART.COPIES))

    @stateful.rule(data=st.data(), size=SIZES)
    def answer(self, data, size):
        connection = self.choose(data, STAGE.SERVING, STAGE.IDLE)
        if connection is None:
            return
        self.set_held(connection, PART.ANSWER, size)
        self.check_actions(
            self.budget.hold(connection, PART.ANSWER, size, self.now)
        )

    @stateful.rule(data=st.data())
    def end_request(self, data):
        connection = self.choose(data, STAGE.SERVING)
        if connection is None:
            return
        self.drop(connection)
        self.budget.end_request(connection, self.now)
        self.served = [item for item in self.served if item is not connection]

    @stateful.rule(data=st.data())
    def disconnect(self, data):
        if not self.open:
            return
        connection = data.draw(st.sampled_from(self.open))
        self.open.remove(connection)
        self.held.pop(connection, None)
        self.budget.close(connection)

    @stateful.invariant()
    def served_requests_go_on(self):
        self.served = [
            connection
            for connection in self.served
            if connection.stage is STAGE.SERVING and connection in self.open
        ]

    @stateful.invariant()
    def sum_is_right(self):
        assert self.budget.held_bytes == sum(
            sum(parts.values()) for parts in self.held.values()
        )
        large = [item for item in self.open if item.is_large()]
        assert self.budget.large_count == len(large)
        assert self.budget.large_bytes == sum(
            item.held_bytes for item in large
        )

    @stateful.invariant()
    def sum_is_bounded(self):
        held = [item.held_bytes for item in self.open]
        single = max(held, default=0)
        assert self.budget.large_bytes <= max(LARGE_LIMIT, single)
        assert sum(held) <= LIMITS.held_bytes + single

    @stateful.invariant()
    def connections_are_bounded(self):
        assert self.budget.connection_count == len(self.open)
        assert len(self.open) <= LIMITS.connections


def make_machine(budget_type):
    class Machine(Callers):
        pass

    Machine.budget_type = budget_type
    return Machine


def test_any_series_of_events_stays_within_the_limits():
    state_machines.run(make_machine(caller_budget.CallerBudget), 400)


@pytest.mark.parametrize(
    'budget_type',
    [
        ForgetfulBudget,
        ImpatientBudget,
        UntrueBudget,
        LeakingBudget,
        OpenBudget,
    ],
)
def test_faulty_budgets_are_caught(budget_type):
    state_machines.expect_failure(make_machine(budget_type))


def open_request(budget, size, now, moved=0):
    connection = budget.open(object(), now)
    budget.begin_request(connection, now)
    actions = budget.hold(connection, PART.REQUEST, size, now)
    budget.note_moved(connection, moved, now)
    return connection, actions


def test_stopped_upload_ends_before_one_that_moves():
    budget = caller_budget.CallerBudget(LIMITS)
    moving, _ = open_request(budget, LARGEST, 0.0)
    stopped, _ = open_request(budget, LARGEST, 0.5)
    budget.note_moved(moving, LARGEST // 32, 5.0)
    _, actions = open_request(budget, LARGEST, 5.0)
    assert actions == [caller_budget.End(stopped, 'stalled')]


def test_single_byte_now_and_then_is_no_progress():
    budget = caller_budget.CallerBudget(LIMITS)
    slow, _ = open_request(budget, LARGEST, 0.0)
    moving, _ = open_request(budget, LARGEST, 0.0)
    for second in range(1, 10):
        budget.note_moved(slow, 1, float(second))
        budget.note_moved(moving, LARGEST // 32, float(second))
    _, actions = open_request(budget, LARGEST, 9.0)
    assert actions == [caller_budget.End(slow, 'stalled')]


def test_newest_upload_is_refused_if_all_move():
    budget = caller_budget.CallerBudget(LIMITS)
    open_request(budget, LARGEST, 0.0)
    open_request(budget, LARGEST, 0.1)
    newest, actions = open_request(budget, LARGEST, 0.2)
    assert actions == [caller_budget.Refuse(newest)]


def test_single_request_is_served_whatever_it_takes():
    budget = caller_budget.CallerBudget(LIMITS)
    connection, actions = open_request(budget, 2 * LIMITS.held_bytes, 0.0)
    actions += budget.begin_serving(connection, 100, 'a', 0.0)
    assert (actions, connection.stage) == ([], STAGE.SERVING)


def test_small_request_is_served_while_large_ones_take_all():
    budget = caller_budget.CallerBudget(LIMITS)
    for service in 'abc':
        connection, _ = open_request(budget, 200 * KILOBYTE, 0.0)
        budget.begin_serving(connection, 200 * KILOBYTE, service, 0.0)
    small, actions = open_request(budget, KILOBYTE, 0.0)
    actions += budget.begin_serving(small, KILOBYTE, 'a', 0.0)
    assert (actions, small.stage) == ([], STAGE.SERVING)


def test_slow_service_leaves_room_for_others():
    budget = caller_budget.CallerBudget(LIMITS)
    first, _ = open_request(budget, 200 * KILOBYTE, 0.0)
    assert not budget.begin_serving(first, 200 * KILOBYTE, 'slow', 0.0)
    second, _ = open_request(budget, 200 * KILOBYTE, 0.0)
    actions = budget.begin_serving(second, 200 * KILOBYTE, 'slow', 0.0)
    assert actions == [caller_budget.Refuse(second)]
    third, _ = open_request(budget, 200 * KILOBYTE, 0.0)
    assert not budget.begin_serving(third, 200 * KILOBYTE, 'sound', 0.0)


def test_connection_that_is_gone_holds_nothing():
    budget = caller_budget.CallerBudget(LIMITS)
    connection, _ = open_request(budget, KILOBYTE, 0.0)
    budget.close(connection)
    assert budget.hold(connection, PART.ANSWER, LARGEST, 0.0) == []
    budget.end_request(connection, 0.0)
    assert (budget.held_bytes, budget.connection_count) == (0, 0)


def test_used_connections_are_kept_before_unused_ones():
    budget = caller_budget.CallerBudget(LIMITS)
    unused = budget.open('unused', 1.0)
    for _ in range(LIMITS.connections - 1):
        connection = budget.open('used', 0.0)
        budget.begin_request(connection, 0.0)
        budget.begin_serving(connection, 0, 'a', 0.0)
        budget.end_request(connection, 0.5)
    assert budget.make_room(5.0) == [caller_budget.End(unused, 'descriptors')]


@pytest.mark.parametrize(
    'memory_bytes, descriptors', [(None, None), (300 << 20, 4100)]
)
def test_limits_exceed_what_clients_inside_the_limits_take(
    memory_bytes, descriptors
):
    """Several of the largest requests fit, and hundreds of ordinary ones."""
    limits = caller_limits.find_limits(memory_bytes, descriptors)
    assert limits.held_bytes * caller_budget.LARGE_SHARE >= 8 * (4 << 20)
    assert limits.connections >= 1000
