//! The subcommands of `bluebell-load`.

pub mod compare;
pub mod run;

use bpaf::{OptionParser, Parser, construct};

/// What the command line asks for.
#[derive(Clone, Debug)]
pub enum LoadCommand {
    /// `bluebell-load run`.
    Run(run::RunArguments),
    /// `bluebell-load compare`.
    Compare(compare::CompareArguments),
}

/// The whole command line.
pub fn command() -> OptionParser<LoadCommand> {
    let run = run::arguments().map(LoadCommand::Run);
    let compare = compare::arguments().map(LoadCommand::Compare);
    construct!([run, compare])
        .to_options()
        .descr("Load on running entries, and what came back")
}

/// Runs a subcommand; answers the process's exit code.
pub async fn exec(command: LoadCommand) -> anyhow::Result<u8> {
    match command {
        LoadCommand::Run(arguments) => run::exec(arguments).await,
        LoadCommand::Compare(arguments) => compare::exec(arguments).await,
    }
}
