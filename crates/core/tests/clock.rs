//! Parsing and formatting of time spans in settings.

use bluebell_core::clock::TimeSpan;

#[test]
fn formatting_a_parsed_span_returns_the_same_text() {
    for text in ["0ms", "250ms", "3s", "5m", "2h"] {
        let span: TimeSpan = text.parse().expect("the text is a valid time span");
        assert_eq!(span.to_string(), text);
    }
}

#[test]
fn the_error_for_a_span_without_a_unit_names_the_accepted_units() {
    let error = "250".parse::<TimeSpan>().expect_err("the text has no unit");
    assert!(
        error.to_string().contains("`ms`, `s`, `m` or `h`"),
        "{error}"
    );
}
