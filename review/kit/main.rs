//! Stand-ins and checks for the cases in `review/`. No dependency but the standard library.
//!
//! `kit CASE FOLDER` starts a store, an interface for duties, replicas and the real entry
//! program as separate processes on loopback, plays the case, and writes `record.txt` to
//! FOLDER. Exit code 0: the rule held, 1: it was broken, 2: the case could not run.

mod client;
mod fleet;
mod http;
mod kept_too_long;
mod late_beat;
mod late_refusal;
mod poison_pair;
mod poison_restarts;
mod proxy;
mod record;
mod replica;
mod store;

use std::{process::exit, thread, time::Duration};

/// The longest time of a case.
const LIMIT: Duration = Duration::from_secs(115);

/// How a case ended.
pub enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.len() != 3 {
        eprintln!("usage: kit CASE FOLDER");
        exit(2);
    }
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record::open(&arguments[2], has_trouble);
    thread::spawn(|| {
        thread::sleep(LIMIT);
        fleet::clean_up();
        println!("NOT RUN: the time is over");
        exit(2);
    });
    let case = arguments[1].clone();
    let played = thread::spawn(move || match case.as_str() {
        "kept-too-long" => kept_too_long::play(has_trouble),
        "late-beat" => late_beat::play(has_trouble),
        "late-refusal" => late_refusal::play(has_trouble),
        "poison-pair" => poison_pair::play(has_trouble),
        "poison-restarts" => poison_restarts::play(has_trouble),
        other => Verdict::NotRun(format!("unknown case {other}")),
    });
    let verdict = played
        .join()
        .unwrap_or_else(|_| Verdict::NotRun("the script failed".to_string()));
    fleet::clean_up();
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("HELD: {text}")),
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::NotRun(text) => (2, format!("NOT RUN: {text}")),
    };
    record::line(&text);
    println!("{text}");
    exit(code);
}
