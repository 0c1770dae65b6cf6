//! The experiments, one file for each table.

pub mod fairness;
mod print;
pub mod roles;
pub mod routing;

pub use print::{MedianRange, TextTable};

/// An experiment and its name.
pub struct LabTable {
    /// Its name on the command line.
    pub name: &'static str,
    /// Runs it with these seeds and returns its table.
    pub run: fn(&[u64]) -> String,
}

/// All experiments.
pub const ALL: &[LabTable] = &[
    LabTable {
        name: "fairness",
        run: fairness::table,
    },
    LabTable {
        name: "routing",
        run: routing::table,
    },
    LabTable {
        name: "roles",
        run: roles::table,
    },
];
