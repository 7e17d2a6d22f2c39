//! What several areas of tests build from.
#![allow(dead_code, reason = "each area uses its own part")]

use cherrystand_core::{
    BoxId, Desired, GroupId, LoadSpec, Millis, RepairPolicy, ReplicaId, WorkspaceId,
};
use cherrystand_testkit::{DomainSetup, FakeDomain};

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

pub(crate) fn desired(slot: u32, span: u32, version: &str) -> Desired {
    Desired {
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

/// Returns a domain in which `replicas` replicas of `span` boxes serve.
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
        assert!(domain.is_whole(&replica(slot)), "replica {slot}: {:?}", domain.record);
    }
    domain.losses = Default::default();
    domain
}
