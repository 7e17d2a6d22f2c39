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

/// One formed replica: domain, slot, phase and version.
type Replica = (&'static str, u32, Phase, &'static str);

fn formed(replicas: &[Replica]) -> FormedReplicas {
    let records: Vec<DomainRecord> = replicas
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

/// The time of all decisions in these tests.
const NOW: Millis = Millis(100_000);

/// Returns a state in which all ready replicas have been ready for exactly [`SETTLED_AFTER`].
fn settled(formed: &FormedReplicas) -> ReadySince {
    let mut ready_since = ReadySince::default();
    ready_since.observe(formed, NOW - SETTLED_AFTER);
    ready_since
}

fn serving_state<'a>(formed: &'a FormedReplicas, ready_since: &'a ReadySince) -> ServingState<'a> {
    ServingState { formed, ready_since, now: NOW }
}

fn config(replicas: u32, version: &str, floor: u32) -> WorkspaceConfig {
    let text = format!(
        "workspace = \"w\"\n[[model]]\nname = \"g\"\nmodel = \"m\"\nversion = \"{version}\"\n\
         replicas = {replicas}\nboxes_per_replica = 2\nfloor = {floor}\n"
    );
    WorkspaceConfig::from_toml(&text).expect("a valid configuration")
}

#[test]
fn slots_reload_one_by_one_above_the_floor() {
    struct Case {
        name: &'static str,
        formed: &'static [Replica],
        floor: u32,
        /// The slots that may reload from version 1 to 2.
        may_reload: &'static [u32],
    }
    const READY: Phase = Phase::Ready;
    let cases = [
        Case {
            name: "the first slot reloads first, whichever domains the others are in",
            formed: &[("a", 0, READY, "1"), ("b", 1, READY, "1"), ("c", 2, READY, "1")],
            floor: 2,
            may_reload: &[0],
        },
        Case {
            name: "the second slot reloads once the first serves the new load",
            formed: &[("a", 0, READY, "2"), ("b", 1, READY, "1"), ("c", 2, READY, "1")],
            floor: 2,
            may_reload: &[0, 1],
        },
        Case {
            name: "no slot reloads while the first is out of service",
            formed: &[("a", 0, Phase::Loading, "2"), ("b", 1, READY, "1"), ("c", 2, READY, "1")],
            floor: 2,
            may_reload: &[],
        },
        Case {
            name: "a replica that fails to come back halts the rest",
            formed: &[("a", 0, Phase::Broken, "2"), ("b", 1, READY, "1"), ("c", 2, READY, "1")],
            floor: 1,
            may_reload: &[0],
        },
        Case {
            name: "a lost replica that leaves only the floor halts the rollout too",
            formed: &[("a", 0, READY, "1"), ("b", 1, Phase::Broken, "1"), ("c", 2, READY, "1")],
            floor: 2,
            may_reload: &[],
        },
    ];
    for case in cases {
        let config = config(3, "2", case.floor);
        let formed = formed(case.formed);
        let ready_since = settled(&formed);
        let may: Vec<u32> = (0..3)
            .filter(|slot| {
                let service = serving_state(&formed, &ready_since);
                may_reload(&config.models[0], &slot_of(*slot), service)
            })
            .collect();
        assert_eq!(may, case.may_reload, "{}", case.name);
    }
}

#[test]
fn a_moving_replica_stays_until_it_is_ready_in_its_new_domain() {
    struct Case {
        name: &'static str,
        formed: &'static [Replica],
        /// Whether the domains "old" and "new" should have the replica.
        expected: (bool, bool),
    }
    let cases = [
        Case {
            name: "before it is formed",
            formed: &[("old", 0, Phase::Ready, "1")],
            expected: (true, true),
        },
        Case {
            name: "while it loads",
            formed: &[("old", 0, Phase::Ready, "1"), ("new", 0, Phase::Loading, "1")],
            expected: (true, true),
        },
        Case {
            name: "once it is ready",
            formed: &[("old", 0, Phase::Ready, "1"), ("new", 0, Phase::Ready, "1")],
            expected: (false, true),
        },
        Case { name: "not formed in the old domain", formed: &[], expected: (false, true) },
    ];
    for case in cases {
        let mut workspace = WorkspaceRecord::empty(WorkspaceId::new("w"));
        workspace.config = config(1, "1", 0);
        workspace.slots =
            vec![Slot { replica: slot_of(0), domain: DomainId::new("new"), planned: Vec::new() }];
        let formed = formed(case.formed);
        let ready_since = settled(&formed);
        let is_desired_in = |domain| {
            let desired = desired_in_domain(
                &workspace,
                &DomainId::new(domain),
                serving_state(&formed, &ready_since),
            );
            !desired.is_empty()
        };
        assert_eq!((is_desired_in("old"), is_desired_in("new")), case.expected, "{}", case.name);
    }
}

#[test]
fn a_replica_counts_as_ready_only_after_a_delay() {
    let formed = formed(&[("a", 0, Phase::Ready, "2"), ("b", 1, Phase::Ready, "1")]);
    struct Case {
        ready_for: Millis,
        second_may_reload: bool,
    }
    let cases = [
        Case { ready_for: SETTLED_AFTER, second_may_reload: true },
        Case { ready_for: SETTLED_AFTER - Millis(1), second_may_reload: false },
    ];
    for case in cases {
        let mut ready_since = ReadySince::default();
        ready_since.observe(&formed, NOW - case.ready_for);
        ready_since.observe(&formed, NOW);
        let service = serving_state(&formed, &ready_since);
        let may = may_reload(&config(2, "2", 1).models[0], &slot_of(1), service);
        assert_eq!(may, case.second_may_reload, "{:?}", case.ready_for);
    }
}
