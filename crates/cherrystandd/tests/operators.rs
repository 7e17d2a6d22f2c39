//! Operators who race, over a platform that loses answers.

mod support;

use cherrystand_core::{
    BoxesByReplica, Fleet, Generation, Incarnation, NodeId, PlanId, WorkspaceConfig,
    WorkspaceRecord, WriteId,
};
use cherrystand_testkit::{CallFault, FakeKeyValue};
use cherrystandd::{OperatorError, WorkspaceChange};
use proptest::prelude::*;
use support::run_on_virtual_time as run;

const RECORD: &str = "cherrystand/shared/workspace/w";

fn config(number: u32) -> WorkspaceConfig {
    let text = format!(
        "workspace = \"w\"\n[[service]]\nname = \"s\"\npath_prefix = \"/s\"\nconcurrency = {}\n\
         endpoints = [{{ zone = \"z\", address = \"127.0.0.1:9\" }}]\n",
        number + 1
    );
    WorkspaceConfig::from_toml(&text).expect("a sound configuration")
}

fn fault() -> impl Strategy<Value = CallFault> {
    prop_oneof![
        6 => Just(CallFault::None),
        1 => Just(CallFault::Lost),
        2 => Just(CallFault::AnswerLost),
        2 => Just(CallFault::TakesEffectLater),
    ]
}

/// What an operator was told of one change.
#[derive(Debug)]
enum Told {
    Accepted(PlanId, Generation),
    NotDone(PlanId),
    MayBeDone,
}

async fn change(service: &FakeKeyValue, operator: usize, number: u64) -> Told {
    let (fleet, held) = (Fleet::default(), BoxesByReplica::new());
    let write = |sequence| WriteId {
        node: NodeId::new(format!("n{operator}")),
        incarnation: Incarnation(1),
        sequence,
    };
    let make = |sequence| WorkspaceChange {
        store: service,
        write_id: write(sequence),
        fleet: &fleet,
        current_boxes: &held,
    };
    let wanted = config(operator as u32 * 100 + number as u32);
    let Ok(planned) = make(number * 2).plan(wanted).await else {
        return Told::MayBeDone;
    };
    let id = planned.result.id;
    match make(number * 2 + 1).confirm(&id, &format!("operator-{operator}")).await {
        Ok(written) => Told::Accepted(id, written.result.generation),
        Err(OperatorError::Confirm(_)) => Told::NotDone(id),
        Err(_) => Told::MayBeDone,
    }
}

async fn race(service: &FakeKeyValue, operators: usize, changes: u64) -> Vec<Told> {
    let mut tasks = tokio::task::JoinSet::new();
    for operator in 0..operators {
        let service = service.clone();
        tasks.spawn_local(async move {
            let mut told = Vec::new();
            for number in 0..changes {
                told.push(change(&service, operator, number).await);
            }
            told
        });
    }
    tasks.join_all().await.into_iter().flatten().collect()
}

fn stored(service: &FakeKeyValue) -> Option<WorkspaceRecord> {
    let text = service.peek(RECORD)?;
    Some(serde_json::from_str(&text).expect("a record"))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn what_operators_are_told_is_what_happened(
        faults in prop::collection::vec(fault(), 0..40),
        operators in 1_usize..4,
        changes in 1_u64..4,
    ) {
        let service = FakeKeyValue::with_faults(faults);
        let told = run(race(&service, operators, changes));
        let Some(record) = stored(&service) else {
            prop_assert!(told.iter().all(|told| !matches!(told, Told::Accepted(..))));
            return Ok(());
        };
        let history: Vec<_> = record.history.iter().map(|past| past.generation.0).collect();
        let expected: Vec<u64> = (1..=record.generation.0).collect();
        prop_assert_eq!(history, expected, "generations do not follow each other");
        for told in &told {
            match told {
                Told::Accepted(id, generation) => {
                    let found = record.history.iter().filter(|past| &past.plan == id);
                    let found: Vec<_> = found.map(|past| past.generation).collect();
                    prop_assert_eq!(found, vec![*generation], "{} was accepted otherwise", id);
                }
                Told::NotDone(id) => {
                    let found = record.history.iter().any(|past| &past.plan == id);
                    prop_assert!(!found, "{} was refused and is in force", id);
                }
                Told::MayBeDone => {}
            }
        }
    }
}

#[test]
fn of_two_who_race_one_wins_and_the_other_is_told_who() {
    let service = FakeKeyValue::default();
    let (fleet, held) = (Fleet::default(), BoxesByReplica::new());
    let make = |sequence| WorkspaceChange {
        store: &service,
        write_id: WriteId { node: NodeId::new("n"), incarnation: Incarnation(1), sequence },
        fleet: &fleet,
        current_boxes: &held,
    };
    let outcome = run(async {
        let first = make(0).plan(config(1)).await.expect("a plan").result.id;
        let second = make(1).plan(config(2)).await.expect("a plan").result.id;
        make(2).confirm(&second, "huda").await.expect("accepted");
        make(3).confirm(&first, "omar").await.map(|written| written.result)
    });
    let err = outcome.expect_err("a conflict");
    assert_eq!(err.kind(), "conflict");
    let text = err.to_string();
    assert!(text.contains("`huda` made it 1 first (add service w/s)"), "{text}");
}
