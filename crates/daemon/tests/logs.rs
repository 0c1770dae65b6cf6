//! Each event is written as one line of key=value pairs.

use bluebell_daemon::logs::LogLine;

#[test]
fn a_value_with_a_line_break_does_not_start_a_second_line() {
    let line = LogLine::new("refused")
        .with("path", "/a b\nc")
        .with("code", "bad_request");
    assert_eq!(
        line.text(),
        r#"event=refused path="/a b\nc" code=bad_request"#
    );
}
