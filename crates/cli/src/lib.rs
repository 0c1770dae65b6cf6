//! The operators' command line: checks and publishes configuration, grants and
//! withdraws keys, and asks the instances what they do and why.
//!
//! Each subcommand is one file under [`commands`] with an argument function and
//! an `exec`; the work is done by the functions of [`ops`], which other programs
//! can call too.
//!
//! | exit code | meaning |
//! |---|---|
//! | 0 | done |
//! | 1 | failed, and nothing has changed unless the message says so |
//! | 2 | the command line or the files can't be used |
//! | 3 | in the log, but not confirmed by every live instance |
//! | 4 | another operator's change came first |

pub mod commands;
pub mod ops;

use std::process::ExitCode;

use bpaf::Parser;

/// Parses the command line and runs the command.
pub fn run() -> ExitCode {
    let options = commands::command()
        .to_options()
        .descr("Operates a bluebellhollow fleet")
        .version(env!("CARGO_PKG_VERSION"));
    let command = match options.run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(100);
            return match failure.exit_code() {
                0 => ExitCode::SUCCESS,
                _ => ExitCode::from(ops::BAD_INPUT),
            };
        }
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("error: failed to start: {error}");
            return ExitCode::from(ops::FAILED);
        }
    };
    match runtime.block_on(commands::exec(command)) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::from(ops::exit_code(&error))
        }
    }
}
