//! Leader election under suspensions, partitions and lost answers.

use bluebell_core::{
    clock::{ClockTime, TimeSpan},
    ids::{InstanceId, LogOffset},
    leadership::{
        ACTION_WINDOW, CALL_WINDOW, LEADER_HEARTBEAT_INTERVAL, LeaderGrant, LeadershipState,
    },
    usage::MeterWriter,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const LEASE: TimeSpan = TimeSpan::from_millis(3_000);

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn writer(name: &str) -> MeterWriter {
    MeterWriter {
        instance: InstanceId::new(name).unwrap(),
        start: 1,
    }
}

fn state(name: &str) -> LeadershipState {
    LeadershipState::new(at(0), writer(name), LEASE)
}

#[test]
fn no_process_appends_before_it_has_read_the_topic() {
    // A process restarts while another is the leader. If it appended before reading
    // the leader's record, the actions of the two would alternate.
    let mut state = state("one");
    assert!(!state.may_append(at(60_000)));
    state.note_record(at(60_000), LogOffset::new(7), writer("two"));
    assert!(!state.may_append(at(60_001)));
    assert_eq!(state.end(), Some(LogOffset::new(8)));
    assert!(!state.is_leader());
}

#[test]
fn a_leader_that_was_suspended_does_not_act() {
    // The leader's append is stored, and then its instance is suspended for five
    // seconds. Another process is the leader when it resumes, and the order that it
    // was about to send is outdated.
    let mut state = state("one");
    state.note_end(LogOffset::START);
    let grant = state.appended(at(2_004), at(2_000), LogOffset::START);
    assert!(grant.allows(at(2_100)));
    assert!(grant.allows(at(2_000) + ACTION_WINDOW));
    assert!(!grant.allows(at(7_100)));
}

#[test]
fn an_unresponsive_leader_is_replaced_after_its_last_action_and_the_lease() {
    let mut state = state("one");
    state.note_record(at(1_000), LogOffset::new(3), writer("two"));
    let timeout = state.takeover_timeout();
    assert!(timeout >= LEASE + ACTION_WINDOW);
    assert!(timeout >= LEASE + CALL_WINDOW);
    assert!(timeout > LEADER_HEARTBEAT_INTERVAL);
    let due = at(1_000) + timeout;
    assert!(!state.may_append(due - TimeSpan::from_millis(1)));
    assert!(state.may_append(due));
    assert!(state.takeover_wait(at(1_000)) > timeout);
    // A heartbeat of the leader restarts the wait.
    state.note_record(due, LogOffset::new(4), writer("two"));
    assert!(!state.may_append(due + TimeSpan::from_millis(1_000)));
}

/// Guards against a call that arrives after another process has taken over: its grant ends before the
/// lease that precedes a takeover.
#[test]
fn a_grant_covers_no_call_within_the_lease_before_a_takeover() {
    let mut leader = state("one");
    leader.note_end(LogOffset::START);
    let grant = leader.appended(at(2_004), at(2_000), LogOffset::START);
    assert_eq!(grant.call_time_left(at(2_000)), CALL_WINDOW);
    let last_action = at(2_000) + ACTION_WINDOW;
    assert!(grant.call_time_left(last_action) > TimeSpan::ZERO);
    let end = last_action + grant.call_time_left(last_action);
    assert_eq!(grant.call_time_left(end), TimeSpan::ZERO);
    let mut candidate = state("two");
    candidate.note_record(at(2_000), LogOffset::START, writer("one"));
    assert!(!candidate.may_append(end + LEASE));
}

#[test]
fn records_that_are_read_twice_are_ignored() {
    let mut state = state("one");
    state.note_record(at(0), LogOffset::new(3), writer("two"));
    state.note_record(at(100), LogOffset::new(4), writer("one"));
    state.note_record(at(200), LogOffset::new(3), writer("two"));
    assert!(state.is_leader());
    assert_eq!(state.end(), Some(LogOffset::new(5)));
}

/// The next event of one of three processes.
#[derive(Clone, Debug)]
struct Step {
    process: usize,
    wait: u64,
    action: u8,
    /// How long a call of this step is held up on its way.
    delay: u64,
}

impl Arbitrary for Step {
    fn arbitrary(random: &mut Gen) -> Step {
        Step {
            process: usize::arbitrary(random) % 3,
            wait: u64::arbitrary(random) % if bool::arbitrary(random) { 150 } else { 1_500 },
            action: u8::arbitrary(random) % 8,
            delay: u64::arbitrary(random) % if bool::arbitrary(random) { 20 } else { 4_000 },
        }
    }
}

/// The topic and three processes that are candidates for leadership.
struct Simulation {
    now: ClockTime,
    log: Vec<MeterWriter>,
    states: Vec<LeadershipState>,
    grants: Vec<Option<LeaderGrant>>,
    /// The calls that have not arrived yet.
    calls: Vec<HeldCall>,
    /// The calls in the order in which they arrived.
    actions: Vec<(ClockTime, usize, LogOffset)>,
}

/// A call on its way.
#[derive(Clone, Copy, Debug)]
struct HeldCall {
    process: usize,
    arrival: ClockTime,
    revoked: ClockTime,
    fence: LogOffset,
}

impl Simulation {
    fn new() -> Simulation {
        let names = ["one", "two", "three"];
        Simulation {
            now: at(0),
            log: Vec::new(),
            states: names.iter().map(|name| state(name)).collect(),
            grants: vec![None; 3],
            calls: Vec::new(),
            actions: Vec::new(),
        }
    }

    fn apply(&mut self, step: &Step) {
        self.now = self.now + TimeSpan::from_millis(step.wait);
        let process = step.process;
        self.deliver_calls();
        // A process makes one call at a time, and gives it up before it goes on.
        self.calls.retain(|call| call.process != process);
        match step.action {
            // Reads all new records.
            0..=2 => self.read(process),
            // Appends. If the answer is lost, the process reads before it appends again.
            3..=5 => self.append(process, step.action == 5),
            // Acts, if the grant still allows it; a suspended process arrives here late.
            _ => self.act(process, TimeSpan::from_millis(step.delay)),
        }
    }

    fn read(&mut self, process: usize) {
        let from = self.states[process].end().map_or(0, LogOffset::number);
        for offset in from..self.log.len() as u64 {
            let writer = self.log[offset as usize].clone();
            self.states[process].note_record(self.now, LogOffset::new(offset), writer);
        }
        self.states[process].note_end(LogOffset::new(self.log.len() as u64));
    }

    fn append(&mut self, process: usize, is_lost: bool) {
        let state = &mut self.states[process];
        if !state.may_append(self.now) {
            return;
        }
        let end = LogOffset::new(self.log.len() as u64);
        if state.end() != Some(end) {
            return;
        }
        let name = ["one", "two", "three"][process];
        self.log.push(writer(name));
        if !is_lost {
            let grant = state.appended(self.now, self.now, end);
            self.grants[process] = Some(grant);
        }
    }

    fn act(&mut self, process: usize, delay: TimeSpan) {
        if let Some(grant) = &self.grants[process]
            && grant.allows(self.now)
        {
            self.calls.push(HeldCall {
                process,
                arrival: self.now + delay,
                revoked: self.now + grant.call_time_left(self.now),
                fence: grant.fence,
            });
        }
    }

    /// Lets the calls arrive that are due, unless they were revoked before.
    fn deliver_calls(&mut self) {
        let now = self.now;
        let due = self.calls.extract_if(.., |call| call.arrival <= now);
        let in_time = due.filter(|call| call.arrival < call.revoked);
        let arrivals = in_time.map(|call| (call.arrival, call.process, call.fence));
        let mut arrived: Vec<_> = arrivals.collect();
        arrived.sort();
        self.actions.extend(arrived);
    }
}

#[test]
fn leaders_never_alternate_and_fencing_numbers_only_rise() {
    // Three processes read, append and act at random times, are suspended between two
    // steps for random times, lose answers to appends that were stored, and make calls
    // that are held up on their way. Guards against actions of two leaders that alternate
    // within a lease, and against an older fencing number after a newer one.
    fn check(steps: Vec<Step>) -> bool {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.apply(&step);
        }
        let fences_rise = simulation.actions.windows(2).all(|pair| {
            pair[0].2 < pair[1].2 || (pair[0].2 == pair[1].2 && pair[0].1 == pair[1].1)
        });
        let no_alternation =
            simulation
                .actions
                .iter()
                .enumerate()
                .all(|(index, (time, leader, _))| {
                    let later = &simulation.actions[index + 1..];
                    let within = later.iter().take_while(|act| act.0.since(*time) < LEASE);
                    let leaders: Vec<usize> = within.map(|act| act.1).collect();
                    let other = leaders.iter().position(|other| other != leader);
                    other.is_none_or(|other| !leaders[other..].contains(leader))
                });
        fences_rise && no_alternation
    }
    let tests = std::env::var("BLUEBELL_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok());
    QuickCheck::new()
        .tests(tests.unwrap_or(300))
        .quickcheck(check as fn(Vec<Step>) -> bool);
}
