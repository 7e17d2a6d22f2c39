//! Claims on calls that must not be retried, tested against a platform that loses answers.

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

/// Lets all daemons claim their keys concurrently, each one batch after another, and returns the
/// daemons that each key was granted to.
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
                let won = keys
                    .iter()
                    .zip(answers)
                    .filter(|(_, response)| *response == ClaimResponse::Granted);
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
    let release: &'static [ClaimRequest] = Box::leak(Box::new([ClaimRequest::Release(one)]));
    let complete: &'static [ClaimRequest] =
        Box::leak(Box::new([ClaimRequest::Complete(one, Outcome::Ran)]));
    let cases = [
        Case {
            name: "a claim held by another writer is already claimed",
            before: &[],
            by_holder: true,
            expected: |response| matches!(response, ClaimResponse::AlreadyClaimed(claim) if claim.outcome.is_none()),
        },
        Case {
            name: "a claim released by its holder can be acquired again",
            before: release,
            by_holder: true,
            expected: |response| *response == ClaimResponse::Granted,
        },
        Case {
            name: "only the holder can release a claim",
            before: release,
            by_holder: false,
            expected: |response| matches!(response, ClaimResponse::AlreadyClaimed(_)),
        },
        Case {
            name: "a completed claim reports its outcome",
            before: complete,
            by_holder: true,
            expected: |response| matches!(response, ClaimResponse::AlreadyClaimed(claim) if claim.outcome == Some(Outcome::Ran)),
        },
        Case {
            name: "only the holder can complete a claim",
            before: complete,
            by_holder: false,
            expected: |response| matches!(response, ClaimResponse::AlreadyClaimed(claim) if claim.outcome.is_none()),
        },
    ];
    for case in cases {
        let holder = write_id(0, 0);
        let other = write_id(1, 0);
        let acquire = [ClaimRequest::Acquire(one)];
        let (record, first) = ClaimRecord::default().apply(&acquire, &holder, 100);
        assert_eq!(first, [ClaimResponse::Granted]);
        let by = if case.by_holder { &holder } else { &other };
        let (record, _) = record.apply(case.before, by, 101);
        let (_, response) = record.apply(&acquire, &other, 102);
        assert!((case.expected)(&response[0]), "{}: {response:?}", case.name);
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
        assert!(answers.iter().all(|response| *response == ClaimResponse::Granted));
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
