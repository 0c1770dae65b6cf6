//! Entry point of `bluebell-soak`.

use std::process::ExitCode;

use bluebell_soak::commands;

#[tokio::main]
async fn main() -> ExitCode {
    match commands::exec(commands::command().run()).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::from(2)
        }
    }
}
