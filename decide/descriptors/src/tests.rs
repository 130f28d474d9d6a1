//! Tests of the shares of descriptors.

use super::*;

/// Returns combinations of 3 to 1,000 data nodes and 64 to 4,096 descriptors.
fn sizes() -> impl Iterator<Item = (usize, usize)> {
    let nodes = [3, 4, 12, 60, 100, 184, 200, 400, 1_000];
    let descriptors = [64, 128, 256, 568, 664, 1_024, 2_048, 4_096];
    nodes.into_iter().flat_map(move |node_count| {
        descriptors
            .into_iter()
            .map(move |descriptor_count| (node_count, descriptor_count))
    })
}

/// Opens connections until one is denied; returns the number of opened ones.
fn fill(shares: &mut DescriptorShares, kind: ConnectionKind) -> usize {
    let mut opened = 0;
    while matches!(shares.may_open(kind), OpenDecision::Open(_)) {
        shares.on_opened(kind);
        opened += 1;
    }
    opened
}

fn shares(nodes: usize, descriptors: usize) -> DescriptorShares {
    let mut shares = DescriptorShares::new(descriptors);
    shares.set_listed_nodes(nodes);
    shares
}

#[test]
fn clients_at_their_limit_leave_share_of_nodes_and_reserve_of_discovery() {
    for (nodes, descriptors) in sizes() {
        let mut shares = shares(nodes, descriptors);
        let all = descriptors - DISCOVERY_RESERVE;
        let clients = fill(&mut shares, ConnectionKind::Clients);
        assert_eq!(clients, shares.client_share());
        assert!(
            clients >= all / 2,
            "{nodes} nodes, {descriptors}: clients get {clients}"
        );
        let open = fill(&mut shares, ConnectionKind::Nodes);
        assert_eq!(open, shares.node_share(), "{nodes} nodes, {descriptors}");
        let wanted = (nodes + nodes / 4 + 8)
            .min(all / 2)
            .min(nodes * MAX_CONNECTIONS_PER_NODE);
        assert!(
            open >= wanted,
            "{nodes} nodes, {descriptors}: {open} of {wanted}"
        );
        assert_eq!(
            fill(&mut shares, ConnectionKind::Discovery),
            DISCOVERY_RESERVE
        );
        assert!(clients + open + DISCOVERY_RESERVE <= descriptors);
    }
}

#[test]
fn nodes_borrow_unused_client_descriptors_and_return_them() {
    for (nodes, descriptors) in sizes() {
        let mut shares = shares(nodes, descriptors);
        let open = fill(&mut shares, ConnectionKind::Nodes);
        let kept = shares.client_share() - shares.reclaimable_connections();
        assert!(
            open >= shares.node_share()
                && kept >= (shares.client_share() / RESERVED_SHARE_DIVISOR).max(1)
        );
        assert_eq!(
            fill(&mut shares, ConnectionKind::Clients),
            kept,
            "new clients get the reserved descriptors at once"
        );
        match shares.may_open(ConnectionKind::Clients) {
            OpenDecision::CloseIdleFirst(OpenDecisionReason::Borrowed { .. }) => {
                assert!(shares.reclaimable_connections() > 0)
            }
            OpenDecision::Wait(OpenDecisionReason::ShareFull { .. }) => {
                assert_eq!(shares.reclaimable_connections(), 0)
            }
            other => panic!("{nodes} nodes, {descriptors}: {other:?}"),
        }
        // Closed connections of data nodes go to clients until they have their share.
        while shares.reclaimable_connections() > 0 {
            shares.on_closed(ConnectionKind::Nodes);
            assert!(!matches!(
                shares.may_open(ConnectionKind::Nodes),
                OpenDecision::Open(_)
            ));
            assert!(matches!(
                shares.may_open(ConnectionKind::Clients),
                OpenDecision::Open(_)
            ));
            shares.on_opened(ConnectionKind::Clients);
        }
        assert_eq!(shares.open_clients, shares.client_share());
        assert!(matches!(
            shares.may_open(ConnectionKind::Clients),
            OpenDecision::Wait(_)
        ));
        assert!(matches!(
            shares.may_open(ConnectionKind::Nodes),
            OpenDecision::CloseIdleFirst(_)
        ));
    }
}

#[test]
fn longer_list_raises_share_of_nodes_and_idle_clients_are_in_excess() {
    let mut shares = shares(3, 640);
    assert_eq!(
        fill(&mut shares, ConnectionKind::Clients),
        638 - 48,
        "three nodes can use 48 connections"
    );
    shares.set_listed_nodes(184);
    assert_eq!((shares.node_share(), shares.client_share()), (238, 400));
    assert!(
        shares.excess_client_connections() >= 590 - 400,
        "client connections beyond the current share are in excess"
    );
    assert_eq!(
        fill(&mut shares, ConnectionKind::Nodes),
        48,
        "data nodes get the free descriptors"
    );
    assert!(matches!(
        shares.may_open(ConnectionKind::Nodes),
        OpenDecision::CloseIdleFirst(OpenDecisionReason::Borrowed {
            open: 638,
            total: 638
        })
    ));
    assert!(matches!(
        shares.may_open(ConnectionKind::Clients),
        OpenDecision::Wait(OpenDecisionReason::ShareFull {
            open: 590,
            share: 400
        })
    ));
    for _ in 0..190 {
        shares.on_closed(ConnectionKind::Clients);
    }
    assert_eq!(fill(&mut shares, ConnectionKind::Nodes), 190);
    assert_eq!(fill(&mut shares, ConnectionKind::Clients), 0);
}

#[test]
fn node_capacity_is_the_largest_count_within_the_share() {
    for descriptors in [64, 256, 568, 1_024, 4_096] {
        let capacity = shares(1, descriptors).node_capacity();
        let fits = |nodes| {
            let shares = shares(nodes, descriptors);
            shares.node_share() >= nodes + nodes / SPARE_CONNECTIONS_DIVISOR + MIN_SPARE_CONNECTIONS
        };
        assert!(
            fits(capacity) && !fits(capacity + 1),
            "{descriptors}: {capacity}"
        );
    }
    let table = [64, 568, 1_024, 4_096].map(|count| shares(1, count).node_capacity());
    assert_eq!(
        table,
        [19, 220, 403, 1_631],
        "without the descriptors that the process itself needs"
    );
}

#[test]
fn processes_share_descriptors_equally_and_return_the_excess() {
    let mut shares = shares(10, 362);
    assert_eq!(fill(&mut shares, ConnectionKind::Clients), 270);
    shares.set_process_count(2);
    assert_eq!((shares.node_share(), shares.client_share()), (45, 135));
    assert!(matches!(
        shares.may_open(ConnectionKind::Clients),
        OpenDecision::Wait(OpenDecisionReason::ShareFull {
            open: 270,
            share: 135
        })
    ));
    assert!(
        matches!(
            shares.may_open(ConnectionKind::Nodes),
            OpenDecision::CloseIdleFirst(_)
        ),
        "clients still have the descriptors open"
    );
    assert!(
        matches!(
            shares.may_open(ConnectionKind::Discovery),
            OpenDecision::Open(_)
        ),
        "the reserve of discovery is unaffected"
    );
    assert!(shares.excess_client_connections() >= 135);
    shares.set_process_count(1);
    assert_eq!((shares.node_share(), shares.client_share()), (90, 270));
    assert_eq!(fill(&mut shares, ConnectionKind::Nodes), 90);
}
