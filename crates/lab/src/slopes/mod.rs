//! How the slices' costs grow: what docs/CAPACITY.md is worked out from.

mod admission;
mod gossip;
mod limits;
mod measure;
mod plans;
mod records;
mod retries;
mod routing;
mod streams;
mod view;

/// A slope and its name.
pub struct LabSlope {
    /// Its name on the command line.
    pub name: &'static str,
    /// Measures it and returns its table.
    pub run: fn() -> String,
}

/// All slopes.
pub const ALL: &[LabSlope] = &[
    LabSlope {
        name: "view",
        run: view::table,
    },
    LabSlope {
        name: "routing",
        run: routing::table,
    },
    LabSlope {
        name: "admission",
        run: admission::table,
    },
    LabSlope {
        name: "limits",
        run: limits::table,
    },
    LabSlope {
        name: "retries",
        run: retries::table,
    },
    LabSlope {
        name: "streams",
        run: streams::table,
    },
    LabSlope {
        name: "gossip",
        run: gossip::table,
    },
    LabSlope {
        name: "plans",
        run: plans::table,
    },
    LabSlope {
        name: "records",
        run: records::table,
    },
];
