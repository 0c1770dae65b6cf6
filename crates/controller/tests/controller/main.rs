//! Controllers over stand-ins, inside the test's own process.

mod changes;
mod duties;
mod stage;
