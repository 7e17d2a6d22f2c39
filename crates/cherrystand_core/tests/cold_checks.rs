//! Which endpoints a daemon asks whether they are cold.

use cherrystand_core::{BoxId, ColdChecks, Millis, PropagationBudget};

/// Health checks are paid for, so none is made while the store or a peer tells what entries say.
#[test]
fn endpoints_are_asked_only_while_nobody_can_read_their_entries() {
    struct Case {
        name: &'static str,
        /// The age of what is known of the store at each step of 100 ms.
        ages: fn(u64) -> u64,
        /// How often each endpoint is asked in two seconds.
        asked: usize,
    }
    let cases = [
        Case { name: "a quiet store", ages: |_| 560, asked: 0 },
        Case { name: "a reader that was lost, and another source", ages: |_| 1_200, asked: 0 },
        Case { name: "an outage that begins", ages: |step| step * 100, asked: 2 },
        Case { name: "an outage that lasts", ages: |step| 5_000 + step * 100, asked: 4 },
    ];
    let ids = [BoxId::new("a-1"), BoxId::new("a-2")];
    for case in cases {
        let mut checks = ColdChecks::new(PropagationBudget::new(Millis(2_000)));
        let asked: usize = (0..20)
            .map(|step| {
                let (age, now) = (Millis((case.ages)(step)), Millis(10_000 + step * 100));
                checks.due(age, ids.clone(), now).len()
            })
            .sum();
        assert_eq!(asked, case.asked * ids.len(), "{}", case.name);
    }
}

#[test]
fn next_check_is_due_once_an_endpoint_may_be_asked() {
    let budget = PropagationBudget::new(Millis(2_000));
    let mut checks = ColdChecks::new(budget);
    let now = Millis(10_000);
    let age = Millis(300);
    assert_eq!(checks.check_at(age, now), now + budget.outage_age() - age);
    assert_eq!(checks.check_at(Millis(9_000), now), now);
    checks.due(Millis(9_000), [BoxId::new("a-1")], now);
    assert_eq!(checks.check_at(Millis(9_000), now), now + Millis(500));
}
