//! Concurrent changes by operators, through a store that loses calls and answers.

mod support;

use cherrystand_core::{
    BoxesByReplica, Fleet, Generation, Incarnation, NodeId, PlanId, WorkspaceConfig,
    WorkspaceRecord, WriteId,
};
use cherrystand_testkit::{CallFault, FakeKeyValue};
use cherrystandd::{OperatorError, WorkspaceChange};
use proptest::prelude::*;
use support::run_on_virtual_time as run;

const RECORD_KEY: &str = "cherrystand/shared/workspace/w";

fn config(number: u32) -> WorkspaceConfig {
    let text = format!(
        "workspace = \"w\"\n[[service]]\nname = \"s\"\npath_prefix = \"/s\"\nconcurrency = {}\n\
         endpoints = [{{ zone = \"z\", address = \"127.0.0.1:9\" }}]\n",
        number + 1
    );
    WorkspaceConfig::from_toml(&text).expect("a valid configuration")
}

fn fault() -> impl Strategy<Value = CallFault> {
    prop_oneof![
        6 => Just(CallFault::None),
        1 => Just(CallFault::Lost),
        2 => Just(CallFault::AnswerLost),
        2 => Just(CallFault::TakesEffectLater),
    ]
}

/// The outcome of one change as reported to its operator.
#[derive(Debug)]
enum ChangeOutcome {
    Accepted(PlanId, Generation),
    Rejected(PlanId),
    Unknown,
}

async fn make_change(store: &FakeKeyValue, operator: usize, number: u64) -> ChangeOutcome {
    let (fleet, current_boxes) = (Fleet::default(), BoxesByReplica::new());
    let write_id = |sequence| WriteId {
        node: NodeId::new(format!("n{operator}")),
        incarnation: Incarnation(1),
        sequence,
    };
    let new_change = |sequence| WorkspaceChange {
        store,
        write_id: write_id(sequence),
        fleet: &fleet,
        current_boxes: &current_boxes,
    };
    let config = config(operator as u32 * 100 + number as u32);
    let Ok(planned) = new_change(number * 2).plan(config).await else {
        return ChangeOutcome::Unknown;
    };
    let id = planned.result.id;
    match new_change(number * 2 + 1).confirm(&id, &format!("operator-{operator}")).await {
        Ok(written) => ChangeOutcome::Accepted(id, written.result.generation),
        Err(OperatorError::Confirm(_)) => ChangeOutcome::Rejected(id),
        Err(_) => ChangeOutcome::Unknown,
    }
}

async fn race(store: &FakeKeyValue, operators: usize, changes: u64) -> Vec<ChangeOutcome> {
    let mut tasks = tokio::task::JoinSet::new();
    for operator in 0..operators {
        let store = store.clone();
        tasks.spawn_local(async move {
            let mut outcomes = Vec::new();
            for number in 0..changes {
                outcomes.push(make_change(&store, operator, number).await);
            }
            outcomes
        });
    }
    tasks.join_all().await.into_iter().flatten().collect()
}

fn stored(store: &FakeKeyValue) -> Option<WorkspaceRecord> {
    let text = store.peek(RECORD_KEY)?;
    Some(serde_json::from_str(&text).expect("a record"))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn outcomes_reported_to_operators_match_the_stored_record(
        faults in prop::collection::vec(fault(), 0..40),
        operators in 1_usize..4,
        changes in 1_u64..4,
    ) {
        let store = FakeKeyValue::with_faults(faults);
        let outcomes = run(race(&store, operators, changes));
        let Some(record) = stored(&store) else {
            prop_assert!(outcomes.iter().all(|outcome| !matches!(outcome, ChangeOutcome::Accepted(..))));
            return Ok(());
        };
        let history: Vec<_> = record.history.iter().map(|accepted| accepted.generation.0).collect();
        let expected: Vec<u64> = (1..=record.generation.0).collect();
        prop_assert_eq!(history, expected, "generations are not consecutive");
        for outcome in &outcomes {
            match outcome {
                ChangeOutcome::Accepted(id, generation) => {
                    let found = record.history.iter().filter(|accepted| &accepted.plan == id);
                    let found: Vec<_> = found.map(|accepted| accepted.generation).collect();
                    prop_assert_eq!(found, vec![*generation], "{} is otherwise in the history", id);
                }
                ChangeOutcome::Rejected(id) => {
                    let found = record.history.iter().any(|accepted| &accepted.plan == id);
                    prop_assert!(!found, "{} was rejected but is in the history", id);
                }
                ChangeOutcome::Unknown => {}
            }
        }
    }
}

#[test]
fn a_conflicting_change_fails_and_the_error_names_the_winner() {
    let store = FakeKeyValue::default();
    let (fleet, current_boxes) = (Fleet::default(), BoxesByReplica::new());
    let new_change = |sequence| WorkspaceChange {
        store: &store,
        write_id: WriteId { node: NodeId::new("n"), incarnation: Incarnation(1), sequence },
        fleet: &fleet,
        current_boxes: &current_boxes,
    };
    let outcome = run(async {
        let first = new_change(0).plan(config(1)).await.expect("a plan").result.id;
        let second = new_change(1).plan(config(2)).await.expect("a plan").result.id;
        new_change(2).confirm(&second, "huda").await.expect("accepted");
        new_change(3).confirm(&first, "omar").await.map(|written| written.result)
    });
    let err = outcome.expect_err("a conflict");
    assert_eq!(err.kind(), "conflict");
    let text = err.to_string();
    assert!(text.contains("`huda` made it 1 first (add service w/s)"), "{text}");
}
