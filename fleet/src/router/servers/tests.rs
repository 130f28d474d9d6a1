use super::*;

fn record(instance: &str, state: ServerState, sequence_number: u64) -> ServerRecord {
    ServerRecord {
        instance: instance.into(),
        service: "pool".into(),
        address: format!("10.1.0.{}:8080", instance.len()),
        zone: "z2".into(),
        state,
        sequence_number,
        ..ServerRecord::default()
    }
}

fn modes(table: &ServerTable) -> Vec<ServerMode> {
    table
        .entries_of("pool")
        .iter()
        .map(|line| line.mode)
        .collect()
}

#[test]
fn merge_is_independent_of_record_order() {
    let records = [
        record("i", ServerState::Ready, 1),
        record("i", ServerState::Ready, 7),
        record("i", ServerState::Draining, 3),
        record("i", ServerState::Ready, 9),
    ];
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..50 {
        let mut order = records.to_vec();
        rng.shuffle(&mut order);
        let mut table = ServerTable::new("z1");
        order
            .iter()
            .for_each(|record| _ = table.merge(std::slice::from_ref(record)));
        assert_eq!(modes(&table), [ServerMode::Draining], "{order:?}");
    }
}

#[test]
fn gone_is_final_even_as_first_record() {
    let mut table = ServerTable::new("z1");
    assert!(table.merge(&[record("i", ServerState::Gone, 0)]).is_empty());
    assert!(table
        .merge(&[record("i", ServerState::Ready, 9)])
        .is_empty());
    assert!(table
        .merge(&[record("i", ServerState::Draining, 9)])
        .is_empty());
    assert_eq!(table.live_count(), 0);
    table.merge(&[record("j", ServerState::Ready, 1)]);
    let server = table.entries_of("pool")[0].server;
    assert!(table.endpoint(server).is_some());
    let changes = table.merge(&[record("j", ServerState::Gone, 0)]);
    assert!(changes.len() == 1 && changes[0].accepts_no_requests());
    assert!(table.endpoint(server).is_none());
}

#[test]
fn gone_entry_keeps_service_of_instance() {
    let mut table = ServerTable::new("z1");
    table.merge(&[record("i", ServerState::Ready, 1)]);
    let bare = ServerRecord {
        instance: "i".into(),
        state: ServerState::Gone,
        ..ServerRecord::default()
    };
    let changes = table.merge(&[bare]);
    assert_eq!(&*changes[0].service, "pool");
}

#[test]
fn merge_returns_only_changes() {
    let mut table = ServerTable::new("z1");
    assert_eq!(table.merge(&[record("i", ServerState::Ready, 1)]).len(), 1);
    assert!(
        table
            .merge(&[record("i", ServerState::Ready, 2)])
            .is_empty(),
        "a beat is no news"
    );
    let suspect = ServerRecord {
        is_suspect: true,
        ..record("i", ServerState::Ready, 2)
    };
    assert_eq!(table.merge(&[suspect])[0].entry.mode, ServerMode::Leaving);
    assert_eq!(
        table.merge(&[record("i", ServerState::Ready, 3)])[0]
            .entry
            .mode,
        ServerMode::Ready
    );
}

#[test]
fn draining_server_keeps_address_and_accepts_no_requests() {
    let mut table = ServerTable::new("z1");
    table.merge(&[record("i", ServerState::Ready, 1)]);
    let server = table.entries_of("pool")[0].server;
    assert!(!table.endpoint(server).expect("known").is_leaving);
    table.merge(&[record("i", ServerState::Draining, 2)]);
    assert!(table.endpoint(server).expect("known").is_leaving);
}

#[test]
fn own_zone_has_number_zero() {
    let mut table = ServerTable::new("z2");
    table.merge(&[record("i", ServerState::Ready, 1)]);
    let other = ServerRecord {
        zone: "z9".into(),
        ..record("jj", ServerState::Ready, 1)
    };
    table.merge(&[other]);
    let mut zones: Vec<u32> = table
        .entries_of("pool")
        .iter()
        .map(|line| line.zone)
        .collect();
    zones.sort_unstable();
    assert_eq!(zones, [0, 1]);
}

#[test]
fn gone_instances_are_remembered_up_to_a_bound() {
    let mut table = ServerTable::new("z1");
    for n in 0..MAX_REMEMBERED_GONE + 100 {
        let name = format!("i{n}");
        table.merge(&[
            record(&name, ServerState::Ready, 1),
            record(&name, ServerState::Gone, 1),
        ]);
    }
    assert_eq!(table.live_count(), 0);
    assert_eq!(table.instances.len(), MAX_REMEMBERED_GONE);
    assert_eq!(table.by_server.len(), MAX_REMEMBERED_GONE);
}
