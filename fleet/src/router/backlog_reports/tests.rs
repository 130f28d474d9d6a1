use super::*;

fn pairs(changes: Vec<ServerBacklog>) -> Vec<(u32, u32)> {
    changes
        .into_iter()
        .map(|of| (of.server, of.tokens))
        .collect()
}

#[test]
fn only_changes_are_reported_and_ended_backlogs_as_zero() {
    let mut reports = BacklogReports::default();
    let backlogs = |servers: &[(u32, u32)]| {
        servers
            .iter()
            .map(|(s, tokens)| (ServerId(*s), *tokens))
            .collect()
    };
    assert_eq!(
        pairs(reports.take_changes(backlogs(&[(1, 10), (2, 20)]))),
        [(1, 10), (2, 20)]
    );
    assert_eq!(
        pairs(reports.take_changes(backlogs(&[(1, 10), (2, 20)]))),
        []
    );
    assert_eq!(
        pairs(reports.take_changes(backlogs(&[(2, 25), (3, 5)]))),
        [(1, 0), (2, 25), (3, 5)]
    );
    assert_eq!(pairs(reports.take_changes(backlogs(&[]))), [(2, 0), (3, 0)]);
}
