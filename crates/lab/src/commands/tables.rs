//! `bluebell-lab tables`: reprints all tables.

use bpaf::{Parser, long};

use crate::tables;

/// The arguments of `tables`.
pub struct TablesArgs {
    /// The seeds of the runs.
    pub seeds: u64,
    /// The one table to print; all if none is named.
    pub only: Option<String>,
}

/// Reads the arguments.
pub fn args() -> impl Parser<TablesArgs> {
    let seeds = long("seeds")
        .help("How many seeds each experiment runs with, from 1 on")
        .argument("N")
        .fallback(5);
    let only = long("only")
        .help("Print this table alone: fairness, routing, roles, fleet, retries or recovery")
        .argument("TABLE")
        .optional();
    bpaf::construct!(TablesArgs { seeds, only })
}

/// Runs the experiments and prints their tables.
pub fn exec(args: &TablesArgs) -> anyhow::Result<()> {
    let seeds: Vec<u64> = (1..=args.seeds).collect();
    let known: Vec<&str> = tables::ALL.iter().map(|table| table.name).collect();
    if let Some(name) = &args.only
        && !known.contains(&name.as_str())
    {
        anyhow::bail!("`{name}` is no table, expected one of {}", known.join(", "));
    }
    for table in tables::ALL {
        if args.only.as_deref().is_none_or(|only| only == table.name) {
            print!("{}", (table.run)(&seeds));
        }
    }
    Ok(())
}
