//! Tests of `health`.

use super::*;

#[test]
fn process_is_ready_when_it_listens_has_a_server_list_and_its_loop_turns() {
    let ready = HealthStatus {
        is_listening: true,
        has_server_list: true,
        last_turn_at: Time(5_000_000),
        ..HealthStatus::default()
    };
    let now = Time(5_100_000);
    assert_eq!(check_ready(now, &ready), Ok(()));
    for (status, reason) in [
        (
            HealthStatus {
                is_listening: false,
                ..ready
            },
            NotReadyReason::NotListening,
        ),
        (
            HealthStatus {
                has_server_list: false,
                ..ready
            },
            NotReadyReason::NoServerList,
        ),
        (
            HealthStatus {
                is_quiesced: true,
                ..ready
            },
            NotReadyReason::Quiesced,
        ),
        (
            HealthStatus {
                lifecycle: Lifecycle::Stopping,
                is_quiesced: true,
                ..ready
            },
            NotReadyReason::Stopping,
        ),
        (
            HealthStatus {
                last_turn_at: Time(1_000_000),
                ..ready
            },
            NotReadyReason::Stuck(4_100),
        ),
    ] {
        assert_eq!(check_ready(now, &status), Err(reason));
    }
}
