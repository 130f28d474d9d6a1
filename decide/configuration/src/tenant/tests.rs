//! Tests of parsing tenants, as part of configurations and updates.

use crate::{ConfigurationError, Document, QuotaUnit, Tenant, Update};
use assert_matches::assert_matches;

fn parse(tenants: &str) -> Result<Document, ConfigurationError> {
    Document::parse(text(tenants).as_bytes())
}

fn text(tenants: &str) -> String {
    format!("{{\"version\":3,\"routes\":[],\"services\":[],\"tenants\":{tenants}}}")
}

fn update(upserts: &str) -> Result<Document, ConfigurationError> {
    let base = parse(r#"[{"name":"a","apiKeys":["k1"]},{"name":"b","apiKeys":["k2"]}]"#)?;
    base.apply_update(&Update::parse(
        format!("{{\"version\":4,{upserts}}}").as_bytes(),
    )?)
}

#[test]
fn tenant_has_the_received_values() {
    let document = parse(
        r#"[{"name":"kaje80","apiKeys":["one","two","one"],"priority":1,"unit":"token_count",
             "uncachedTokens":200,"ratePerS":731839,"burstSize":5.5,"later":{}}]"#,
    )
    .expect("valid");
    let tenant = &document.tenants().expect("tenants")[0];
    assert_eq!(
        (tenant.name.as_str(), tenant.keys.len(), tenant.priority),
        ("kaje80", 2, Some(1))
    );
    assert_eq!(
        (tenant.unit, tenant.uncached_tokens),
        (QuotaUnit::Tokens, 200)
    );
    let quota = tenant.quota.expect("a quota");
    assert_eq!((quota.rate_per_s, quota.burst), (731_839.0, 5.5));
}

#[test]
fn tenant_without_rate_has_no_quota_and_without_unit_counts_requests() {
    for rate in ["", ",\"ratePerS\":0", ",\"ratePerS\":null,\"burstSize\":9"] {
        let document = parse(&format!("[{{\"name\":\"a\",\"apiKeys\":[]{rate}}}]")).expect("valid");
        let tenant = &document.tenants().expect("tenants")[0];
        assert_eq!(
            (tenant.quota, tenant.unit),
            (None, QuotaUnit::Requests),
            "{rate}"
        );
    }
}

#[test]
fn configuration_without_tenants_needs_no_key() {
    let none = Document::parse(br#"{"version":1,"routes":[],"services":[]}"#).expect("valid");
    assert!(none.tenants().is_none());
    assert!(parse("null").expect("valid").tenants().is_none());
    assert_eq!(
        parse("[]").expect("valid").tenants().map(<[_]>::len),
        Some(0)
    );
}

#[test]
fn key_of_two_tenants_is_rejected_and_not_shown() {
    let error =
        parse(r#"[{"name":"a","apiKeys":["secret"]},{"name":"b","apiKeys":["x","secret"]}]"#)
            .expect_err("invalid");
    assert_matches!(&error, ConfigurationError::SharedKey { first, second } if first == "a" && second == "b");
    assert!(error.to_string().contains("apiKeys") && !error.to_string().contains("secret"));
}

#[test]
fn negative_and_infinite_amounts_are_rejected() {
    for (field, value) in [
        ("ratePerS", "-1"),
        ("ratePerS", "1e999"),
        ("burstSize", "-0.5"),
        ("ratePerS", "\"9\""),
    ] {
        let error =
            parse(&format!("[{{\"name\":\"a\",\"{field}\":{value}}}]")).expect_err("invalid");
        assert!(
            error.to_string().contains(field) || error == ConfigurationError::Unreadable,
            "{error}"
        );
    }
    for (field, value) in [
        ("priority", "-1"),
        ("uncachedTokens", "-3"),
        ("apiKeys", "\"k\""),
        ("apiKeys", "[7]"),
    ] {
        let error =
            parse(&format!("[{{\"name\":\"a\",\"{field}\":{value}}}]")).expect_err("invalid");
        assert!(error.to_string().contains(field), "{error}");
    }
}

#[test]
fn tenants_without_names_are_rejected() {
    for tenants in [
        "{}",
        "7",
        r#"[{"apiKeys":[]}]"#,
        r#"[{"name":"a"},{"name":"a"}]"#,
        r#"["a"]"#,
    ] {
        assert!(parse(tenants).is_err(), "{tenants}");
        assert!(
            update(&format!("\"upserts\":{{\"tenants\":{tenants}}}")).is_err(),
            "{tenants}"
        );
    }
}

#[test]
fn update_adds_and_removes_keys() {
    let moved =
        update(r#""upserts":{"tenants":[{"name":"a","apiKeys":["k3"]},{"name":"b","apiKeys":["k1","k2"]}]}"#)
            .expect("valid");
    let keys: Vec<usize> = moved
        .tenants()
        .expect("tenants")
        .iter()
        .map(|tenant| tenant.keys.len())
        .collect();
    assert_eq!(keys, [1, 2]);
    let last = update(r#""removals":{"tenants":["a","b"]}"#).expect("valid");
    assert_eq!(last.tenants().map(<[_]>::len), Some(0));
    assert_matches!(
        update(r#""upserts":{"tenants":[{"name":"b","apiKeys":["k1"]}]}"#),
        Err(ConfigurationError::SharedKey { .. })
    );
}

#[test]
fn committed_invalid_tenants_are_accepted_without_keys() {
    let shared = text(r#"[{"name":"a","apiKeys":["k"]},{"name":"b","apiKeys":["k"]}]"#);
    for committed in [
        shared.as_str(),
        &text("7"),
        &text(r#"[{"name":"a","ratePerS":-1}]"#),
    ] {
        assert!(Document::parse(committed.as_bytes()).is_err());
        let document = Document::parse_committed(committed.as_bytes()).expect("accepted");
        assert_eq!(document.tenants().map(<[_]>::len), Some(0), "{committed}");
        assert_eq!(document.to_json(), committed.as_bytes());
    }
}

/// Guards against UNASKED: a tenant that servers can only be told under another name.
#[test]
fn name_that_fits_in_no_header_is_rejected_and_named() {
    for (name, shown) in [
        (" edge", " edge"),
        ("edge ", "edge "),
        (r"a\r\nApi-Key: x", r"a\r\nApi-Key: x"),
        (r"a\u0000b", r"a\0b"),
    ] {
        let tenants = format!("[{{\"name\":\"{name}\",\"apiKeys\":[\"secret\"]}}]");
        let error = parse(&tenants).expect_err("invalid");
        assert_eq!(
            error,
            ConfigurationError::TenantNotInHeader {
                tenant: shown.to_owned()
            }
        );
        assert!(update(&format!("\"upserts\":{{\"tenants\":{tenants}}}")).is_err());
    }
    for name in ["Šibenik", r"\u0160ibenik", "two words", "%C5%A0ibenik"] {
        assert!(
            parse(&format!("[{{\"name\":\"{name}\"}}]")).is_ok(),
            "{name}"
        );
    }
}

#[test]
fn committed_tenant_whose_name_fits_in_no_header_is_kept_until_it_is_removed() {
    let committed = text(r#"[{"name":"a ","apiKeys":["k1"]},{"name":"b","apiKeys":["k2"]}]"#);
    let document = Document::parse_committed(committed.as_bytes()).expect("accepted");
    let fits: Vec<bool> = document
        .tenants()
        .expect("tenants")
        .iter()
        .map(Tenant::fits_in_header)
        .collect();
    assert_eq!(fits, [false, true]);
    let apply = |change: &str| {
        let body = format!("{{\"version\":4,{change}}}");
        document.apply_update(&Update::parse(body.as_bytes()).expect("an update"))
    };
    assert_matches!(
        apply(r#""upserts":{"tenants":[{"name":"c"}]}"#),
        Err(ConfigurationError::TenantNotInHeader { .. })
    );
    let renamed = apply(
        r#""removals":{"tenants":["a "]},"upserts":{"tenants":[{"name":"a","apiKeys":["k1"]}]}"#,
    );
    assert!(renamed.is_ok_and(|renamed| renamed.tenants().is_some_and(|all| all.len() == 2)));
}
