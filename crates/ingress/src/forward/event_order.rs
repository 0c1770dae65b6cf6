//! The order of the events of a stream, by their ids.

/// By how much the ids of the events rise that were seen here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum IdSteps {
    /// No event was seen.
    #[default]
    NoEvent,
    /// One event was seen, which is not known to be the first of the stream.
    OneEvent,
    /// Each id follows the one before.
    Consecutive,
    /// Other steps were seen.
    Varying,
}

impl IdSteps {
    fn add(self, last_id: Option<u64>, id: u64) -> IdSteps {
        let is_next = follows(last_id, id);
        match self {
            IdSteps::NoEvent if last_id.is_none() && is_next => IdSteps::Consecutive,
            IdSteps::NoEvent => IdSteps::OneEvent,
            IdSteps::OneEvent | IdSteps::Consecutive if is_next => IdSteps::Consecutive,
            _ => IdSteps::Varying,
        }
    }
}

/// How an event relates to the stream that its answer continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventJoin {
    /// It continues the stream.
    Next,
    /// It is a comment, or the caller has it.
    Skipped,
    /// Events may be missing before it, or the caller may have it.
    Unjoined(UnjoinedEvent),
}

/// An event that does not continue the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnjoinedEvent {
    /// The id of the last event that the caller has.
    pub last_id: u64,
    /// The id of the event, if it has one.
    pub id: Option<u64>,
}

/// The events of a stream that its caller has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventOrder {
    last_id: Option<u64>,
    /// Whether the last event has no id, so that no later one is known to follow it.
    ends_without_id: bool,
    steps: IdSteps,
}

impl EventOrder {
    /// The order of a caller that has the events up to `last_id`.
    pub fn with_last_id(last_id: Option<u64>) -> EventOrder {
        EventOrder {
            last_id,
            ..EventOrder::default()
        }
    }

    /// The id of the last event that has one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the stream can go on after the last event.
    pub fn is_position_known(&self) -> bool {
        !self.ends_without_id
    }

    /// How the block of lines of an event continues the stream. Without a step in the ids that is known,
    /// an event with any later id continues it.
    pub fn join(&self, block: &[u8]) -> EventJoin {
        let Some(last_id) = self.last_id else {
            return EventJoin::Next;
        };
        let unjoined = |id| EventJoin::Unjoined(UnjoinedEvent { last_id, id });
        match event_id(block) {
            Some(id) if id <= last_id => EventJoin::Skipped,
            Some(id) if self.steps == IdSteps::Consecutive && !follows(self.last_id, id) => {
                unjoined(Some(id))
            }
            Some(_) => EventJoin::Next,
            None if has_data(block) => unjoined(None),
            None => EventJoin::Skipped,
        }
    }

    /// Adds the block of lines of an event, unless it repeats an event. Returns whether it was added.
    pub fn add(&mut self, block: &[u8]) -> bool {
        match event_id(block) {
            Some(id) if self.last_id.is_some_and(|last| id <= last) => return false,
            Some(id) => {
                self.steps = self.steps.add(self.last_id, id);
                self.last_id = Some(id);
                self.ends_without_id = false;
            }
            None => self.ends_without_id |= has_data(block),
        }
        true
    }
}

/// Whether `id` is the next one after `last_id`, or the first one.
fn follows(last_id: Option<u64>, id: u64) -> bool {
    last_id.unwrap_or_default().checked_add(1) == Some(id)
}

fn event_id(block: &[u8]) -> Option<u64> {
    let mut lines = block.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Whether a block of lines is an event, not only comments.
fn has_data(block: &[u8]) -> bool {
    let mut lines = block.split(|byte| *byte == b'\n');
    lines.any(|line| line.starts_with(b"data:") || line.trim_ascii_end() == b"data")
}
