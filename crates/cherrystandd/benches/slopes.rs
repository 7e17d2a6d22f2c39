//! How bytes and computing time grow with the size of the system; docs/CAPACITY.md is calculated
//! from these figures.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use cherrystand_core::{
    Assignment, BoxId, BoxInfo, ChangesSince, Controller, ControllerInput, DesiredReplica, Digest,
    Document, DomainId, DomainRecord, EngineReport, EngineState, Epoch, EvidenceTable, Fleet,
    GroupId, Heartbeat, Incarnation, LoadSpec, Membership, Millis, NodeId, Observation,
    Observations, Phase, RepairPolicy, ReplicaEvidence, ReplicaId, Revision, Slot, WorkspaceId,
    WorkspaceRecord, ZoneId,
};
use cherrystand_peer::{BatchCache, BatchSpan, News, PackedBatch, Reply, encode};

const BOXES_PER_REPLICA: u32 = 8;

fn load() -> LoadSpec {
    LoadSpec {
        model: "captioner-large".to_owned(),
        version: "2026-11-01".to_owned(),
        adapters: Vec::new(),
        role: "serve".to_owned(),
    }
}

fn replica(slot: u32) -> ReplicaId {
    ReplicaId::new(GroupId::new(WorkspaceId::new("photo"), "captions"), slot)
}

fn box_id(number: u32) -> BoxId {
    BoxId::new(format!("hall-1-rack-07-{number:04}"))
}

fn heartbeat(number: usize) -> Heartbeat {
    Heartbeat {
        node: NodeId::new(format!("entry-{number:03}")),
        incarnation: Incarnation(1_800_000_000_000),
        beat: 100_000,
        zone: ZoneId::new("amman-a"),
        address: ([10, 0, 0, 1], 7_433).into(),
        serving: true,
        decides: true,
        changes: None,
        link_mbps: 0,
        config: u64::MAX / 3,
    }
}

fn evidence(slot: u32) -> ReplicaEvidence {
    ReplicaEvidence {
        domain: DomainId::new("hall-1-d07"),
        replica: replica(slot),
        epoch: Epoch(1_234),
        age: Millis(900),
        whole: true,
        load: 20,
    }
}

fn domain(replicas: u32) -> DomainRecord {
    let mut record = DomainRecord::empty(DomainId::new("hall-1-d07"));
    record.last_epoch = Epoch(u64::from(replicas));
    for slot in 0..replicas {
        let assignment = Assignment {
            epoch: Epoch(u64::from(slot) + 1),
            boxes: (slot * BOXES_PER_REPLICA..(slot + 1) * BOXES_PER_REPLICA).map(box_id).collect(),
            load: load(),
            phase: Phase::Ready,
        };
        record.replicas.insert(replica(slot), assignment);
    }
    record
}

fn json_bytes<T: serde::Serialize>(value: &T) -> usize {
    serde_json::to_string(value).map(|text| text.len()).unwrap_or(0)
}

fn average_micros(rounds: u32, mut work: impl FnMut()) -> f64 {
    let started = Instant::now();
    for _ in 0..rounds {
        work();
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

fn news_bytes(members: usize, replicas: u32) -> usize {
    let news = News {
        from: heartbeat(0),
        members: Digest::Whole(
            (0..members).map(|number| (heartbeat(number), Millis(700))).collect(),
        ),
        platform_age: Some(Millis(1_500)),
        fingerprint: u64::MAX / 7,
        evidence: (0..replicas).map(evidence).collect(),
    };
    encode(&Reply::News(news)).map(|bytes| bytes.len()).unwrap_or(0)
}

fn box_entry(number: usize) -> Document {
    Document {
        key: format!("boxes/i-{number:08x}").into(),
        revision: Revision::new(number as u64 + 1),
        body: format!(
            "{{\"service\":\"captions\",\"address\":\"10.1.{}.{}:8000\",\"zone\":\"hall-{}\",\"slots\":22,\
             \"state\":\"ready\",\"stage\":\"colocated\",\"models\":[{{\"name\":\"m1\",\"version\":1,\
             \"adapters\":[]}}],\"domain\":\"d{}\",\"staged\":[\"m1\"],\"group\":{{\"name\":\"d{}.m1.{}\",\
             \"epoch\":{},\"rank\":{},\"state\":\"ready\"}},\"cold_left_ms\":0,\"seq_no\":{}}}",
            number / 250, number % 250, number % 5, number / 73, number / 73, number / 8,
            number / 8, number % 8, number % 13
        )
        .into(),
    }
}

fn measure_change_batches() {
    for count in [30, 1_107, 5_000] {
        let records: Vec<Document> = (0..count).map(box_entry).collect();
        let batch = ChangesSince { records, gone: Vec::new() };
        let packed = PackedBatch::new(&batch).expect("it has an encoding");
        let rounds = 20;
        let pack = average_micros(rounds, || {
            black_box(PackedBatch::new(&batch).is_ok());
        });
        let unpack = average_micros(rounds, || {
            black_box(packed.unpack().is_ok());
        });
        let mut batches = BatchCache::default();
        let span = BatchSpan { after: Some(1), until: 2 };
        let reuse = average_micros(rounds, || {
            black_box(batches.get_or_pack(span, || batch.clone()).is_ok());
        });
        println!(
            "{count} changes: {pack:.1} us to pack, {reuse:.1} us each for {rounds} askers, {unpack:.1} us to unpack"
        );
    }
}

fn measure_bytes() {
    let average = |small: usize, large: usize, count: usize| (large - small) as f64 / count as f64;
    println!(
        "bytes on the wire: {:.1} a heartbeat",
        average(news_bytes(0, 0), news_bytes(100, 0), 100)
    );
    println!(
        "bytes on the wire: {:.1} a replica's evidence",
        average(news_bytes(0, 0), news_bytes(0, 100), 100)
    );
    println!("bytes on the wire: {} for news without either", news_bytes(0, 0));
    let (small, large) = (json_bytes(&domain(10)), json_bytes(&domain(110)));
    println!(
        "bytes in a domain's record: {:.0} a replica of {BOXES_PER_REPLICA} boxes",
        average(small, large, 100)
    );
    let mut workspace = WorkspaceRecord::empty(WorkspaceId::new("photo"));
    let small = json_bytes(&workspace);
    workspace.slots = (0..100)
        .map(|slot| Slot {
            replica: replica(slot),
            domain: DomainId::new("hall-1-d07"),
            planned: (0..BOXES_PER_REPLICA).map(box_id).collect(),
        })
        .collect();
    let large = json_bytes(&workspace);
    println!("bytes in a workspace's record: {:.0} a replica", average(small, large, 100));
    let info = BoxInfo {
        id: box_id(1),
        domain: DomainId::new("hall-1-d07"),
        zone: ZoneId::new("amman-a"),
        address: ([10, 0, 0, 1], 7_200).into(),
        accelerators: 1,
        leaving: false,
        checks_orders: true,
    };
    println!("bytes in the box list: {} a box", json_bytes(&info) + 1);
}

fn controller_step_micros(replicas: u32) -> f64 {
    let record = domain(replicas);
    let boxes = replicas * BOXES_PER_REPLICA;
    let fleet = Fleet::new((0..boxes).map(|number| BoxInfo {
        id: box_id(number),
        domain: record.domain.clone(),
        zone: ZoneId::new("amman-a"),
        address: ([10, 0, 0, 1], 7_200).into(),
        accelerators: 1,
        leaving: false,
        checks_orders: true,
    }));
    let desired: Vec<DesiredReplica> = (0..replicas)
        .map(|slot| DesiredReplica {
            replica: replica(slot),
            load: load(),
            span: BOXES_PER_REPLICA,
            planned: Vec::new(),
            may_reload: false,
            downtime_weight: 1.0,
            stranded_weight: 1.0,
        })
        .collect();
    let mut observations = Observations::new();
    for (slot, assignment) in record.replicas.values().enumerate() {
        for id in &assignment.boxes {
            let report = EngineReport {
                epoch: Epoch(slot as u64 + 1),
                state: EngineState::Ready,
                loaded: Some(load()),
                in_flight: 3,
                waiting: 0,
            };
            observations.insert(
                id.clone(),
                Observation { last_heard: Millis(1_000), report: Some(report) },
            );
        }
    }
    let mut controller = Controller::new(RepairPolicy::default());
    average_micros(50, || {
        let step = controller.step(ControllerInput {
            record: &record,
            desired: &desired,
            fleet: &fleet,
            observations: &observations,
            now: Millis(1_500),
            unix_secs: 1,
        });
        assert!(black_box(step).write.is_none(), "nothing has happened");
    })
}

fn measure_times() {
    for replicas in [4, 16, 64] {
        let micros = controller_step_micros(replicas);
        println!(
            "controller: {micros:.0} us a step with {replicas} replicas, {:.1} us each",
            micros / f64::from(replicas)
        );
    }
    for members in [50, 400] {
        let mut membership = Membership::new(heartbeat(0), Millis(0));
        let mut beat = 0;
        let micros = average_micros(50, || {
            beat += 1;
            for number in 1..members {
                let newer = Heartbeat { beat, ..heartbeat(number) };
                membership.merge_heartbeat(newer, Millis(0), Millis(beat));
            }
        });
        println!(
            "membership: {:.2} us a heartbeat with {members} daemons",
            micros / members as f64
        );
    }
    for replicas in [600, 4_700] {
        let mut table = EvidenceTable::default();
        let mut now = Millis(0);
        let micros = average_micros(20, || {
            now = now + Millis(1_000);
            for slot in 0..replicas {
                table.merge(&ReplicaEvidence { age: Millis(0), ..evidence(slot) }, now);
            }
        });
        println!(
            "evidence: {:.2} us a report with {replicas} replicas",
            micros / f64::from(replicas)
        );
    }
    let body: Arc<str> = Arc::from(serde_json::to_string(&domain(64)).unwrap_or_default());
    let micros = average_micros(50, || {
        let document =
            Document { key: Arc::from("k"), revision: Revision::new(1), body: body.clone() };
        let read: Result<DomainRecord, _> = serde_json::from_str(&document.body);
        assert!(black_box(read).is_ok());
    });
    println!("records: {micros:.0} us to read a domain's record of {} bytes", body.len());
}

fn main() {
    measure_change_batches();
    measure_bytes();
    measure_times();
}
