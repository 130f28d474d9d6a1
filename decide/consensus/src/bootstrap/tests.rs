//! Tests of `bootstrap`.

use super::*;

fn identity(name: &str, storage_id: u64) -> VoterIdentity {
    VoterIdentity {
        name: name.into(),
        storage_id,
    }
}

fn names() -> Vec<String> {
    ["a", "b", "c"].map(Into::into).into()
}

#[test]
fn voters_adopt_one_genesis_in_any_order_of_announcements() {
    for order in 0..64usize {
        let mut all: Vec<Bootstrap> = (0..3)
            .map(|i| Bootstrap::new(identity(["a", "b", "c"][i], i as u64 + 1), &names(), None))
            .collect();
        let mut chance = order as u64;
        for _ in 0..100 {
            chance = chance
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            let (to, from) = ((chance >> 33) as usize % 3, (chance >> 40) as usize % 3);
            let announcement = all[from].announcement();
            all[to].on_announcement(&announcement);
        }
        assert!(
            all.iter()
                .all(|g| g.genesis().is_some() && g.genesis() == all[0].genesis()),
            "{order}"
        );
    }
}

#[test]
fn voter_without_its_storage_votes_neither_by_the_old_genesis_nor_by_another() {
    let mut all =
        [("a", 1), ("b", 2), ("c", 3)].map(|(n, m)| Bootstrap::new(identity(n, m), &names(), None));
    let announcements = [0, 1, 2].map(|i| all[i].announcement());
    assert!(announcements[1..]
        .iter()
        .fold(false, |_, a| all[0].on_announcement(a)));
    let mut late = Bootstrap::new(identity("b", 9), &names(), None);
    assert!(!late.on_announcement(&all[0].announcement()));
    assert_eq!(
        late.status().to_string(),
        "the fleet knows b by another memory: this one does not vote"
    );
    assert!(
        !late.on_announcement(&announcements[0])
            && !late.on_announcement(&announcements[2])
            && late.genesis().is_none(),
        "no second one"
    );
    let mut stranger = Bootstrap::new(identity("d", 4), &names(), None);
    assert!(
        !stranger.on_announcement(&all[0].announcement())
            && stranger.status() == &BootstrapStatus::NotMember
    );
    // With its memory it comes back as it was, though nobody else is there.
    let back = Bootstrap::new(identity("a", 1), &names(), all[0].genesis().cloned());
    assert_eq!(back.genesis(), all[0].genesis());
}
