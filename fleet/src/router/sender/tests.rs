//! Tests of `tenants`.

use super::*;
use lichenswitch_messages::ConfigurationPosition;

fn in_force(tenants: &str) -> ActiveConfiguration {
    let text = format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/\",\"service\":\"s\"}}],\
         \"services\":[{{\"name\":\"s\"}}]{tenants}}}"
    );
    let position = ConfigurationPosition {
        epoch: 1,
        primary: 1,
        number: 1,
    };
    ActiveConfiguration::parse(position, text.as_bytes()).expect("a configuration")
}

fn key(text: &str) -> Option<KeyDigest> {
    Some(KeyDigest::of(text.as_bytes()))
}

#[test]
fn configuration_without_tenants_needs_no_key() {
    let none = in_force("");
    assert!(none
        .sender(false, None)
        .is_ok_and(|sender| sender.is_none()));
    assert!(none
        .sender(false, key("any"))
        .is_ok_and(|sender| sender.is_none()));
}

#[test]
fn empty_tenant_list_closes_all_private_routes() {
    let empty = in_force(",\"tenants\":[]");
    assert_eq!(
        empty.sender(false, key("any")).err(),
        Some(KeyDenial::UnknownKey)
    );
    assert!(empty
        .sender(true, None)
        .is_ok_and(|sender| sender.is_none()));
}

#[test]
fn key_identifies_tenant_on_public_routes_too() {
    let configuration =
        in_force(r#","tenants":[{"name":"a","apiKeys":["k"]},{"name":"last","apiKeys":[]}]"#);
    for public in [false, true] {
        let sender = configuration
            .sender(public, key("k"))
            .expect("served")
            .expect("a tenant");
        assert_eq!(sender.0.name, "a");
    }
    assert_eq!(
        configuration.sender(false, key("other")).err(),
        Some(KeyDenial::UnknownKey)
    );
    assert!(configuration
        .sender(true, key("other"))
        .is_ok_and(|sender| sender.is_none()));
}

/// Guards against a tenant that servers are told under a name that no tenant has: an earlier version
/// accepted names that no header carries.
#[test]
fn tenant_whose_name_fits_in_no_header_is_not_served() {
    let configuration = in_force(
        r#","tenants":[{"name":" edge ","apiKeys":["k1"]},{"name":"a\r\nApi-Key: x","apiKeys":["k2"]},
           {"name":"two words","apiKeys":["k3"]}]"#,
    );
    for public in [false, true] {
        for unserved in ["k1", "k2"] {
            assert_eq!(
                configuration.sender(public, key(unserved)).err(),
                Some(KeyDenial::NameNotInHeader)
            );
        }
        let served = configuration.sender(public, key("k3")).expect("served");
        assert_eq!(served.expect("a tenant").0.name, "two words");
    }
}
