//! Formation of replicas by orders to their members, under failures.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use cherrystand_core::{
    BoxId, DomainRecord, Epoch, Formation, FormationInput, MemberTask, Millis, OrderEnd, Policy,
    Revision, SeededRng, ServiceName, SiteBox,
};
use cherrystand_testkit::FakeSiteDomain;
use proptest::prelude::*;
use support::site_engine;

const STEP: Millis = Millis(100);

/// A domain and the nodes that decide for it, each from what it read last.
struct Simulation {
    domain: FakeSiteDomain,
    record: DomainRecord,
    revision: u64,
    nodes: Vec<Node>,
    rng: SeededRng,
    /// The percentage of orders that get no answer and are executed later.
    delayed_percent: usize,
    /// A box that is silent, and may be sound.
    in_doubt: Option<BoxId>,
    /// The home model of the domain.
    home: &'static str,
    /// The model that hosts also preload.
    second: Option<&'static str>,
}

struct Node {
    formation: Formation,
    /// The record as this node last read it.
    last_read: (u64, DomainRecord),
    /// The boxes that are listed, and no longer listed, as this node last read them.
    listed: Vec<SiteBox>,
    departed: Vec<SiteBox>,
    ended_replicas: BTreeMap<(String, Epoch), Epoch>,
    left_epochs: BTreeMap<(BoxId, Epoch), Epoch>,
}

impl Simulation {
    fn new(boxes: usize, nodes: usize, seed: u64) -> Self {
        let domain = FakeSiteDomain::new(boxes);
        let record = DomainRecord::empty(domain.domain().clone());
        let node = || Node {
            formation: Formation::default(),
            last_read: (0, record.clone()),
            listed: Vec::new(),
            departed: Vec::new(),
            ended_replicas: BTreeMap::new(),
            left_epochs: BTreeMap::new(),
        };
        let nodes = (0..nodes).map(|_| node()).collect();
        let rng = SeededRng::new(seed);
        Self {
            domain,
            record,
            revision: 0,
            nodes,
            rng,
            delayed_percent: 0,
            in_doubt: None,
            home: "large",
            second: None,
        }
    }

    /// Lets one node decide from what it knows. A node that does not read the record, or the list
    /// of boxes, keeps the old one.
    fn decide(&mut self, number: usize, reads: bool, lists: bool) {
        let silent = self.domain.silent();
        let (silent, dead) = match &self.in_doubt {
            None => (silent.clone(), silent),
            Some(id) => (silent.iter().chain([id]).cloned().collect(), silent),
        };
        let node = &mut self.nodes[number];
        if reads {
            node.last_read = (self.revision, self.record.clone());
        }
        if lists {
            node.listed = self.domain.listed();
            node.departed = self.domain.departed();
        }
        let boxes: Vec<&SiteBox> = node.listed.iter().collect();
        let departed: Vec<&SiteBox> = node.departed.iter().collect();
        let engine = site_engine();
        // Occasionally a box is being probed.
        let probed = self.rng.below(6) == 0;
        let probed = boxes.get(self.rng.below(boxes.len().max(1))).filter(|_| probed);
        let probed: BTreeSet<BoxId> = probed.iter().map(|site_box| site_box.id.clone()).collect();
        let step = node.formation.step(FormationInput {
            now: self.domain.now(),
            domain: self.domain.domain(),
            service: &ServiceName::new("captions"),
            record: &node.last_read.1,
            engine: &engine,
            boxes: &boxes,
            departed: &departed,
            silent: &silent,
            dead: &dead,
            probed: &probed,
            ended_replicas: &node.ended_replicas,
            left_epochs: &node.left_epochs,
            loads_allowed: u32::MAX,
            home: Some(self.home),
            second: self.second,
            policy: Policy::default(),
        });
        for order in &step.orders {
            let is_late = self.rng.below(100) < self.delayed_percent;
            let delay = is_late.then(|| Millis(2_000 + self.rng.below(10_000) as u64));
            let fence = order.fence(Revision::new(node.last_read.0));
            let end = self.domain.order(order, fence, delay);
            node.formation.record_order_end(
                order,
                end,
                silent.contains(&order.target),
                self.domain.now(),
            );
            let is_leader = boxes.iter().any(|site_box| {
                let member = site_box.member.as_ref();
                site_box.id == order.target && member.is_some_and(|member| member.rank == 0)
            });
            if order.task != MemberTask::Leave || !matches!(end, OrderEnd::Taken | OrderEnd::Unfit)
            {
                continue;
            }
            if is_leader {
                node.ended_replicas
                    .insert((order.replica.clone(), order.epoch), order.record_epoch);
            }
            node.left_epochs.insert((order.target.clone(), order.epoch), order.record_epoch);
        }
        if let Some(next) = step.new_record
            && node.last_read.0 == self.revision
        {
            next.check().expect("a sound record");
            self.revision += 1;
            self.record = next;
        }
    }

    fn run(&mut self, span: Millis) {
        let until = self.domain.now() + span;
        while self.domain.now() < until {
            self.decide(0, true, true);
            self.domain.advance_time(STEP);
        }
    }
}

fn leader_of(site: &Simulation, replica: usize) -> BoxId {
    let assignment = site.record.replicas.values().nth(replica).expect("a replica");
    assignment.boxes[0].clone()
}

fn number_of(site: &Simulation, id: &BoxId) -> usize {
    let listed = site.domain.listed();
    listed.iter().position(|site_box| &site_box.id == id).expect("listed")
}

#[test]
fn a_domain_forms_replicas_and_repairs_losses_from_spares() {
    struct Case {
        name: &'static str,
        boxes: usize,
        /// The ranks of the members of the first replica that are killed.
        killed: &'static [usize],
        serving_before: usize,
        serving_after: usize,
    }
    let cases = [
        Case { name: "nothing lost", boxes: 9, killed: &[], serving_before: 2, serving_after: 2 },
        Case { name: "a member", boxes: 9, killed: &[2], serving_before: 2, serving_after: 2 },
        Case { name: "the leader", boxes: 9, killed: &[0], serving_before: 2, serving_after: 2 },
        Case {
            name: "two, one spare",
            boxes: 9,
            killed: &[0, 1],
            serving_before: 2,
            serving_after: 1,
        },
        Case { name: "no spare", boxes: 8, killed: &[3], serving_before: 2, serving_after: 1 },
        Case { name: "too few boxes", boxes: 3, killed: &[], serving_before: 0, serving_after: 0 },
    ];
    for case in cases {
        let mut site = Simulation::new(case.boxes, 1, 1);
        site.run(Millis(40_000));
        assert_eq!(site.domain.serving_count(), case.serving_before, "{}", case.name);
        let members =
            site.record.replicas.values().next().map(|assignment| assignment.boxes.clone());
        let numbers: Vec<usize> = case
            .killed
            .iter()
            .map(|rank| number_of(&site, &members.as_ref().expect("a replica")[*rank]))
            .collect();
        for number in numbers {
            site.domain.kill(number);
        }
        site.run(Millis(4_000));
        assert_eq!(site.domain.serving_count(), case.serving_after, "{}", case.name);
        assert_eq!(site.domain.violations, Vec::<String>::new(), "{}", case.name);
    }
}

#[test]
fn a_loss_is_repaired_by_a_spare_that_holds_the_model_in_memory() {
    let mut site = Simulation::new(9, 1, 1);
    site.run(Millis(40_000));
    assert_eq!(site.domain.serving_count(), 2);
    let number = number_of(&site, &leader_of(&site, 0));
    site.domain.kill(number);
    // A few steps, 0.2 s to join and 0.3 s to open; a spare that loads from its host takes 1.6 s.
    site.run(Millis(1_000));
    assert_eq!(site.domain.serving_count(), 2);
    assert_eq!(site.domain.violations, Vec::<String>::new());
}

#[test]
fn members_of_a_partitioned_leader_leave_before_they_join_another() {
    let mut site = Simulation::new(8, 1, 1);
    site.run(Millis(40_000));
    let (first, second) = (leader_of(&site, 0), leader_of(&site, 1));
    // The leader keeps serving, unseen; the loss of the other replica makes its members useful
    // there.
    let number = number_of(&site, &first);
    site.domain.set_disconnected(number, true);
    site.run(Millis(1_000));
    let number = number_of(&site, &second);
    site.domain.kill(number);
    site.run(Millis(30_000));
    assert_eq!(site.domain.violations, Vec::<String>::new());
    assert_eq!(site.domain.serving_count(), 1);
    site.domain.reconnect_all();
    site.run(Millis(30_000));
    assert_eq!(site.domain.violations, Vec::<String>::new());
}

#[test]
fn a_replica_keeps_serving_while_a_member_is_cut_off_from_the_store_only() {
    struct Case {
        name: &'static str,
        /// The rank of the member whose entry expires.
        rank: usize,
        /// Whether it is also found silent.
        silent: bool,
        serves_on: bool,
    }
    let cases = [
        Case { name: "a member that answers", rank: 2, silent: false, serves_on: true },
        Case { name: "a member that is silent", rank: 2, silent: true, serves_on: false },
        // A leader that is no longer listed gets no requests.
        Case { name: "the leader", rank: 0, silent: false, serves_on: false },
    ];
    for case in cases {
        let mut site = Simulation::new(8, 1, 1);
        site.run(Millis(40_000));
        let before = site.record.replicas.values().next().expect("a replica").clone();
        let number = number_of(&site, &before.boxes[case.rank]);
        if case.silent {
            site.domain.kill(number);
        } else {
            site.domain.disconnect_from_store(number);
        }
        site.run(Millis(10_000));
        let kept = site.record.replicas.values().any(|assignment| assignment == &before);
        assert_eq!(kept, case.serves_on, "{}", case.name);
        assert_eq!(
            site.domain.serving_count(),
            if case.serves_on { 2 } else { 1 },
            "{}",
            case.name
        );
        site.domain.reconnect_all();
        site.run(Millis(20_000));
        assert_eq!(site.domain.violations, Vec::<String>::new(), "{}", case.name);
    }
}

/// Guards against replicas that were given up, and whose leaders were ordered to leave, as one of
/// their boxes was silent for a moment.
#[test]
fn a_silent_box_ends_no_replica_that_serves_and_is_used_for_none() {
    struct Case {
        name: &'static str,
        /// The rank in a replica of the box that is silent; a spare without one.
        rank: Option<usize>,
        /// Whether a member of the other replica dies meanwhile.
        loses_another: bool,
    }
    let cases = [
        Case { name: "the leader", rank: Some(0), loses_another: false },
        Case { name: "a member", rank: Some(2), loses_another: false },
        Case { name: "a spare", rank: None, loses_another: false },
        Case { name: "a member, beside a loss", rank: Some(1), loses_another: true },
        Case { name: "the spare that would replace another", rank: None, loses_another: true },
    ];
    for case in cases {
        let mut site = Simulation::new(9, 1, 1);
        site.run(Millis(40_000));
        let before = site.record.clone();
        let replicas: Vec<_> = before.replicas.values().cloned().collect();
        let spare = site.domain.listed().into_iter().find(|one| before.is_free(&one.id));
        let spare = spare.expect("a spare").id;
        site.in_doubt = Some(match case.rank {
            Some(rank) => replicas[0].boxes[rank].clone(),
            None => spare.clone(),
        });
        if case.loses_another {
            let number = number_of(&site, &replicas[1].boxes[1]);
            site.domain.kill(number);
        }
        site.run(Millis(1_500));
        let kept = site.record.replicas.values().any(|one| one == &replicas[0]);
        assert!(kept, "{}: {:?}", case.name, site.record.replicas);
        let uses_spare = site.record.replicas.values().any(|one| one.boxes.contains(&spare));
        assert!(!uses_spare || case.rank.is_some(), "{}", case.name);
        assert_eq!(case.loses_another, site.record != before, "{}", case.name);
        assert_eq!(site.domain.violations, Vec::<String>::new(), "{}", case.name);
    }
}

#[test]
fn a_serving_replica_missing_from_the_record_is_adopted() {
    let mut site = Simulation::new(9, 1, 1);
    site.run(Millis(40_000));
    let before = site.record.clone();
    site.record.replicas.clear();
    site.revision += 1;
    site.run(STEP);
    assert_eq!(site.record.replicas, before.replicas);
}

#[test]
fn epochs_exceed_those_that_boxes_report_after_the_record_is_lost() {
    let mut site = Simulation::new(9, 1, 1);
    site.run(Millis(40_000));
    let highest = site.record.last_epoch;
    site.record = DomainRecord::empty(site.domain.domain().clone());
    site.revision += 1;
    let number = number_of(&site, &leader_of_listed(&site));
    site.domain.kill(number);
    site.run(Millis(30_000));
    assert!(site.record.last_epoch > highest, "{:?}", site.record.last_epoch);
    assert_eq!(site.domain.violations, Vec::<String>::new());
}

fn leader_of_listed(site: &Simulation) -> BoxId {
    let listed = site.domain.listed();
    let leader =
        listed.iter().find(|site_box| site_box.member.as_ref().is_some_and(|m| m.rank == 0));
    leader.expect("a leader").id.clone()
}

#[test]
fn a_domain_is_reassigned_without_a_load_if_its_hosts_hold_the_other_model() {
    struct Case {
        name: &'static str,
        second: Option<&'static str>,
        /// How long the reassignment may take, and what serves afterwards.
        within: Millis,
        serving: &'static str,
        count: usize,
    }
    let cases = [
        // To drain and leave, 1.6 s to join from the host and 0.3 s to open.
        Case {
            name: "on the hosts",
            second: Some("small"),
            within: Millis(4_000),
            serving: "small",
            count: 3,
        },
        // Boxes that don't serve load the model first.
        Case {
            name: "not on the hosts",
            second: None,
            within: Millis(40_000),
            serving: "small",
            count: 3,
        },
    ];
    for case in cases {
        let mut site = Simulation::new(9, 1, 1);
        site.second = case.second;
        site.run(Millis(60_000));
        assert_eq!(site.domain.serving_count(), 2, "{}", case.name);
        site.home = "small";
        site.second = None;
        site.run(case.within);
        assert_eq!(site.domain.serving_count(), case.count, "{}", case.name);
        let names: BTreeSet<&str> =
            site.record.replicas.keys().map(|id| id.group.name.as_str()).collect();
        assert_eq!(names, BTreeSet::from([case.serving]), "{}", case.name);
        assert_eq!(site.domain.violations, Vec::<String>::new(), "{}", case.name);
    }
}

#[test]
fn a_loss_is_repaired_as_fast_if_the_hosts_hold_another_model() {
    let mut site = Simulation::new(9, 1, 1);
    site.second = Some("small");
    site.run(Millis(60_000));
    assert_eq!(site.domain.serving_count(), 2);
    site.second = None;
    let number = number_of(&site, &leader_of(&site, 0));
    site.domain.kill(number);
    // The spare has the home model in memory.
    site.run(Millis(1_000));
    assert_eq!(site.domain.serving_count(), 2);
    assert_eq!(site.domain.violations, Vec::<String>::new());
}

/// Plays events, and checks that no box is in two replicas and that the domain serves once the
/// failures end.
fn check_events(mut site: Simulation, events: &[(usize, usize, u64)]) -> Result<(), TestCaseError> {
    for (kind, number, steps) in events.iter().copied() {
        match kind {
            0 if site.domain.alive_count() > 5 => site.domain.kill(number),
            1 => site.domain.set_disconnected(number, true),
            2 => site.domain.reconnect_all(),
            3 => site.domain.add_box(),
            5 => site.domain.disconnect_from_store(number),
            HOME_CHANGES => site.home = if site.home == "large" { "small" } else { "large" },
            _ => {}
        }
        // A node may read the new record and still use an old list of boxes for seconds.
        let old_list = (kind == 4).then_some(number % 2);
        for _ in 0..steps {
            let number = site.rng.below(2);
            let reads = site.rng.below(4) > 0;
            let lists = site.rng.below(4) > 0 && old_list != Some(number);
            site.decide(number, reads, lists);
            site.domain.advance_time(STEP);
        }
    }
    prop_assert_eq!(&site.domain.violations, &Vec::<String>::new());
    // Once the failures end, the domain serves as far as it has boxes.
    site.delayed_percent = 0;
    site.domain.reconnect_all();
    site.run(Millis(60_000));
    prop_assert_eq!(&site.domain.violations, &Vec::<String>::new());
    prop_assert!(
        site.domain.serving_count() >= 1,
        "nothing serves on {} boxes",
        site.domain.alive_count()
    );
    Ok(())
}

/// The event that changes the home model of the domain.
const HOME_CHANGES: usize = 7;

proptest! {
    #![proptest_config(ProptestConfig { cases: 192, ..ProptestConfig::default() })]

    #[test]
    fn no_box_leaves_a_serving_replica_to_join_another_and_none_opens_before_it_is_ready(
        seed in any::<u64>(),
        delayed_percent in 0_usize..50,
        events in prop::collection::vec((0_usize..7, any::<usize>(), 1_u64..60), 1..40),
    ) {
        let mut site = Simulation::new(9, 2, seed);
        site.delayed_percent = delayed_percent;
        check_events(site, &events)?;
    }

    #[test]
    fn no_box_is_in_two_replicas_while_domains_are_reassigned(
        seed in any::<u64>(),
        delayed_percent in 0_usize..50,
        events in prop::collection::vec((0_usize..8, any::<usize>(), 1_u64..60), 1..40),
    ) {
        let mut site = Simulation::new(9, 2, seed);
        site.delayed_percent = delayed_percent;
        site.second = Some("small");
        check_events(site, &events)?;
    }
}

/// Guards against a replica that counts as complete though it makes no progress. A box restarted
/// under its name within one heartbeat, got a join that was meant for its former incarnation, and
/// reported the same replica and epoch as before. Only after 4 s did the replica itself report that
/// it had come apart.
#[test]
fn a_member_that_restarts_at_any_point_leaves_no_replica_inconsistent() {
    /// A replica is formed and opened, and its spares are warmed, within this time.
    const FORMED: u64 = 21_000;
    // A node reads a state that is one step old, and then ends the replica.
    let bound = Millis(3 * STEP.0);
    for repeats_last_join in [false, true] {
        for point in (0..FORMED).step_by(300) {
            for number in 0..9 {
                let mut site = Simulation::new(9, 1, 1);
                site.domain.report_starts();
                site.run(Millis(point));
                site.domain.restart(number, repeats_last_join);
                site.run(Millis(1_000));
                let context = format!("box {number} at {point}, joined again {repeats_last_join}");
                assert!(
                    site.domain.longest_incomplete <= bound,
                    "{context}: {:?}",
                    site.domain.longest_incomplete
                );
                site.run(Millis(45_000));
                assert_eq!(site.domain.serving_count(), 2, "{context}");
                assert_eq!(site.domain.violations, Vec::<String>::new(), "{context}");
                let assigned =
                    site.record.replicas.values().flat_map(|assignment| &assignment.boxes);
                let names: Vec<&str> = assigned.map(BoxId::name).collect();
                let distinct: BTreeSet<&&str> = names.iter().collect();
                assert_eq!(
                    distinct.len(),
                    names.len(),
                    "{context}: two incarnations of one box in the record"
                );
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    /// Boxes restart, die and are cut off while two nodes decide from old and new data and orders
    /// are delayed: no box leaves a serving replica to join another, and once the failures end the
    /// domain serves.
    #[test]
    fn restarted_boxes_violate_no_invariant_and_the_domain_serves_again(
        seed in any::<u64>(),
        reports_starts in any::<bool>(),
        delayed_percent in 0_usize..30,
        events in prop::collection::vec((0_u8..6, 0_usize..9, 1_u64..40), 1..14),
    ) {
        let mut site = Simulation::new(9, 2, seed);
        if reports_starts {
            site.domain.report_starts();
        }
        site.run(Millis(22_000));
        site.delayed_percent = delayed_percent;
        for (what, number, steps) in events {
            match what {
                0 | 1 => site.domain.restart(number, false),
                2 => site.domain.restart(number, true),
                3 => site.domain.set_disconnected(number, true),
                4 => site.domain.disconnect_from_store(number),
                _ => site.domain.reconnect_all(),
            }
            for _ in 0..steps {
                for node in 0..2 {
                    let (reads, lists) = (site.rng.below(3) > 0, site.rng.below(3) > 0);
                    site.decide(node, reads, lists);
                }
                site.domain.advance_time(STEP);
            }
        }
        site.delayed_percent = 0;
        site.domain.reconnect_all();
        site.run(Millis(60_000));
        prop_assert_eq!(&site.domain.violations, &Vec::<String>::new());
        prop_assert_eq!(site.domain.serving_count(), 2);
    }
}
