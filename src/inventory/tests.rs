//! Tests of `inventory`.

use super::*;
use crate::testing::Folder;

const YAML: &str = "\
zones:
  - name: zagreb-1
cells:
  - name: centre
slices:
  - {name: donji-grad, west: 15.9, south: 45.8, east: 16.0, north: 45.9}
nodes:
  - name: n1
    address: 127.0.0.1:9001
    cell: centre
    zone: zagreb-1
teams:
  - {name: office, classes: fleet-search | network-report, rate: 5, attempts_least: 2}
";

const CSV: [(&str, &str); 5] = [
    ("zones.csv", "name\nzagreb-1\n"),
    ("cells.csv", "name\ncentre\n"),
    (
        "slices.csv",
        "name,west,south,east,north\ndonji-grad,15.9,45.8,16.0,45.9\n",
    ),
    (
        "nodes.csv",
        "name,address,cell,zone\nn1,127.0.0.1:9001,centre,zagreb-1\n",
    ),
    (
        "teams.csv",
        "name,classes,rate,attempts_least\noffice,fleet-search | network-report,5,2\n",
    ),
];

fn yaml(text: &str) -> Result<Inventory, String> {
    let folder = Folder::new(&[("i.yaml", text)]);
    Inventory::load(&folder.path().join("i.yaml")).map_err(|error| error.to_string())
}

fn csv(change: (&str, &str, &str)) -> Result<Inventory, String> {
    let files = CSV.map(|(name, text)| {
        (
            name,
            if name == change.0 {
                text.replace(change.1, change.2)
            } else {
                text.to_string()
            },
        )
    });
    let files: Vec<(&str, &str)> = files
        .iter()
        .map(|(name, text)| (*name, text.as_str()))
        .collect();
    Inventory::load(Folder::new(&files).path()).map_err(|error| error.to_string())
}

#[test]
fn both_formats_tell_the_same() {
    let read = yaml(YAML).unwrap();
    assert_eq!(read, csv(("", "", "")).unwrap());
    assert_eq!(read.slices[0].bounds, [15.9, 45.8, 16.0, 45.9]);
    assert_eq!(read.nodes[0].address, "127.0.0.1:9001".parse().unwrap());
    assert_eq!(read.teams[0].classes, ["fleet-search", "network-report"]);
    let known = ["fleet-search".to_string(), "network-report".to_string()];
    assert_eq!(read.contracts(&known).unwrap()[0].1.classes, [0, 1]);
    assert!(read
        .contracts(&known[..1])
        .unwrap_err()
        .to_string()
        .contains("network-report"));
}

#[test]
fn errors_name_file_line_and_key() {
    for (good, bad, told) in [
        ("cell: centre", "cell: center", "i.yaml:10: cell:"),
        ("zone: zagreb-1", "zone: split", "i.yaml:11: zone:"),
        ("127.0.0.1:9001", "localhost", "i.yaml:9: address:"),
        (
            "    address: 127.0.0.1:9001\n",
            "",
            "i.yaml:8: address: missing",
        ),
        ("west: 15.9", "west: far", "i.yaml:6: west:"),
        ("east: 16.0", "east: 15.0", "i.yaml:6: east:"),
        ("rate: 5", "rate: 0", "i.yaml:13: rate:"),
        ("rate: 5", "speed: 5", "i.yaml:13: speed:"),
        ("nodes:", "boxes:", "boxes: no such list"),
        ("  - name: n1", "  - name: [", "i.yaml:"),
    ] {
        let error = yaml(&YAML.replacen(good, bad, 1)).unwrap_err();
        assert!(error.contains(told), "{error:?} for {bad:?}");
    }
    for (file, good, bad, told) in [
        ("nodes.csv", "centre", "center", "nodes.csv:2: cell:"),
        ("nodes.csv", "address", "adress", "nodes.csv:1: adress:"),
        ("slices.csv", "45.9", "95", "slices.csv:2: north:"),
        (
            "zones.csv",
            "zagreb-1\n",
            "zagreb-1\nzagreb-1\n",
            "zones.csv:3: name:",
        ),
        ("cells.csv", "centre\n", "", "cells: there are none"),
        ("nodes.csv", ",zagreb-1", "", "nodes.csv:2:"),
    ] {
        let error = csv((file, good, bad)).unwrap_err();
        assert!(error.contains(told), "{error:?} for {bad:?}");
    }
}
