//! Tests that run the programs as processes; they stand in `tests/`.
//!
//! They start the built programs: `cargo build --workspace --bins` goes first.
