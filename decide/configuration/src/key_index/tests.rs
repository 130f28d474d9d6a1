//! Tests of the lookup of tenants by API key.

use super::*;

fn index_of(tenants: &str) -> KeyIndex {
    let text = format!("{{\"version\":1,\"routes\":[],\"services\":[],\"tenants\":{tenants}}}");
    KeyIndex::new(&Document::parse(text.as_bytes()).expect("valid"))
}

#[test]
fn key_maps_to_its_tenant_and_unknown_key_to_none() {
    let long = "k".repeat(100_000);
    let index = index_of(&format!(
        r#"[{{"name":"a","apiKeys":["one","{long}"]}},{{"name":"b","apiKeys":["two"]}}]"#
    ));
    let tenant_index = |key: &str| index.tenant_index(&KeyDigest::of(key.as_bytes()));
    assert_eq!(
        (
            tenant_index("one"),
            tenant_index(&long),
            tenant_index("two")
        ),
        (Some(0), Some(0), Some(1))
    );
    for other in ["", "on", "one ", "ONE", "three", &long[1..]] {
        assert_eq!(tenant_index(other), None);
    }
}
