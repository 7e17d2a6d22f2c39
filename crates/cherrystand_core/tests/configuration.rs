//! Configurations, plans and placement.

use std::collections::{BTreeMap, BTreeSet};

use cherrystand_core::{
    BoxId, BoxInfo, BoxesByReplica, DomainId, Fleet, Incarnation, ModelGroup, NodeId, Placer,
    PlanId, WorkspaceConfig, WorkspaceId, WorkspaceRecord, WriteId, ZoneId, make_plan,
};
use proptest::prelude::*;

/// Creates a fleet from (zone, boxes) per domain.
fn fleet(domains: &[(&str, u32)]) -> Fleet {
    let boxes = domains.iter().enumerate().flat_map(|(number, (zone, count))| {
        (0..*count).map(move |index| BoxInfo {
            id: BoxId::new(format!("d{number}-{index:02}")),
            domain: DomainId::new(format!("d{number}")),
            zone: ZoneId::new(*zone),
            address: ([127, 0, 0, 1], 1).into(),
            accelerators: 1,
            leaving: false,
            checks_orders: true,
        })
    });
    Fleet::new(boxes)
}

fn config(replicas: u32, span: u32, version: &str) -> WorkspaceConfig {
    let text = format!(
        "workspace = \"photo\"\n[[model]]\nname = \"captions\"\nmodel = \"captioner\"\n\
         version = \"{version}\"\nreplicas = {replicas}\nboxes_per_replica = {span}\n"
    );
    WorkspaceConfig::from_toml(&text).expect("a valid configuration")
}

fn write(sequence: u64) -> WriteId {
    WriteId { node: NodeId::new("n"), incarnation: Incarnation(1), sequence }
}

/// Plans a configuration and confirms the plan.
fn confirm(record: &WorkspaceRecord, config: WorkspaceConfig, fleet: &Fleet) -> WorkspaceRecord {
    let id = PlanId::new(format!("photo.{}", record.generation));
    let plan =
        make_plan(id.clone(), record, config, fleet, &BoxesByReplica::new()).expect("a plan");
    let planned = record.clone().with_plan(plan, write(0));
    planned.confirm(&id, "huda", 0, write(1)).expect("accepted")
}

#[test]
fn faults_in_a_configuration_name_the_key_the_line_and_what_is_allowed() {
    let model = "workspace = \"w\"\n[[model]]\nname = \"g\"\nmodel = \"m\"\nversion = \"1\"\n";
    let service = "workspace = \"w\"\n[[service]]\nname = \"s\"\n";
    let cases = [
        "workspace = \"w\"\nwat = 1\n".to_owned(),
        "workspace = 3\n".to_owned(),
        "workspace = \"a b\"\n".to_owned(),
        "workspace = \n".to_owned(),
        format!("{model}replicas = 1\n"),
        format!("{model}replicas = -1\nboxes_per_replica = 2\n"),
        format!("{model}replicas = 1\nboxes_per_replica = 33\n"),
        format!("{model}replicas = 1\nboxes_per_replica = 0\n"),
        format!("{model}replicas = 1\nboxes_per_replica = 2\nfloor = 2\n"),
        format!("{model}replicas = 1\nboxes_per_replica = 2\ndowntime_weight = -1.0\n"),
        format!("{model}replicas = 1\nboxes_per_replica = 2\nclass = \"urgent\"\n"),
        format!("{service}path_prefix = \"/v1/x\"\nendpoints = []\n"),
        format!("{service}path_prefix = \"/x\"\nendpoints = []\n"),
        format!(
            "{service}path_prefix = \"/x\"\nendpoints = [{{ zone = \"z\", address = \"here:1\" }}]\n"
        ),
    ];
    let rendered: Vec<String> = cases
        .iter()
        .map(|text| {
            let err = WorkspaceConfig::from_toml(text).expect_err(text);
            format!("{:?} {err}", err.kind())
        })
        .collect();
    insta::assert_snapshot!(rendered.join("\n"));
}

#[test]
fn a_plan_says_box_by_box_what_would_change_and_what_it_costs() {
    let fleet = fleet(&[("a", 4), ("b", 4)]);
    let empty = WorkspaceRecord::empty(WorkspaceId::new("photo"));
    let first = confirm(&empty, config(2, 2, "1"), &fleet);
    let assigned: BoxesByReplica =
        first.slots.iter().map(|slot| (slot.replica.clone(), slot.planned.clone())).collect();
    let changes = [
        ("more replicas", config(3, 2, "1")),
        ("fewer replicas", config(1, 2, "1")),
        ("a new version", config(2, 2, "2")),
        ("another span", config(2, 4, "1")),
        ("no groups", WorkspaceConfig::empty(WorkspaceId::new("photo"))),
        ("nothing", config(2, 2, "1")),
        ("too many", config(9, 2, "1")),
        ("too wide", config(1, 5, "1")),
    ];
    let mut text = String::new();
    for (name, config) in changes {
        text.push_str(&format!("{name}\n"));
        match make_plan(PlanId::new("p"), &first, config, &fleet, &assigned) {
            Ok(plan) => {
                plan.changes.iter().for_each(|change| text.push_str(&format!("  {change}\n")));
                for cost in &plan.costs {
                    let (before, least, after) = (cost.before, cost.least, cost.after);
                    text.push_str(&format!("  {before} -> {least} -> {after}\n"));
                }
            }
            Err(err) => text.push_str(&format!("  refused: {err}\n")),
        }
    }
    insta::assert_snapshot!(text);
}

#[test]
fn replicas_spread_over_zones_and_leave_few_unusable_boxes() {
    struct Case {
        name: &'static str,
        domains: &'static [(&'static str, u32)],
        span: u32,
        replicas: u32,
        /// The number of replicas in each domain.
        expected: &'static [usize],
    }
    let cases = [
        Case {
            name: "spread over zones",
            domains: &[("a", 8), ("b", 8)],
            span: 4,
            replicas: 2,
            expected: &[1, 1],
        },
        Case {
            name: "in the domain that is left without a remainder",
            domains: &[("a", 5), ("a", 4)],
            span: 4,
            replicas: 1,
            expected: &[0, 1],
        },
        Case {
            name: "in the fuller of two domains left without a remainder",
            domains: &[("a", 8), ("a", 4)],
            span: 4,
            replicas: 1,
            expected: &[0, 1],
        },
        Case {
            name: "another zone matters more than a remainder",
            domains: &[("a", 8), ("b", 5)],
            span: 4,
            replicas: 2,
            expected: &[1, 1],
        },
    ];
    for case in cases {
        let fleet = fleet(case.domains);
        let config = config(case.replicas, case.span, "1");
        let mut placer = Placer::new(&fleet, &BTreeSet::new());
        let mut counts = vec![0; case.domains.len()];
        for _ in 0..case.replicas {
            let place = placer.place(&config.models[0]).expect("room");
            let number: usize = place.domain.as_str()[1..].parse().expect("a number");
            counts[number] += 1;
        }
        assert_eq!(counts, case.expected, "{}", case.name);
    }
}

fn group(span: u32) -> ModelGroup {
    config(1, span, "1").models.remove(0)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn placement_uses_each_box_once_within_one_domain(
        domains in prop::collection::vec((0_u8..3, 0_u32..20), 1..6),
        spans in prop::collection::vec(1_u32..9, 1..20),
    ) {
        let zones = ["a", "b", "c"];
        let domains: Vec<(&str, u32)> =
            domains.iter().map(|(zone, count)| (zones[*zone as usize], *count)).collect();
        let fleet = fleet(&domains);
        let mut placer = Placer::new(&fleet, &BTreeSet::new());
        let mut used = BTreeSet::new();
        let mut left: BTreeMap<DomainId, u32> = BTreeMap::new();
        for info in fleet.iter() {
            *left.entry(info.domain.clone()).or_default() += 1;
        }
        for span in spans {
            match placer.place(&group(span)) {
                Ok(place) => {
                    prop_assert_eq!(place.boxes.len() as u32, span);
                    for id in &place.boxes {
                        prop_assert!(used.insert(id.clone()), "{} twice", id);
                        prop_assert_eq!(&fleet.get(id).expect("listed").domain, &place.domain);
                    }
                    *left.get_mut(&place.domain).expect("a domain") -= span;
                }
                Err(_) => prop_assert!(left.values().all(|left| *left < span)),
            }
        }
    }
}
