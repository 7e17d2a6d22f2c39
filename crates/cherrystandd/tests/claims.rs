//! Claims on calls that must not be repeated, against a platform that loses answers.

mod support;

use std::collections::BTreeMap;

use cherrystand_core::{
    ClaimRecord, ClaimRequest, ClaimResponse, GroupId, IdempotencyKey, Incarnation, NodeId,
    Outcome, WorkspaceId, WriteId,
};
use cherrystand_testkit::{CallFault, FakeKeyValue};
use cherrystandd::ClaimWriter;
use proptest::prelude::*;
use support::run_on_virtual_time as run;

const RECORD: &str = "claims";

fn key(name: &str) -> IdempotencyKey {
    IdempotencyKey::new(&GroupId::new(WorkspaceId::new("w"), "g"), name)
}

fn write_id(node: usize, sequence: u64) -> WriteId {
    WriteId { node: NodeId::new(format!("n{node}")), incarnation: Incarnation(1), sequence }
}

fn fault() -> impl Strategy<Value = CallFault> {
    prop_oneof![
        4 => Just(CallFault::None),
        1 => Just(CallFault::Lost),
        2 => Just(CallFault::AnswerLost),
        2 => Just(CallFault::TakesEffectLater),
        1 => Just(CallFault::RateLimited),
    ]
}

/// Has each daemon claim its keys, a batch at a time, all daemons at once.
async fn claim_all(
    service: &FakeKeyValue,
    daemons: &[Vec<Vec<u8>>],
) -> BTreeMap<IdempotencyKey, Vec<usize>> {
    let mut tasks = tokio::task::JoinSet::new();
    for (node, batches) in daemons.iter().cloned().enumerate() {
        let mut writer = ClaimWriter::new(service.clone(), RECORD.to_owned());
        tasks.spawn_local(async move {
            let mut granted = Vec::new();
            for (number, batch) in batches.into_iter().enumerate() {
                let keys: Vec<IdempotencyKey> =
                    batch.iter().map(|name| key(&name.to_string())).collect();
                let requests: Vec<_> = keys.iter().copied().map(ClaimRequest::Acquire).collect();
                let answers = writer.write(&requests, &write_id(node, number as u64)).await;
                let answers = answers.into_iter().flatten();
                let won =
                    keys.iter().zip(answers).filter(|(_, told)| *told == ClaimResponse::Granted);
                granted.extend(won.map(|(key, _)| *key));
            }
            (node, granted)
        });
    }
    let mut owners: BTreeMap<IdempotencyKey, Vec<usize>> = BTreeMap::new();
    while let Some(done) = tasks.join_next().await {
        let (node, granted) = done.expect("a daemon");
        for key in granted {
            owners.entry(key).or_default().push(node);
        }
    }
    owners
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_call_is_granted_twice(
        faults in prop::collection::vec(fault(), 0..30),
        daemons in prop::collection::vec(
            prop::collection::vec(prop::collection::vec(0_u8..6, 1..4), 1..4), 1..4),
    ) {
        let service = FakeKeyValue::with_faults(faults);
        let owners = run(claim_all(&service, &daemons));
        for (key, nodes) in owners {
            prop_assert_eq!(nodes.len(), 1, "{:?} was granted to {:?}", key, nodes);
        }
    }
}

#[test]
fn what_becomes_of_a_claim() {
    struct Case {
        name: &'static str,
        before: &'static [ClaimRequest],
        by_holder: bool,
        expected: fn(&ClaimResponse) -> bool,
    }
    let one = key("one");
    let give_up: &'static [ClaimRequest] = Box::leak(Box::new([ClaimRequest::Release(one)]));
    let ran: &'static [ClaimRequest] =
        Box::leak(Box::new([ClaimRequest::Complete(one, Outcome::Ran)]));
    let cases = [
        Case {
            name: "held by another life it is taken",
            before: &[],
            by_holder: true,
            expected: |told| matches!(told, ClaimResponse::AlreadyClaimed(claim) if claim.outcome.is_none()),
        },
        Case {
            name: "given up by its holder it can be had again",
            before: give_up,
            by_holder: true,
            expected: |told| *told == ClaimResponse::Granted,
        },
        Case {
            name: "only its holder can give it up",
            before: give_up,
            by_holder: false,
            expected: |told| matches!(told, ClaimResponse::AlreadyClaimed(_)),
        },
        Case {
            name: "once run it tells so",
            before: ran,
            by_holder: true,
            expected: |told| matches!(told, ClaimResponse::AlreadyClaimed(claim) if claim.outcome == Some(Outcome::Ran)),
        },
        Case {
            name: "only its holder can say that it ran",
            before: ran,
            by_holder: false,
            expected: |told| matches!(told, ClaimResponse::AlreadyClaimed(claim) if claim.outcome.is_none()),
        },
    ];
    for case in cases {
        let holder = write_id(0, 0);
        let other = write_id(1, 0);
        let take = [ClaimRequest::Acquire(one)];
        let (record, first) = ClaimRecord::default().apply(&take, &holder, 100);
        assert_eq!(first, [ClaimResponse::Granted]);
        let by = if case.by_holder { &holder } else { &other };
        let (record, _) = record.apply(case.before, by, 101);
        let (_, told) = record.apply(&take, &other, 102);
        assert!((case.expected)(&told[0]), "{}: {told:?}", case.name);
    }
}

#[test]
fn a_batch_costs_one_write_however_many_calls_it_holds() {
    struct Case {
        calls: usize,
        platform_calls: u64,
    }
    let cases = [
        Case { calls: 1, platform_calls: 1 },
        Case { calls: 100, platform_calls: 1 },
        Case { calls: 1_000, platform_calls: 1 },
    ];
    for case in cases {
        let service = FakeKeyValue::default();
        let mut writer = ClaimWriter::new(service.clone(), RECORD.to_owned());
        let requests: Vec<_> =
            (0..case.calls).map(|number| ClaimRequest::Acquire(key(&number.to_string()))).collect();
        let answers = run(writer.write(&requests, &write_id(0, 0))).expect("an answer");
        assert!(answers.iter().all(|told| *told == ClaimResponse::Granted));
        assert_eq!(service.calls(), case.platform_calls, "{} calls", case.calls);
    }
}

#[test]
fn a_full_shard_of_claims_fits_the_platforms_values() {
    let requests: Vec<_> = (0..cherrystand_core::MAX_CLAIMS + 1)
        .map(|number| ClaimRequest::Acquire(key(&number.to_string())))
        .collect();
    let id = WriteId {
        node: NodeId::new("entry-with-a-long-name-of-its-own"),
        incarnation: Incarnation(1_800_000_000_000),
        sequence: 0,
    };
    let (record, answers) = ClaimRecord::default().apply(&requests, &id, 1_800_000_000);
    assert_eq!(answers.last(), Some(&ClaimResponse::ShardFull));
    let bytes = serde_json::to_string(&record).expect("JSON").len();
    assert!(bytes <= cherrystand_platform::MAX_VALUE_BYTES, "{bytes} bytes");
}

#[test]
fn a_claim_whose_answer_was_lost_is_found_by_reading() {
    struct Case {
        faults: &'static [CallFault],
        calls: u64,
    }
    let cases = [
        Case { faults: &[CallFault::Lost], calls: 2 },
        Case { faults: &[CallFault::AnswerLost], calls: 3 },
        Case { faults: &[CallFault::TakesEffectLater, CallFault::Lost], calls: 4 },
        Case { faults: &[CallFault::RateLimited], calls: 2 },
    ];
    for case in cases {
        let service = FakeKeyValue::with_faults(case.faults.iter().copied());
        let mut writer = ClaimWriter::new(service.clone(), RECORD.to_owned());
        let request = [ClaimRequest::Acquire(key("one"))];
        let answers = run(writer.write(&request, &write_id(0, 0)));
        assert_eq!(answers, Some(vec![ClaimResponse::Granted]), "{:?}", case.faults);
        assert_eq!(service.calls(), case.calls, "{:?}", case.faults);
    }
}
