//! Stand-ins and cases of the second independent review. See `review/REPORT-2.md`.

mod fleet;
mod http;
mod late_call;
mod link;
mod platform;
mod record;
mod replica;
mod truncated;

use std::{env, fs, io, path::Path, process::ExitCode};

use crate::record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    match arguments.split_first() {
        Some((verb, rest)) if verb == "replica" => match replica::run(rest) {
            Ok(()) => ExitCode::SUCCESS,
            Err(_) => ExitCode::FAILURE,
        },
        Some((verb, rest)) if verb == "case" && rest.len() == 2 => {
            run_case(&rest[0], Path::new(&rest[1]))
        }
        _ => {
            eprintln!("usage: standin case NUMBER RECORD");
            ExitCode::from(2)
        }
    }
}

/// Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
fn run_case(number: &str, record: &Path) -> ExitCode {
    let outcome = Record::create(record).and_then(|record| {
        let folder = truncated::temporary_folder(number)?;
        let outcome = match number {
            "6" => truncated::run(&folder, &record),
            "8" => late_call::run(&folder, &record),
            _ => Err(io::ErrorKind::InvalidInput.into()),
        };
        match &outcome {
            Ok(true) => record.line("the rule held"),
            Ok(false) => record.line("the rule was broken"),
            Err(error) => record.line(&format!("the case couldn't run: {error}")),
        }
        match env::var_os("KEEP") {
            Some(_) => eprintln!("kept: {}", folder.display()),
            None => drop(fs::remove_dir_all(&folder)),
        }
        outcome
    });
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(_) => ExitCode::from(2),
    }
}
