//! Configuration files as operators write them, with and without mistakes.

use std::path::{Path, PathBuf};

use bluebell_cli::ops::{check::check, collect::collect};

fn sample(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../samples")
        .join(name)
}

fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/files")
        .join(name)
}

fn complaints(directories: &[PathBuf]) -> String {
    let checked = collect(directories).and_then(|collection| check(&collection, None));
    checked.expect_err("the files have mistakes").to_string()
}

#[track_caller]
fn assert_names(complaints: &str, wanted: &[&str]) {
    for wanted in wanted {
        assert!(complaints.contains(wanted), "`{wanted}` in:\n{complaints}");
    }
}

#[test]
fn the_samples_can_be_published() {
    for name in ["magnolia", "formosa"] {
        let collection = collect(&[sample(name)]).expect("the sample is collected");
        check(&collection, None).expect("the sample is right");
        assert!(collection.files.len() >= 4);
    }
}

/// An operator mistypes fields and values in one file. They are told of all
/// mistakes at once, each with its file, field, value and what would be accepted.
#[test]
fn unknown_fields_and_unreadable_values_are_named() {
    let told = complaints(&[file("faulty")]);
    assert_names(
        &told,
        &[
            "faulty/bluebell.toml`, `service.slow`",
            "`5x` is not a length of time: expected a number with `ms`, `s`, `m` or `h`",
            "in `deadline`",
            "unknown field `progres_limit`, expected one of",
            "`servise`: is unknown, expected `service`, `organisation`, `key` or `rule`",
        ],
    );
}

#[test]
fn values_that_make_no_sense_together_are_named() {
    let told = complaints(&[file("faulty-values")]);
    assert_names(
        &told,
        &[
            "`service.chat.target.max_tokens`: is `0`, expected at least `1`",
            "`service.chat.deadline`: is `0ms`, expected more than `0ms`",
            "`organisation.nobody.weight`: is `0`",
            "`organisation.nobody.services`: names `elsewhere`, expected a service",
            "`key.stray.organisation`: is `unknown`, expected an organisation",
            "`rule.root.service`: is `chat`, a model service",
            "`rule.root.path_prefix`: is `/lookups`",
        ],
    );
}

/// Two teams use one key, or define one organisation twice: whichever came last
/// would win, and a caller's request might run for the wrong organisation.
#[test]
fn doubled_units_and_digests_are_refused() {
    let told = complaints(&[file("doubled-one"), file("doubled-two")]);
    assert_names(
        &told,
        &[
            "`organisation.one`: is defined in",
            "`key.second.digest`: is `000000000000…`, the digest of `key/first` too",
        ],
    );
}

#[test]
fn a_directory_without_files_is_named() {
    let told = complaints(&[file("..").join("../src/ops")]);
    assert_names(&told, &["holds no file called `bluebell.toml`"]);
}
