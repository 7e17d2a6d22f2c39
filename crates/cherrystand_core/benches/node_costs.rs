//! The time a daemon spends on peers and boxes as both grow, in microseconds.
//!
//! Each line is an operation that every daemon of a large deployment does many times a second.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use cherrystand_core::{
    BoxId, BoxStart, CallerLimits, Digest, DomainId, EndpointLoad, EngineSpec, Epoch, Heartbeat,
    Incarnation, Member, MemberState, Membership, Millis, ModelSpec, NodeId, PeerLoads, RouteTable,
    Service, ServiceName, SiteBox, SiteConfig, SiteView, ZoneId,
};

/// The size of a deployment.
struct Size {
    nodes: usize,
    boxes: usize,
}

const SIZES: [Size; 3] = [
    Size { nodes: 60, boxes: 225 },
    Size { nodes: 295, boxes: 1_107 },
    Size { nodes: 1_000, boxes: 5_000 },
];

/// The number of availability zones.
const ZONES: usize = 5;

/// The number of boxes per replica.
const SPAN: usize = 8;

/// The number of endpoints at which one daemon has requests in flight.
const BUSY_ENDPOINTS: usize = 5;

/// How often each measurement is repeated.
const ROUNDS: u32 = 50;

fn main() {
    for size in &SIZES {
        println!("{} daemons, {} boxes", size.nodes, size.boxes);
        members(size);
        loads(size);
        view(size);
    }
}

fn report(what: &str, mut work: impl FnMut()) {
    work();
    let began = Instant::now();
    for _ in 0..ROUNDS {
        work();
    }
    let each = began.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS);
    println!("  {what}: {each:.1} us");
}

fn zone(number: usize) -> ZoneId {
    ZoneId::new(format!("hall-{}", number % ZONES))
}

fn heartbeat(number: usize, beat: u64) -> Heartbeat {
    Heartbeat {
        node: NodeId::new(format!("edge-hall-{}-{number:04}", number % ZONES)),
        incarnation: Incarnation(1_800_000_000_000),
        beat,
        zone: zone(number),
        address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 7_433).into(),
        serving: true,
        decides: true,
        changes: None,
        link_mbps: 20,
        config: u64::MAX / 3,
    }
}

fn members(size: &Size) {
    let mut sender = Membership::new(heartbeat(0, 1), Millis(0));
    let mut receiver = Membership::new(heartbeat(1, 1), Millis(0));
    for number in 2..size.nodes {
        sender.merge_heartbeat(heartbeat(number, 1), Millis(0), Millis(0));
    }
    let mut beat = 1;
    report("a list of members sent and merged", || {
        beat += 1;
        for number in 2..size.nodes {
            sender.merge_heartbeat(heartbeat(number, beat), Millis(0), Millis(0));
        }
        let digest = sender.digest(Millis(10));
        for (heartbeat, age) in digest {
            receiver.merge_heartbeat(heartbeat, age, Millis(10));
        }
    });
    let mut known = Membership::new(heartbeat(0, 1), Millis(0));
    let mut following = Membership::new(heartbeat(1, 1), Millis(0));
    for members in [&mut known, &mut following] {
        for number in 0..size.nodes {
            members.merge_heartbeat(heartbeat(number, 1), Millis(0), Millis(0));
        }
    }
    report("the beats of members sent and merged", || {
        let digest = known.digest_for(following.roster(Millis(10)), Millis(10));
        assert!(matches!(digest, Digest::Beats { .. }));
        following.merge_digest(digest, Millis(0), Millis(10));
    });
    report("members published", || {
        let all = receiver.all(Millis(10)).into_iter();
        black_box(all.map(|(beat, _)| beat.clone()).collect::<Vec<Heartbeat>>());
    });
}

fn busy(node: usize, replicas: usize) -> Vec<EndpointLoad> {
    let at = (0..BUSY_ENDPOINTS).map(|turn| EndpointLoad {
        id: BoxId::new(format!("i-{:08x}", (node * 7 + turn * 13) % replicas)),
        requests: 2,
        unread: 900,
        silent_ms: 40,
    });
    at.collect()
}

fn loads(size: &Size) {
    let mut book = PeerLoads::default();
    let replicas = size.boxes / SPAN;
    let near = (0..size.nodes).filter(|number| number % ZONES == 0);
    let near: Vec<usize> = near.collect();
    for number in &near {
        let reported = busy(*number, replicas);
        book.record_node(heartbeat(*number, 1).node, zone(0), reported, Millis(0));
    }
    let mut turn = 0;
    report("a peer's loads recorded", || {
        turn += 1;
        let number = near[turn % near.len()];
        let reported = busy(number, replicas);
        book.record_node(heartbeat(number, 1).node, zone(0), reported, Millis(0));
    });
    report("a peer's loads recorded and summed", || {
        turn += 1;
        let number = near[turn % near.len()];
        let reported = busy(number, replicas);
        book.record_node(heartbeat(number, 1).node, zone(0), reported, Millis(0));
        black_box(book.totals());
    });
}

fn engine() -> EngineSpec {
    EngineSpec {
        slots: 22,
        steps_per_pass: 11,
        step_ms: 5.95,
        per_request_ms: 0.0445,
        context_ms_per_k: 0.008,
        prefill_chunk: 2_048,
        prefill_tokens_per_s: 50_700.0,
        attention_ms_per_m_pairs: 0.368,
        cross_domain_factor: 2.5,
        formation_time: Millis(300),
        loads_per_s: 10.0,
        loads_at_once: 20,
        typical_prompt_tokens: 900.0,
        typical_answer_tokens: 200.0,
        models: vec![ModelSpec {
            name: "m1".to_owned(),
            span: SPAN as u32,
            time_factor: 0.6,
            load_time: Millis(12_000),
            host_load_time: Millis(1_100),
            work_share: 1.0,
        }],
    }
}

fn open_box(number: usize) -> SiteBox {
    let replica = number / SPAN;
    let rank = (number % SPAN) as u32;
    let state = if rank == 0 { MemberState::Open } else { MemberState::Ready };
    let address: SocketAddr = ([10, 1, (number / 250) as u8, (number % 250) as u8], 8_000).into();
    SiteBox {
        id: BoxId::new(format!("i-{number:08x}")),
        start: BoxStart::Unreported,
        orders_taken: 0,
        service: ServiceName::new("captions"),
        address,
        zone: zone(number / 73),
        slots: 22,
        leaving: false,
        cold_remaining: None,
        domain: Some(DomainId::new(format!("d{}", number / 73))),
        staged: vec!["m1".to_owned()],
        loaded: vec!["m1".to_owned()],
        member: Some(Member {
            replica: format!("d{}.m1.{replica}", number / 73),
            epoch: Epoch(1),
            rank,
            state,
        }),
    }
}

fn view(size: &Size) {
    let service = Service {
        name: ServiceName::new("captions"),
        engine: Some(engine()),
        connections: None,
        cold: None,
    };
    let limits = CallerLimits { header_bytes: 8_192, body_bytes: 1 << 20 };
    let config = SiteConfig {
        version: 1,
        routes: Vec::new(),
        services: vec![service],
        limits,
        tenants: None,
    };
    let boxes = (0..size.boxes).map(open_box);
    let boxes: BTreeMap<BoxId, Arc<SiteBox>> =
        boxes.map(|known| (known.id.clone(), Arc::new(known))).collect();
    let view = SiteView {
        routes: Some(Arc::new(RouteTable::new(config))),
        boxes: Arc::new(boxes.clone()),
        silent: BTreeSet::new(),
        dead: BTreeSet::new(),
        assigned: Arc::default(),
        suspects: Arc::default(),
        evacuated: Arc::default(),
        cold: Arc::default(),
        boxes_listed: true,
        live_nodes: size.nodes,
    };
    report("all boxes published", || {
        black_box(boxes.clone());
    });
    report("the endpoints in service", || {
        black_box(view.targets(&zone(0), &BTreeMap::new()));
    });
}
