//! Checkpoints of live state, written again before the log forgets it.
//!
//! The log keeps records for a limited time. The holder of the `log` duty
//! therefore appends the live state again, in bounded parts, well before the
//! oldest record that is still needed expires. A checkpoint counts only once
//! all its parts have been read, all under one fencing number: half of one
//! would bring withdrawn keys back to life or lose claims of charges.
//!
//! A process that follows the log without a gap needs no checkpoint and keeps
//! no items of one. A process that starts late assembles the newest complete
//! one and reads on from the record after its `as_of`.

mod reader;
mod writer;

pub use reader::{AssembledCheckpoint, CheckpointReader, CompleteCheckpoint};
pub use writer::{CheckpointSchedule, CheckpointWriter, KeptRange, PART_SIZE};
