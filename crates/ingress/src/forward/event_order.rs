//! The order of the events of a stream, by their ids.

/// The events of a stream that its caller has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventOrder {
    last_id: Option<u64>,
    /// Whether the last event has no id, so that no later one is known to follow it.
    ends_without_id: bool,
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

    /// Adds the block of lines of an event, unless it repeats an event. Returns whether it was added.
    pub fn add(&mut self, block: &[u8]) -> bool {
        match event_id(block) {
            Some(id) if self.last_id.is_some_and(|last| id <= last) => return false,
            Some(id) => {
                self.last_id = Some(id);
                self.ends_without_id = false;
            }
            None => self.ends_without_id |= has_data(block),
        }
        true
    }
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
