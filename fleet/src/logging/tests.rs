//! Tests of the JSON format of log lines.

use super::*;
use log::{Level, Record};

#[test]
fn record_with_quotes_and_newline_is_formatted_as_one_json_line() {
    let fields = [
        ("epoch", log::kv::Value::from(7)),
        ("why", log::kv::Value::from("a \"cut\"\nhere")),
    ];
    let record = Record::builder()
        .args(format_args!("primary lost"))
        .level(Level::Warn)
        .target("control")
        .key_values(&fields)
        .build();
    let line = String::from_utf8(format_line(&record)).unwrap();
    assert!(
        line.starts_with("{\"time\":\"20") && line.ends_with("}\n"),
        "{line}"
    );
    let rest = "\"level\":\"WARN\",\"target\":\"control\",\"message\":\"primary lost\",\"epoch\":7,\"why\":\"a \\\"cut\\\"\\nhere\"}\n";
    assert!(line.ends_with(rest), "{line}");
    assert_eq!(line.lines().count(), 1);
}

#[test]
fn dropped_lines_are_reported_as_a_json_line() {
    let line = "{\"level\":\"WARN\",\"message\":\"lines of the log were lost\",\"lines\":3}\n";
    assert_eq!(dropped_lines_notice(3), line);
}
