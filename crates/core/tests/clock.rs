//! Spans as operators write them.

use bluebell_core::clock::TimeSpan;

#[test]
fn spans_are_read_as_they_are_written() {
    for text in ["0ms", "250ms", "3s", "5m", "2h"] {
        let span: TimeSpan = text.parse().expect("the text is a span");
        assert_eq!(span.to_string(), text);
    }
}

#[test]
fn a_span_without_a_unit_is_refused_with_what_would_be_accepted() {
    let error = "250".parse::<TimeSpan>().expect_err("no unit is given");
    assert!(
        error.to_string().contains("`ms`, `s`, `m` or `h`"),
        "{error}"
    );
}
