use super::*;
use std::time::Duration;

const SECOND: Micros = 1_000_000;

fn rule() -> RetryBudget {
    RetryBudget {
        ratio: 0.2,
        slack: 200.0,
        window: Duration::from_secs(10),
    }
}

#[test]
fn slack_is_unused_while_router_count_is_unknown() {
    assert_eq!(decision_budget(rule(), 0).min_retries, 0.0);
    let mut resumes = ResumeBudget::new(rule());
    assert!(!resumes.try_take(Time(SECOND)));
}

#[test]
fn all_routers_together_stay_within_the_slack() {
    for routers in [1, 7, 93] {
        let module = decision_budget(rule(), routers).min_retries;
        let mut resumes = ResumeBudget::new(rule());
        resumes.update(rule(), routers);
        let taken = (0..1_000)
            .filter(|_| resumes.try_take(Time(SECOND)))
            .count();
        assert!((module + taken as f64) * f64::from(routers) <= 200.0 * FLEET_SLACK_SHARE + 1e-9);
    }
}

#[test]
fn decision_and_resume_budget_stay_within_the_ratio() {
    let requests = 1_000;
    let mut resumes = ResumeBudget::new(rule());
    (0..requests).for_each(|_| resumes.on_request(Time(SECOND)));
    let taken = (0..requests)
        .filter(|_| resumes.try_take(Time(SECOND)))
        .count();
    assert!(taken > 0);
    // The module counts each request twice.
    let module = decision_budget(rule(), 0).share * 2.0 * f64::from(requests);
    assert!(module + taken as f64 <= 0.2 * f64::from(requests) + 1e-9);
}

#[test]
fn requests_older_than_window_are_forgotten() {
    let mut resumes = ResumeBudget::new(rule());
    (0..100).for_each(|_| resumes.on_request(Time(SECOND)));
    assert!(resumes.try_take(Time(2 * SECOND)));
    assert!(!resumes.try_take(Time(20 * SECOND)));
    // Nor after a stop of any length.
    assert!(!resumes.try_take(Time(2_000_000 * SECOND)));
}
