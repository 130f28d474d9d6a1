//! Tests of the contracts of teams.

use super::*;

fn contracts() -> Contracts {
    let rates = Contract {
        classes: vec![0],
        rate: Some(2.0),
        budget: None,
    };
    let strict = Budget {
        window: 10,
        min_retries: 1.0,
        share: 0.1,
    };
    let open = Contract {
        classes: vec![],
        rate: None,
        budget: Some(strict),
    };
    Contracts::new([("rates".into(), rates), ("open".into(), open)])
}

#[test]
fn no_contracts_allow_every_query() {
    assert_eq!(Contracts::default().admit(Time(1), None, 9), Ok(()));
    assert_eq!(Contracts::default().budget(), None);
}

#[test]
fn contract_limits_classes_and_rate() {
    let mut contracts = contracts();
    let now = Time(1_000_000);
    assert_eq!(
        contracts.admit(now, None, 0),
        Err(ContractViolation::UnknownTeam)
    );
    assert_eq!(
        contracts.admit(now, Some("else"), 0),
        Err(ContractViolation::UnknownTeam)
    );
    assert_eq!(
        contracts.admit(now, Some("rates"), 1),
        Err(ContractViolation::Class)
    );
    assert_eq!(contracts.admit(now, Some("rates"), 0), Ok(()));
    assert_eq!(contracts.admit(now, Some("rates"), 0), Ok(()));
    assert_eq!(
        contracts.admit(now, Some("rates"), 0),
        Err(ContractViolation::Rate(500_000))
    );
    assert_eq!(contracts.admit(now.plus(500_000), Some("rates"), 0), Ok(()));
    assert_eq!(contracts.admit(now, Some("open"), 7), Ok(()));
}

#[test]
fn strictest_budget_is_given_to_the_module() {
    assert_eq!(
        contracts().budget(),
        Some(Budget {
            window: 10,
            min_retries: 1.0,
            share: 0.1
        })
    );
}
