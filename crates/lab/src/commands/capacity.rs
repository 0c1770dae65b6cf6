//! `bluebell-lab capacity`: measures how the slices' costs grow.

use bpaf::{Parser, long};

use crate::slopes;

/// The arguments of `capacity`.
pub struct CapacityArgs {
    /// The one slope to measure; all if none is named.
    pub only: Option<String>,
}

/// Reads the arguments.
pub fn args() -> impl Parser<CapacityArgs> {
    let only = long("only")
        .help(
            "Measure this slope alone: view, routing, admission, limits, retries, streams, gossip, \
             plans or records",
        )
        .argument("SLOPE")
        .optional();
    bpaf::construct!(CapacityArgs { only })
}

/// Measures and prints. Unlike `tables` this reads the machine's clock, so the
/// figures differ a little from run to run.
pub fn exec(args: &CapacityArgs) -> anyhow::Result<()> {
    let known: Vec<&str> = slopes::ALL.iter().map(|slope| slope.name).collect();
    if let Some(name) = &args.only
        && !known.contains(&name.as_str())
    {
        anyhow::bail!("`{name}` is no slope, expected one of {}", known.join(", "));
    }
    for slope in slopes::ALL {
        if args.only.as_deref().is_none_or(|only| only == slope.name) {
            print!("{}", (slope.run)());
        }
    }
    Ok(())
}
