//! Streams that callers take up: whether they go on, and at one version.

use bluebell_platform_standin::endpoint::EVENTS;

/// How many streams may hold events of two versions.
const MAX_MIXED: usize = 2;
/// From how many streams on that are taken up a share of them has to go on.
const MIN_TAKEN_UP: u64 = 12;

/// A stream that a request takes up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakenUpStream {
    /// The attempt that brought its first event.
    pub stream: String,
    /// The last event that the caller has.
    pub last: u64,
    /// The version that wrote its events.
    pub version: String,
    /// Whether it has to go on: the instance is in touch and two endpoints of the version serve.
    pub is_owed: bool,
}

/// The whole events that a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedEvents {
    /// The id of the last one.
    pub last: u64,
    /// The versions that wrote them, in the order of the events.
    pub versions: Vec<String>,
}

impl ReceivedEvents {
    /// Reads the events of the answer to `attempt` that follow the event `after`; fails with
    /// what is wrong with them.
    pub fn read(
        attempt: &str,
        body: &str,
        after: u64,
        is_ended: bool,
    ) -> Result<ReceivedEvents, String> {
        let mut events = ReceivedEvents {
            last: after,
            versions: Vec::new(),
        };
        let whole = body.rfind("\n\n").map_or("", |end| &body[..end + 2]);
        for event in whole.split_terminator("\n\n") {
            let expected = events.last + 1;
            let start = format!("id: {expected}\ndata: {attempt} {expected}/{EVENTS} ");
            let Some(version) = event.strip_prefix(&start) else {
                return Err(format!("expected={expected} got={event:?}"));
            };
            events.versions.push(version.to_string());
            events.last = expected;
        }
        let is_whole = events.last == EVENTS && whole.len() == body.len();
        match is_ended && !is_whole {
            true => Err(format!("ended before event {}", events.last + 1)),
            false => Ok(events),
        }
    }
}

/// How streams that may be resumed went on.
#[derive(Debug, Default)]
pub struct StreamTally {
    /// New ones, at instances in touch.
    new: u64,
    /// How many of them began.
    begun: u64,
    /// Those that were taken up and had to go on.
    owed: u64,
    /// How many of them did.
    went_on: u64,
    /// Those that hold events of two versions.
    mixed: Vec<String>,
}

impl StreamTally {
    /// Counts what a caller got of a stream at an instance in touch or not.
    pub fn count(&mut self, taken_up: Option<&TakenUpStream>, is_in_touch: bool, has_events: bool) {
        match taken_up {
            Some(stream) if stream.is_owed && is_in_touch => {
                self.owed += 1;
                self.went_on += u64::from(has_events);
            }
            None if is_in_touch => {
                self.new += 1;
                self.begun += u64::from(has_events);
            }
            _ => {}
        }
    }

    /// Checks that all `events` and those that the caller had come from one version; `who` names
    /// the request.
    pub fn check_versions(
        &mut self,
        who: &str,
        taken_up: Option<&TakenUpStream>,
        events: &ReceivedEvents,
    ) {
        let before = taken_up.map(|stream| &stream.version);
        let first = before.or(events.versions.first());
        if let Some(other) = events.versions.iter().find(|one| Some(*one) != first) {
            self.mixed.push(format!("{who} {first:?} then {other}"));
        }
    }

    /// What is wrong with the versions of all streams together.
    pub fn mixed(&self) -> Option<String> {
        let count = self.mixed.len();
        (count > MAX_MIXED).then(|| format!("streams={count} {}", self.mixed.join("; ")))
    }

    /// What is wrong with how many streams went on.
    pub fn lost(&self) -> Option<String> {
        let share = |part: u64, all: u64| part as f64 / all.max(1) as f64;
        let is_enough = share(self.went_on, self.owed) >= share(self.begun, self.new) / 2.0;
        let is_lost = self.owed >= MIN_TAKEN_UP && !is_enough;
        is_lost.then(|| self.to_string())
    }
}

impl std::fmt::Display for StreamTally {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let StreamTally {
            new,
            begun,
            owed,
            went_on,
            mixed,
        } = self;
        let (count, details) = (mixed.len(), mixed.join("; "));
        write!(
            f,
            "new={new} begun={begun} taken_up={owed} went_on={went_on} mixed={count} {details}"
        )
    }
}
