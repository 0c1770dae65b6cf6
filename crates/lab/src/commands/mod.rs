//! The command line: one file for each command.

pub mod capacity;
pub mod tables;

use bpaf::{OptionParser, Parser};

/// A command with its arguments.
enum LabCommand {
    Tables(tables::TablesArgs),
    Capacity(capacity::CapacityArgs),
}

fn parser() -> OptionParser<LabCommand> {
    let tables = tables::args()
        .map(LabCommand::Tables)
        .to_options()
        .descr("Prints all tables of docs/MEASUREMENTS.md")
        .command("tables");
    let capacity = capacity::args()
        .map(LabCommand::Capacity)
        .to_options()
        .descr("Measures the slopes of docs/CAPACITY.md")
        .command("capacity");
    bpaf::construct!([tables, capacity])
        .to_options()
        .descr("Policy experiments in virtual time")
}

/// Parses the command line and runs the command.
pub fn run() -> anyhow::Result<()> {
    match parser().run() {
        LabCommand::Tables(args) => tables::exec(&args),
        LabCommand::Capacity(args) => capacity::exec(&args),
    }
}
