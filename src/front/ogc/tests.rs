//! Tests of `ogc`.

use super::parameters::{bounds, datetime, order, parameters, shared};
use super::*;

#[test]
fn a_box_shares_with_slices_what_it_crosses_borders_included() {
    let slice = [10.0, 40.0, 20.0, 50.0];
    assert_eq!(
        shared([15.0, 45.0, 30.0, 60.0], slice),
        Some([15.0, 45.0, 20.0, 50.0])
    );
    assert_eq!(
        shared([20.0, 50.0, 30.0, 60.0], slice),
        Some([20.0, 50.0, 20.0, 50.0])
    );
    assert_eq!(shared([20.1, 40.0, 30.0, 60.0], slice), None);
    assert_eq!(shared([15.0, 51.0, 16.0, 60.0], slice), None);
    // From 170 east over the antimeridian to 15 east, and to 5 east.
    assert_eq!(
        shared([170.0, 0.0, 15.0, 90.0], slice),
        Some([10.0, 40.0, 15.0, 50.0])
    );
    assert_eq!(shared([170.0, 0.0, 5.0, 90.0], slice), None);
    assert_eq!(shared([18.0, 0.0, 12.0, 90.0], slice), Some(slice));
}

#[test]
fn boxes_and_times_that_make_no_sense_are_faults() {
    for text in [
        "",
        "1,2,3",
        "1,2,3,x",
        "1,2,3,NaN",
        "1,5,3,4",
        "1,2,3,91",
        "-181,2,3,4",
        "1,2,3,4,5",
    ] {
        assert!(bounds(text).is_err(), "{text}");
    }
    assert_eq!(bounds("1,2,0,3,4,9").ok(), Some([1.0, 2.0, 3.0, 4.0]));
    for text in [
        "2026-08-01T10:00:00Z",
        "2026-08-01T10:00:00 02:00",
        "../2026-08-01T10:00:00Z",
    ] {
        assert!(datetime(text).is_ok(), "{text}");
    }
    for text in [
        "",
        "..",
        "../..",
        "/",
        "yesterday",
        "2026-08-02T00:00:00Z/2026-08-01T00:00:00Z",
    ] {
        assert!(datetime(text).is_err(), "{text}");
    }
}

#[test]
fn garbage_in_parameters_never_panics() {
    let sound: [&[u8]; 3] = [
        b"15.9,45.7,16.0,45.9",
        b"2026-08-01T10:00:00Z/..",
        b"bbox=1,2,3,4&limit=%35",
    ];
    crate::testing::garbage(&sound, |bytes| {
        let text = String::from_utf8_lossy(bytes);
        let _ = (
            bounds(&text).is_ok(),
            datetime(&text).is_ok(),
            order(&text).is_ok(),
            parameters(&text, &["bbox"]).is_ok(),
        );
        let collection = Collection {
            id: "c".into(),
            title: "c".into(),
            class: 0,
            sorted: 0,
            wait: 1,
        };
        let mut front = Ogc::new("t".into(), vec![collection], Vec::new());
        let target = format!("/collections/c/items?{text}");
        let request = http::Request {
            method: "GET".into(),
            target,
            ..http::Request::default()
        };
        front.read_request(Time(0), &request);
    });
}
