//! Tests of `logging`.

use super::*;
use log::{Level, Record};

#[test]
fn an_event_is_one_line_of_json_with_its_fields() {
    let fields = [("epoch", log::kv::Value::from(7)), ("why", log::kv::Value::from("a \"cut\"\nhere"))];
    let record = Record::builder()
        .args(format_args!("primary lost"))
        .level(Level::Warn)
        .target("control")
        .key_values(&fields)
        .build();
    let line = String::from_utf8(line(&record)).unwrap();
    assert!(line.starts_with("{\"time\":\"20") && line.ends_with("}\n"), "{line}");
    let rest = "\"level\":\"WARN\",\"target\":\"control\",\"message\":\"primary lost\",\"epoch\":7,\"why\":\"a \\\"cut\\\"\\nhere\"}\n";
    assert!(line.ends_with(rest), "{line}");
    assert_eq!(line.lines().count(), 1);
}
