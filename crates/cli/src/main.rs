//! `bluebell`: the operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    bluebell_cli::run()
}
