//! Tests of `health`.

use super::*;

#[test]
fn a_process_is_ready_when_it_listens_has_a_list_and_comes_round() {
    let well = Standing {
        listens: true,
        listed: true,
        beat: Time(5_000_000),
        ..Standing::default()
    };
    let now = Time(5_100_000);
    assert_eq!(ready(now, &well), Ok(()));
    for (standing, why) in [
        (
            Standing {
                listens: false,
                ..well
            },
            Unready::NotListening,
        ),
        (
            Standing {
                listed: false,
                ..well
            },
            Unready::NoList,
        ),
        (Standing { away: true, ..well }, Unready::Away),
        (
            Standing {
                stopping: true,
                away: true,
                ..well
            },
            Unready::Stopping,
        ),
        (
            Standing {
                beat: Time(1_000_000),
                ..well
            },
            Unready::Stuck(4_100),
        ),
    ] {
        assert_eq!(ready(now, &standing), Err(why));
    }
}
