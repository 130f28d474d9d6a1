//! Tests of `carried_ids`.

use super::*;

fn request(attempt_id: Option<&str>) -> ClientRequest {
    ClientRequest {
        attempt_id: attempt_id.map(str::to_owned),
        ..ClientRequest::default()
    }
}

#[test]
fn id_is_contained_once_it_was_carried() {
    let digester = IdDigester::default();
    let [first, second] = ["a1", "a2"].map(|id| digester.digest(&request(Some(id))));
    let mut carried = CarriedIds::default();
    carried.insert(first);
    assert!(carried.contains(first));
    assert!(!carried.contains(second));
}

/// Guards against an extra response to a request without an id that is taken for the one to the next
/// such request.
#[test]
fn requests_without_id_share_a_digest() {
    let digester = IdDigester::default();
    assert_eq!(
        digester.digest(&request(None)),
        digester.digest(&request(None))
    );
    assert_ne!(
        digester.digest(&request(None)),
        digester.digest(&request(Some("")))
    );
}

#[test]
fn connection_is_full_after_its_last_request() {
    let digester = IdDigester::default();
    let mut carried = CarriedIds::default();
    for number in 0..MAX_REQUESTS_PER_CONNECTION {
        assert!(!carried.is_full());
        carried.insert(digester.digest(&request(Some(&number.to_string()))));
    }
    assert!(carried.is_full());
}
