//! Which replicas may go out of service, and which a domain keeps.

mod support;

use cherrystand_core::{
    Assignment, DomainId, DomainRecord, Epoch, FormedReplicas, GroupId, Millis, Phase, ReadySince,
    ReplicaId, SETTLED_AFTER, ServingState, Slot, WorkspaceConfig, WorkspaceId, WorkspaceRecord,
    desired_in_domain, may_reload,
};

fn slot_of(number: u32) -> ReplicaId {
    ReplicaId::new(GroupId::new(WorkspaceId::new("w"), "g"), number)
}

/// One formed replica: its domain, slot, phase and version.
type Have = (&'static str, u32, Phase, &'static str);

fn formed(have: &[Have]) -> FormedReplicas {
    let records: Vec<DomainRecord> = have
        .iter()
        .map(|(domain, slot, phase, version)| {
            let mut record = DomainRecord::empty(DomainId::new(*domain));
            let assignment = Assignment {
                epoch: Epoch(1),
                boxes: vec![support::box_id(0), support::box_id(1)],
                load: support::load(version),
                phase: *phase,
            };
            record.replicas.insert(slot_of(*slot), assignment);
            record
        })
        .collect();
    FormedReplicas::new(&records)
}

/// The time of all decisions here.
const NOW: Millis = Millis(100_000);

/// Returns that all that is ready has been so for just long enough.
fn settled(formed: &FormedReplicas) -> ReadySince {
    let mut settling = ReadySince::default();
    settling.observe(formed, NOW - SETTLED_AFTER);
    settling
}

fn in_service<'a>(formed: &'a FormedReplicas, settling: &'a ReadySince) -> ServingState<'a> {
    ServingState { formed, settling, now: NOW }
}

fn config(replicas: u32, version: &str, floor: u32) -> WorkspaceConfig {
    let text = format!(
        "workspace = \"w\"\n[[model]]\nname = \"g\"\nmodel = \"m\"\nversion = \"{version}\"\n\
         replicas = {replicas}\nboxes_per_replica = 2\nfloor = {floor}\n"
    );
    WorkspaceConfig::from_toml(&text).expect("a sound configuration")
}

#[test]
fn slots_reload_one_after_the_other_above_the_floor() {
    struct Case {
        name: &'static str,
        have: &'static [Have],
        floor: u32,
        /// The slots that may reload from version 1 to 2.
        may: &'static [u32],
    }
    const READY: Phase = Phase::Ready;
    let cases = [
        Case {
            name: "the first goes first, wherever the others are",
            have: &[("a", 0, READY, "1"), ("b", 1, READY, "1"), ("c", 2, READY, "1")],
            floor: 2,
            may: &[0],
        },
        Case {
            name: "the second goes once the first serves the new load",
            have: &[("a", 0, READY, "2"), ("b", 1, READY, "1"), ("c", 2, READY, "1")],
            floor: 2,
            may: &[0, 1],
        },
        Case {
            name: "nobody goes while the first is out",
            have: &[("a", 0, Phase::Loading, "2"), ("b", 1, READY, "1"), ("c", 2, READY, "1")],
            floor: 2,
            may: &[],
        },
        Case {
            name: "a replica that fails to come back halts the rest",
            have: &[("a", 0, Phase::Broken, "2"), ("b", 1, READY, "1"), ("c", 2, READY, "1")],
            floor: 1,
            may: &[0],
        },
        Case {
            name: "a loss elsewhere that leaves only the floor halts it too",
            have: &[("a", 0, READY, "1"), ("b", 1, Phase::Broken, "1"), ("c", 2, READY, "1")],
            floor: 2,
            may: &[],
        },
    ];
    for case in cases {
        let config = config(3, "2", case.floor);
        let formed = formed(case.have);
        let settled = settled(&formed);
        let may: Vec<u32> = (0..3)
            .filter(|slot| {
                let service = in_service(&formed, &settled);
                may_reload(&config.models[0], &slot_of(*slot), service)
            })
            .collect();
        assert_eq!(may, case.may, "{}", case.name);
    }
}

#[test]
fn a_replica_that_moves_stays_until_it_is_ready_where_it_goes() {
    struct Case {
        name: &'static str,
        have: &'static [Have],
        /// Whether the domains "old" and "new" should have the replica.
        expected: (bool, bool),
    }
    let cases = [
        Case {
            name: "before it is formed",
            have: &[("old", 0, Phase::Ready, "1")],
            expected: (true, true),
        },
        Case {
            name: "while it loads",
            have: &[("old", 0, Phase::Ready, "1"), ("new", 0, Phase::Loading, "1")],
            expected: (true, true),
        },
        Case {
            name: "once it is ready",
            have: &[("old", 0, Phase::Ready, "1"), ("new", 0, Phase::Ready, "1")],
            expected: (false, true),
        },
        Case { name: "where it never was", have: &[], expected: (false, true) },
    ];
    for case in cases {
        let mut workspace = WorkspaceRecord::empty(WorkspaceId::new("w"));
        workspace.config = config(1, "1", 0);
        workspace.slots =
            vec![Slot { replica: slot_of(0), domain: DomainId::new("new"), planned: Vec::new() }];
        let formed = formed(case.have);
        let settled = settled(&formed);
        let wants = |domain| {
            let desired = desired_in_domain(
                &workspace,
                &DomainId::new(domain),
                in_service(&formed, &settled),
            );
            !desired.is_empty()
        };
        assert_eq!((wants("old"), wants("new")), case.expected, "{}", case.name);
    }
}

#[test]
fn a_replica_that_has_just_become_ready_does_not_count_yet() {
    let formed = formed(&[("a", 0, Phase::Ready, "2"), ("b", 1, Phase::Ready, "1")]);
    struct Case {
        ready_for: Millis,
        second_may: bool,
    }
    let cases = [
        Case { ready_for: SETTLED_AFTER, second_may: true },
        Case { ready_for: SETTLED_AFTER - Millis(1), second_may: false },
    ];
    for case in cases {
        let mut settling = ReadySince::default();
        settling.observe(&formed, NOW - case.ready_for);
        settling.observe(&formed, NOW);
        let service = in_service(&formed, &settling);
        let may = may_reload(&config(2, "2", 1).models[0], &slot_of(1), service);
        assert_eq!(may, case.second_may, "{:?}", case.ready_for);
    }
}
