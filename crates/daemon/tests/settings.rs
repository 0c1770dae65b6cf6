//! Error messages for invalid settings files.

use bluebell_daemon::settings::{SettingProblem, parse};
use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SampleSettings {
    limit: u32,
}

fn check_sample(settings: &SampleSettings) -> Vec<SettingProblem> {
    match settings.limit {
        0 => vec![SettingProblem::new("limit", 0, "at least 1")],
        _ => Vec::new(),
    }
}

#[test]
fn an_unknown_field_is_named_with_its_file() {
    let parsed = parse("x.toml", "limit = 1\nlimt = 2\n", check_sample);
    let text = parsed.expect_err("the field is misspelt").to_string();
    assert!(text.contains("`x.toml`") && text.contains("limt"), "{text}");
}

#[test]
fn a_value_out_of_range_is_named_with_what_is_accepted() {
    let parsed = parse("x.toml", "limit = 0\n", check_sample);
    let text = parsed.expect_err("the value is out of range").to_string();
    assert!(
        text.contains("`limit` is `0`, expected at least 1"),
        "{text}"
    );
}
