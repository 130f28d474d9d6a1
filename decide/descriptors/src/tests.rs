//! Tests of `descriptors`.

use super::*;

/// Fleets of 3 to 1,000 data nodes and processes of 64 to 4,096 descriptors.
fn sizes() -> impl Iterator<Item = (usize, usize)> {
    let nodes = [3, 4, 12, 60, 100, 184, 200, 400, 1_000];
    let descriptors = [64, 128, 256, 568, 664, 1_024, 2_048, 4_096];
    nodes
        .into_iter()
        .flat_map(move |n| descriptors.into_iter().map(move |d| (n, d)))
}

/// Opens connections until one is denied.
fn fill(shares: &mut Shares, side: Side) -> usize {
    let mut opened = 0;
    while matches!(shares.may_open(side), Verdict::Open(_)) {
        shares.on_opened(side);
        opened += 1;
    }
    opened
}

fn shares(nodes: usize, descriptors: usize) -> Shares {
    let mut shares = Shares::new(descriptors);
    shares.on_listed(nodes);
    shares
}

#[test]
fn greedy_clients_leave_nodes_their_share_and_discovery_its_reserve() {
    for (nodes, descriptors) in sizes() {
        let mut shares = shares(nodes, descriptors);
        let all = descriptors - DISCOVERY;
        let clients = fill(&mut shares, Side::Clients);
        assert_eq!(clients, shares.of_clients());
        assert!(
            clients >= all / 2,
            "{nodes} nodes, {descriptors}: clients get {clients}"
        );
        let open = fill(&mut shares, Side::Nodes);
        assert_eq!(open, shares.of_nodes(), "{nodes} nodes, {descriptors}");
        let wanted = (nodes + nodes / 4 + 8).min(all / 2).min(nodes * LINKS);
        assert!(
            open >= wanted,
            "{nodes} nodes, {descriptors}: {open} of {wanted}"
        );
        assert_eq!(fill(&mut shares, Side::Discovery), DISCOVERY);
        assert!(clients + open + DISCOVERY <= descriptors);
    }
}

#[test]
fn nodes_borrow_unused_client_descriptors_and_return_them() {
    for (nodes, descriptors) in sizes() {
        let mut shares = shares(nodes, descriptors);
        let open = fill(&mut shares, Side::Nodes);
        let kept = shares.of_clients() - shares.owed();
        assert!(
            open >= shares.of_nodes()
                && kept >= (shares.of_clients() / RESERVED_SHARE_DIVISOR).max(1)
        );
        assert_eq!(fill(&mut shares, Side::Clients), kept, "these come at once");
        match shares.may_open(Side::Clients) {
            Verdict::Instead(Reason::Borrowed(..)) => assert!(shares.owed() > 0),
            Verdict::Wait(Reason::Full(..)) => assert_eq!(shares.owed(), 0),
            other => panic!("{nodes} nodes, {descriptors}: {other:?}"),
        }
        // What falls idle goes to clients until they have their share, and never to data nodes.
        while shares.owed() > 0 {
            shares.on_closed(Side::Nodes);
            assert!(!matches!(shares.may_open(Side::Nodes), Verdict::Open(_)));
            assert!(matches!(shares.may_open(Side::Clients), Verdict::Open(_)));
            shares.on_opened(Side::Clients);
        }
        assert_eq!(shares.clients, shares.of_clients());
        assert!(matches!(shares.may_open(Side::Clients), Verdict::Wait(_)));
        assert!(matches!(shares.may_open(Side::Nodes), Verdict::Instead(_)));
    }
}

#[test]
fn a_longer_list_moves_the_shares_and_idle_clients_make_room() {
    let mut shares = shares(3, 640);
    assert_eq!(
        fill(&mut shares, Side::Clients),
        638 - 48,
        "three nodes can use 48 connections"
    );
    shares.on_listed(184);
    assert_eq!((shares.of_nodes(), shares.of_clients()), (238, 400));
    assert!(
        shares.crowd() >= 590 - 400,
        "what is beyond the share of now is too much"
    );
    assert_eq!(fill(&mut shares, Side::Nodes), 48, "what is free is theirs");
    assert!(matches!(
        shares.may_open(Side::Nodes),
        Verdict::Instead(Reason::Borrowed(638, 638))
    ));
    assert!(matches!(
        shares.may_open(Side::Clients),
        Verdict::Wait(Reason::Full(590, 400))
    ));
    for _ in 0..190 {
        shares.on_closed(Side::Clients);
    }
    assert_eq!(fill(&mut shares, Side::Nodes), 190);
    assert_eq!(fill(&mut shares, Side::Clients), 0);
}

#[test]
fn node_capacity_is_the_largest_count_within_the_share() {
    for descriptors in [64, 256, 568, 1_024, 4_096] {
        let most = shares(1, descriptors).bears();
        let fits = |nodes| {
            let shares = shares(nodes, descriptors);
            shares.of_nodes() >= nodes + nodes / BESIDE_PART + BESIDE
        };
        assert!(fits(most) && !fits(most + 1), "{descriptors}: {most}");
    }
    let table = [64, 568, 1_024, 4_096].map(|d| shares(1, d).bears());
    assert_eq!(
        table,
        [19, 220, 403, 1_631],
        "without the process's own descriptors"
    );
}

#[test]
fn processes_share_descriptors_equally_and_return_the_excess() {
    let mut shares = shares(10, 362);
    assert_eq!(fill(&mut shares, Side::Clients), 270);
    shares.on_processes(2);
    assert_eq!((shares.of_nodes(), shares.of_clients()), (45, 135));
    assert!(matches!(
        shares.may_open(Side::Clients),
        Verdict::Wait(Reason::Full(270, 135))
    ));
    assert!(
        matches!(shares.may_open(Side::Nodes), Verdict::Instead(_)),
        "clients hold it, and leave it in time"
    );
    assert!(
        matches!(shares.may_open(Side::Discovery), Verdict::Open(_)),
        "discovery has its place all the same"
    );
    assert!(shares.crowd() >= 135);
    shares.on_processes(1);
    assert_eq!((shares.of_nodes(), shares.of_clients()), (90, 270));
    assert_eq!(fill(&mut shares, Side::Nodes), 90);
}
