//! Builders shared by several test files.
#![allow(dead_code, reason = "each test file uses its own part")]

use cherrystand_core::{
    BoxId, BoxStart, DesiredReplica, EngineSpec, GroupId, Heartbeat, Incarnation, LoadSpec, Millis,
    ModelSpec, NodeId, RepairPolicy, ReplicaId, ServiceName, SiteBox, WorkspaceId, ZoneId,
};
use cherrystand_testkit::{DomainSetup, FakeDomain};

/// The heartbeat of a daemon that serves and controls, and shares no changes of the store.
pub(crate) fn heartbeat(number: usize, zone: &str) -> Heartbeat {
    Heartbeat {
        node: NodeId::new(format!("n{number}")),
        incarnation: Incarnation(1),
        beat: 1,
        zone: ZoneId::new(zone),
        address: ([127, 0, 0, 1], 1).into(),
        link_mbps: 0,
        serving: true,
        decides: true,
        changes: None,
        config: 0,
    }
}

/// A box of a service that reports nothing else about itself.
pub(crate) fn site_box(id: &str, service: &str) -> SiteBox {
    SiteBox {
        id: BoxId::new(id),
        start: BoxStart::Unreported,
        orders_taken: 0,
        service: ServiceName::new(service),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: ZoneId::new("z1"),
        slots: 8,
        leaving: false,
        cold_remaining: None,
        domain: None,
        staged: Vec::new(),
        loaded: Vec::new(),
        member: None,
    }
}

pub(crate) fn box_id(number: u32) -> BoxId {
    BoxId::new(format!("b{number:02}"))
}

pub(crate) fn replica(slot: u32) -> ReplicaId {
    ReplicaId::new(GroupId::new(WorkspaceId::new("w"), "g"), slot)
}

pub(crate) fn load(version: &str) -> LoadSpec {
    LoadSpec {
        model: "m".to_owned(),
        version: version.to_owned(),
        adapters: Vec::new(),
        role: "serve".to_owned(),
    }
}

pub(crate) fn desired(slot: u32, span: u32, version: &str) -> DesiredReplica {
    DesiredReplica {
        replica: replica(slot),
        load: load(version),
        span,
        planned: Vec::new(),
        may_reload: true,
        downtime_weight: 1.0,
        stranded_weight: 1.0,
    }
}

pub(crate) fn quick_policy() -> RepairPolicy {
    RepairPolicy { load_secs: 4.0, rejoin_secs: 0.5, ..RepairPolicy::default() }
}

/// Returns a domain with `replicas` serving replicas of `span` boxes.
pub(crate) fn formed(
    setup: DomainSetup,
    policy: RepairPolicy,
    replicas: u32,
    span: u32,
) -> FakeDomain {
    let mut domain = FakeDomain::new(setup, &[policy]);
    domain.desired = (0..replicas).map(|slot| desired(slot, span, "1")).collect();
    domain.run_for(Millis(240_000));
    for slot in 0..replicas {
        assert!(domain.is_serving(&replica(slot)), "replica {slot}: {:?}", domain.record);
    }
    domain.losses = Default::default();
    domain
}

/// A model that loads in 16 s, or in 1.6 s from its box's host.
pub(crate) fn site_model(name: &str, span: u32, share: f64) -> ModelSpec {
    ModelSpec {
        name: name.to_owned(),
        span,
        time_factor: 1.0,
        work_share: share,
        load_time: Millis(16_000),
        host_load_time: Millis(1_600),
    }
}

/// An engine with two models.
pub(crate) fn site_engine() -> EngineSpec {
    EngineSpec {
        slots: 26,
        steps_per_pass: 7,
        step_ms: 6.0,
        per_request_ms: 0.04,
        context_ms_per_k: 0.01,
        prefill_chunk: 2_048,
        prefill_tokens_per_s: 50_000.0,
        attention_ms_per_m_pairs: 0.4,
        cross_domain_factor: 2.5,
        formation_time: Millis(300),
        loads_per_s: 4.5,
        loads_at_once: 6,
        typical_prompt_tokens: 1_000.0,
        typical_answer_tokens: 180.0,
        models: vec![site_model("large", 4, 0.57), site_model("small", 3, 0.43)],
    }
}
