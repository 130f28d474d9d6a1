//! Tests of parsing updates.

use super::*;
use assert_matches::assert_matches;

fn parse(text: &str) -> Result<Update, ConfigurationError> {
    Update::parse(text.as_bytes())
}

#[test]
fn update_without_changes_is_valid_and_unknown_fields_are_ignored() {
    for text in [
        "{\"version\":3}",
        "{\"version\":3,\"upserts\":null,\"removals\":null,\"limits\":null}",
        "{\"version\":3,\"reason\":\"because\",\"upserts\":{},\"removals\":{}}",
    ] {
        let update = parse(text).expect("valid");
        assert_eq!(
            (
                update.version(),
                update.upserts().len(),
                update.removals().len()
            ),
            (3, 0, 0)
        );
    }
}

#[test]
fn removals_may_be_names_or_named_items() {
    let update =
        parse("{\"version\":3,\"removals\":{\"routes\":[\"a\",{\"name\":\"b\"}]}}").expect("valid");
    let expected = Removal {
        list: "routes".to_owned(),
        names: vec!["a".to_owned(), "b".to_owned()],
    };
    assert_eq!(update.removals(), [expected]);
}

#[test]
fn update_invalid_by_itself_is_rejected() {
    let route = |fields: &str| {
        format!("{{\"version\":3,\"upserts\":{{\"routes\":[{{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/a/\"{fields}}}]}}}}")
    };
    assert!(parse(&route(",\"service\":\"unknown-here\"")).is_ok());
    assert_matches!(
        parse(&route(",\"service\":\"s\",\"timeoutMs\":0")),
        Err(ConfigurationError::ZeroTimeout { route }) if route == "r"
    );
    assert_matches!(
        parse(&route(",\"trafficSplit\":[{\"service\":\"s\",\"weight\":0}]")),
        Err(ConfigurationError::ZeroWeight { route }) if route == "r"
    );
    for text in [
        "{\"version\":3,\"upserts\":[]}",
        "{\"version\":3,\"removals\":[\"r\"]}",
        "{\"version\":3,\"removals\":{\"routes\":\"r\"}}",
        "{\"version\":3,\"removals\":{\"routes\":[7]}}",
        "{\"version\":3,\"upserts\":{\"routes\":{}}}",
        "{\"version\":3,\"upserts\":{\"version\":4}}",
        "{\"version\":3,\"upserts\":{\"limits\":{\"maxBodyBytes\":[]}}}",
        "{\"version\":\"3\"}",
    ] {
        assert_matches!(
            parse(text),
            Err(ConfigurationError::WrongType { .. }),
            "{text}"
        );
    }
    assert_matches!(
        parse("{\"upserts\":{}}"),
        Err(ConfigurationError::MissingField { .. })
    );
    assert_matches!(
        parse("{\"version\":3,\"upserts\":{\"services\":[{}]}}"),
        Err(ConfigurationError::MissingName { .. })
    );
    assert_matches!(
        parse("{\"version\":3,\"upserts\":{\"services\":[{\"name\":\"s\"},{\"name\":\"s\"}]}}"),
        Err(ConfigurationError::DuplicateName { .. })
    );
}
