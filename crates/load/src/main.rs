//! Entry point of `bluebell-load`.

use std::process::ExitCode;

use bluebell_load::commands;

/// The exit code for a plan or arguments that can't be used.
const FAILURE_EXIT: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    match commands::exec(commands::command().run()).await {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::from(FAILURE_EXIT)
        }
    }
}
