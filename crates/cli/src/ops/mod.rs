//! What the subcommands do, as functions that other programs can call.

pub mod check;
pub mod collect;
pub mod confirm;
pub mod difference;
pub mod fleet;
pub mod keys;
pub mod publish;
pub mod session;

/// Exit code: done.
pub const DONE: u8 = 0;

/// Exit code: failed.
pub const FAILED: u8 = 1;

/// Exit code: the command line or the files can't be used.
pub const BAD_INPUT: u8 = 2;

/// Exit code: in the log, but not confirmed by every live instance.
pub const UNCONFIRMED: u8 = 3;

/// Exit code: another operator's change came first.
pub const LOST_RACE: u8 = 4;

/// The exit code for an error.
pub fn exit_code(error: &anyhow::Error) -> u8 {
    if error.is::<collect::FileProblems>() {
        return BAD_INPUT;
    }
    match error.downcast_ref::<publish::PublishError>() {
        Some(publish::PublishError::Refused(_)) => LOST_RACE,
        _ => FAILED,
    }
}
