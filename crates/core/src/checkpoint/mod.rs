//! Checkpoints: the live state, appended to the log again before older records expire.
//!
//! The log keeps records for a limited time. The holder of the `log` duty therefore
//! appends the live state again, in bounded parts, well before the oldest record that
//! is still needed expires. A checkpoint is valid only once all its parts have been
//! read, all under one fencing number: an incomplete one would make withdrawn keys
//! valid again or lose claims of charges.
//!
//! A process that follows the log without a gap needs no checkpoint and keeps no items
//! of one. A process that starts late assembles the newest complete checkpoint and
//! continues to read from the record after its `as_of`.

mod reader;
mod writer;

pub use reader::{AssembledCheckpoint, CheckpointReader, CompleteCheckpoint};
pub use writer::{CheckpointSchedule, CheckpointWriter, KeptRange, PART_SIZE};
