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
    for seed in 0..64usize {
        let mut all: Vec<Bootstrap> = (0..3)
            .map(|i| Bootstrap::new(identity(["a", "b", "c"][i], i as u64 + 1), &names(), None))
            .collect();
        let mut random = seed as u64;
        for _ in 0..100 {
            random = random
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            let (to, from) = ((random >> 33) as usize % 3, (random >> 40) as usize % 3);
            let announcement = all[from].announcement();
            all[to].on_announcement(&announcement);
        }
        assert!(
            all.iter()
                .all(|b| b.genesis().is_some() && b.genesis() == all[0].genesis()),
            "seed {seed}"
        );
    }
}

#[test]
fn voter_without_its_storage_votes_neither_by_the_old_genesis_nor_by_another() {
    let mut all = [("a", 1), ("b", 2), ("c", 3)]
        .map(|(name, storage_id)| Bootstrap::new(identity(name, storage_id), &names(), None));
    let announcements = [0, 1, 2].map(|i| all[i].announcement());
    assert!(announcements[1..]
        .iter()
        .fold(false, |_, a| all[0].on_announcement(a)));
    let mut without_storage = Bootstrap::new(identity("b", 9), &names(), None);
    assert!(!without_storage.on_announcement(&all[0].announcement()));
    assert_eq!(
        without_storage.status().to_string(),
        "the genesis lists b with another storage id: this broker does not vote"
    );
    assert!(
        !without_storage.on_announcement(&announcements[0])
            && !without_storage.on_announcement(&announcements[2])
            && without_storage.genesis().is_none(),
        "it must not create a second genesis"
    );
    let mut not_listed = Bootstrap::new(identity("d", 4), &names(), None);
    assert!(
        !not_listed.on_announcement(&all[0].announcement())
            && not_listed.status() == &BootstrapStatus::NotMember
    );
    // With its storage a voter restarts with its genesis, without any announcement.
    let restarted = Bootstrap::new(identity("a", 1), &names(), all[0].genesis().cloned());
    assert_eq!(restarted.genesis(), all[0].genesis());
}
