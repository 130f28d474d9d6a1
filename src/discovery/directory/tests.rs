//! Tests of the data nodes by name.

use super::*;

const LIST: &str = r#"{"generation":41,"reset":true,"instances":[
        {"instanceId":"s-1","hostPort":"10.1.0.18:8080","zone":"b","machineType":"m2","cell":3,
         "lifecycle":"SERVING","weight":1.0,"startedAtMs":5}]}"#;

#[test]
fn a_list_is_put_in_the_modules_terms_and_ids_stay() {
    let list: List = serde_json::from_str(LIST).unwrap();
    let mut directory = Directory::new(vec!["a".into(), "b".into()]);
    let first = directory.apply_changes(&list.instances);
    assert_eq!(
        (first[0].cell, first[0].zone, first[0].mode),
        (3, 1, ServerMode::Ready)
    );
    assert_eq!(first[0].started_at, Some(Time(5_000)));
    assert_eq!(
        directory.address(first[0].server),
        Some("10.1.0.18:8080".parse().unwrap())
    );
    let gone = Instance {
        lifecycle: Lifecycle::Deleted,
        host_port: String::new(),
        ..list.instances[0].clone()
    };
    let second = directory.apply_changes(std::slice::from_ref(&gone));
    assert_eq!(
        (second[0].server, second[0].mode),
        (first[0].server, ServerMode::Gone)
    );
    assert!(
        directory.apply_changes(&[gone]).is_empty(),
        "one that was never listed is no news"
    );
}

#[test]
fn a_list_that_comes_indented_is_the_same_list() {
    let value: serde_json::Value = serde_json::from_str(LIST).unwrap();
    let pretty = serde_json::to_string_pretty(&value)
        .unwrap()
        .replace('\n', "\r\n\t ");
    let [plain, indented] = [LIST, &pretty].map(|text| {
        Directory::default().apply_changes(&serde_json::from_str::<List>(text).unwrap().instances)
    });
    assert!(pretty.lines().count() > 10 && plain.len() == 1);
    assert_eq!(plain, indented);
}

#[test]
fn departed_node_is_forgotten_and_its_number_not_reused() {
    let list: List = serde_json::from_str(LIST).unwrap();
    let mut directory = Directory::default();
    let node = |i: u32| Instance {
        instance_id: format!("s-{i}"),
        ..list.instances[0].clone()
    };
    let gone = |i| Instance {
        lifecycle: Lifecycle::Deleted,
        ..node(i)
    };
    for i in 0..100 {
        assert_eq!(directory.replace_list(&[node(i)])[0].server, ServerId(i));
    }
    directory.apply_changes(&[gone(99)]);
    assert_eq!((directory.ids.len(), directory.nodes.len()), (0, 0));
    assert_eq!(directory.take_gone().len(), 100);
    assert_eq!(directory.apply_changes(&[node(7)])[0].server, ServerId(100));
}

#[test]
fn line_without_a_known_cell_is_ignored_or_keeps_the_last_cell() {
    let list: List = serde_json::from_str(LIST).unwrap();
    let mut directory = Directory::default().with_cells(8);
    let line = |id: &str, cell, lifecycle| Instance {
        instance_id: id.into(),
        cell,
        lifecycle,
        ..list.instances[0].clone()
    };
    let bad = [
        line("new", None, Lifecycle::Serving),
        line("far", Some(8), Lifecycle::Serving),
    ];
    assert!(directory.replace_list(&bad).is_empty() && directory.is_empty());
    let log = directory.take_log();
    assert!(
        log[0].contains("new has no cell: the line is left aside"),
        "{log:?}"
    );
    assert!(
        log[1].contains("far has cell 8, which there is not"),
        "{log:?}"
    );
    directory.apply_changes(&[line("old", Some(3), Lifecycle::Serving)]);
    let lines = directory.apply_changes(&[line("old", None, Lifecycle::Draining)]);
    assert_eq!(
        (lines[0].cell, lines[0].mode),
        (3, ServerMode::Draining),
        "that it drains counts"
    );
    assert!(directory.take_log()[0].contains("it keeps its last one"));
    let gone = directory.apply_changes(&[line("old", None, Lifecycle::Deleted)]);
    assert!(
        gone[0].mode == ServerMode::Gone && directory.is_empty() && directory.take_log().is_empty()
    );
}

#[test]
fn uncordoned_node_counts_as_just_started_unless_the_list_has_a_start() {
    let mut directory = Directory::new(vec!["a".into()]);
    let node = |started_at_ms| Instance {
        instance_id: "s".into(),
        host_port: "127.0.0.1:1".into(),
        zone: "a".into(),
        cell: Some(0),
        lifecycle: Lifecycle::Serving,
        started_at_ms,
    };
    let back = BTreeMap::from([("s".to_string(), (Time(5_000_000), Time(9_000_000)))]);
    directory.replace_list(&[node(0)]);
    let out = OperatorOverrides {
        out: BTreeSet::from(["s".to_string()]),
        ..OperatorOverrides::default()
    };
    assert_eq!(
        directory.set_overrides(out).first().map(|l| l.mode),
        Some(ServerMode::Draining)
    );
    // The list hears of no restart, of one long ago, or of that for which it was out.
    let lines = directory.set_overrides(OperatorOverrides {
        back,
        ..OperatorOverrides::default()
    });
    assert_eq!(
        lines
            .iter()
            .map(|l| (l.mode, l.started_at))
            .collect::<Vec<_>>(),
        [(ServerMode::Ready, Some(Time(9_000_000)))]
    );
    let mut started = |ms| directory.apply_changes(&[node(ms)])[0].started_at;
    assert_eq!(
        [started(4_999), started(7_000), started(11_000)],
        [9_000, 7_000, 11_000].map(|ms| Some(Time(ms * 1_000)))
    );
}
