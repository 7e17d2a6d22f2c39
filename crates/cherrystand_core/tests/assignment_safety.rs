//! Invariants of assignments under random failures.

mod support;

use std::collections::BTreeMap;

use cherrystand_core::{
    Assignment, BoxId, DomainId, DomainRecord, Epoch, Millis, Phase, RecordFault, RepairPolicy,
    ReplicaId,
};
use cherrystand_testkit::{DomainSetup, FakeDomain, epochs_in_use};
use proptest::prelude::*;
use support::{box_id, desired, load, quick_policy, replica};

const BOXES: u32 = 9;
const CONTROLLERS: usize = 3;

/// An event between two steps of a domain.
#[derive(Clone, Debug)]
enum Event {
    Kill { number: u32, back_after: Option<u64> },
    Leave { number: u32 },
    Pause { controller: usize },
    Resume { controller: usize },
    CutOff { controller: usize, cut: bool },
    ServiceDown(bool),
    LoseAnswers(u32),
    DelayWrites(u32),
    SetDesired { replicas: u32, version: u8 },
    Busy { number: u32, in_flight: u32 },
    Steps(u32),
}

fn event() -> impl Strategy<Value = Event> {
    let number = 0..BOXES;
    let controller = 0..CONTROLLERS;
    prop_oneof![
        3 => (number.clone(), prop::option::of(500_u64..60_000))
            .prop_map(|(number, back_after)| Event::Kill { number, back_after }),
        1 => number.clone().prop_map(|number| Event::Leave { number }),
        3 => controller.clone().prop_map(|controller| Event::Pause { controller }),
        3 => controller.clone().prop_map(|controller| Event::Resume { controller }),
        1 => (controller, any::<bool>())
            .prop_map(|(controller, cut)| Event::CutOff { controller, cut }),
        1 => any::<bool>().prop_map(Event::ServiceDown),
        1 => (0_u32..3).prop_map(Event::LoseAnswers),
        1 => (0_u32..3).prop_map(Event::DelayWrites),
        2 => (0_u32..4, 1_u8..4)
            .prop_map(|(replicas, version)| Event::SetDesired { replicas, version }),
        1 => (number, 0_u32..3).prop_map(|(number, in_flight)| Event::Busy { number, in_flight }),
        8 => (1_u32..40).prop_map(Event::Steps),
    ]
}

fn apply(domain: &mut FakeDomain, event: &Event) {
    match event {
        Event::Kill { number, back_after } => {
            domain.kill(&box_id(*number), back_after.map(Millis));
        }
        Event::Leave { number } => domain.leaving.push(box_id(*number)),
        Event::Pause { controller } => domain.pause_before_effects(*controller),
        Event::Resume { controller } => domain.resume(*controller),
        Event::CutOff { controller, cut } => domain.controllers[*controller].is_partitioned = *cut,
        Event::ServiceDown(down) => domain.service_down = *down,
        Event::LoseAnswers(count) => domain.lose_answers = *count,
        Event::DelayWrites(count) => domain.delay_writes = *count,
        Event::SetDesired { replicas, version } => {
            let version = version.to_string();
            domain.desired = (0..*replicas).map(|slot| desired(slot, 2, &version)).collect();
        }
        Event::Busy { number, in_flight } => {
            if let Some(fake) = domain.boxes.get_mut(&box_id(*number)) {
                fake.in_flight = *in_flight;
            }
        }
        Event::Steps(_) => {}
    }
}

/// The history that invariants are checked against.
#[derive(Default)]
struct History {
    last_epoch: Epoch,
    owners: BTreeMap<Epoch, ReplicaId>,
    epochs: BTreeMap<ReplicaId, Epoch>,
}

impl History {
    fn check(&mut self, domain: &FakeDomain) -> Result<(), TestCaseError> {
        let record = &domain.record;
        prop_assert_eq!(record.check(), Ok(()));
        prop_assert!(record.last_epoch >= self.last_epoch, "epochs decreased");
        self.last_epoch = record.last_epoch;
        for (epoch, replica) in epochs_in_use(domain) {
            let owner = self.owners.entry(epoch).or_insert_with(|| replica.clone());
            prop_assert_eq!(&*owner, &replica, "two replicas act on one epoch");
        }
        for (replica, assignment) in &record.replicas {
            let known = self.epochs.entry(replica.clone()).or_insert(assignment.epoch);
            prop_assert!(*known <= assignment.epoch, "the epoch of {} decreased", replica);
            *known = assignment.epoch;
        }
        self.check_members(domain)
    }

    /// Checks that every member of a serving replica acts for that replica.
    fn check_members(&self, domain: &FakeDomain) -> Result<(), TestCaseError> {
        for (replica, assignment) in &domain.record.replicas {
            if !domain.is_serving(replica) {
                continue;
            }
            for id in &assignment.boxes {
                let fake = &domain.boxes[id];
                prop_assert!(fake.is_running);
                prop_assert_eq!(fake.replica.as_ref(), Some(replica));
            }
        }
        Ok(())
    }
}

fn run(
    events: &[Event],
    policies: &[RepairPolicy],
    checks_orders: bool,
) -> Result<FakeDomain, TestCaseError> {
    let setup = DomainSetup { boxes: BOXES, checks_orders, ..DomainSetup::default() };
    let mut domain = FakeDomain::new(setup, policies);
    domain.desired = (0..3).map(|slot| desired(slot, 2, "1")).collect();
    let mut history = History::default();
    for event in events {
        apply(&mut domain, event);
        history.check(&domain)?;
        let steps = if let Event::Steps(steps) = event { *steps } else { 1 };
        for _ in 0..steps {
            domain.step();
            history.check(&domain)?;
        }
    }
    Ok(domain)
}

fn end_failures(domain: &mut FakeDomain) {
    domain.service_down = false;
    domain.lose_answers = 0;
    domain.delay_writes = 0;
    domain.leaving.clear();
    for index in 0..CONTROLLERS {
        domain.controllers[index].is_partitioned = false;
        domain.resume(index);
    }
    for number in 0..BOXES {
        if let Some(fake) = domain.boxes.get_mut(&box_id(number)) {
            fake.in_flight = 0;
            if !fake.is_running {
                fake.restarts_at = Some(domain.now);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 192, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_box_belongs_to_two_replicas_under_random_failures(
        events in prop::collection::vec(event(), 1..40),
        checks_orders in any::<bool>(),
    ) {
        run(&events, &[quick_policy(); CONTROLLERS], checks_orders)?;
    }

    #[test]
    fn all_desired_replicas_serve_once_failures_end(
        events in prop::collection::vec(event(), 1..40),
    ) {
        let mut domain = run(&events, &[quick_policy(); CONTROLLERS], true)?;
        end_failures(&mut domain);
        domain.run_for(Millis(400_000));
        for desired in &domain.desired.clone() {
            prop_assert!(
                domain.is_serving(&desired.replica),
                "{} of {:?}", desired.replica, domain.record.replicas
            );
        }
        let formed = domain.record.replicas.len();
        prop_assert_eq!(formed, domain.desired.len(), "an undesired replica remains");
    }
}

#[test]
fn a_paused_controller_cannot_undo_decisions_of_others() {
    let setup = DomainSetup { boxes: BOXES, ..DomainSetup::default() };
    let mut domain = FakeDomain::new(setup, &[quick_policy(); 2]);
    domain.desired = vec![desired(0, 2, "1")];
    domain.run_for(Millis(30_000));
    domain.kill(&box_id(1), None);
    domain.run_for(Millis(2_000));
    domain.pause_before_effects(0);
    domain.run_for(Millis(200_000));
    let before = domain.record.clone();
    assert!(domain.is_serving(&replica(0)));
    domain.resume(0);
    assert_eq!(domain.record, before);
    domain.run_for(Millis(10_000));
    assert!(domain.is_serving(&replica(0)));
}

#[test]
fn a_record_that_violates_a_rule_is_detected() {
    struct Case {
        name: &'static str,
        /// The boxes and epoch of each replica.
        replicas: &'static [(&'static [u32], u64)],
        releasing: &'static [u32],
        fault: Option<fn(BoxId) -> RecordFault>,
    }
    let cases = [
        Case {
            name: "valid",
            replicas: &[(&[1, 2], 1), (&[3, 4], 2)],
            releasing: &[5],
            fault: None,
        },
        Case {
            name: "a box in two replicas",
            replicas: &[(&[1, 2], 1), (&[2, 3], 2)],
            releasing: &[],
            fault: Some(RecordFault::DuplicateBox),
        },
        Case {
            name: "a box that is being released",
            replicas: &[(&[1, 2], 1)],
            releasing: &[2],
            fault: Some(RecordFault::BoxReleasing),
        },
        Case {
            name: "an epoch issued twice",
            replicas: &[(&[1], 1), (&[2], 1)],
            releasing: &[],
            fault: Some(|_| RecordFault::InvalidEpoch(Epoch(1))),
        },
        Case {
            name: "an epoch never issued",
            replicas: &[(&[1], 9)],
            releasing: &[],
            fault: Some(|_| RecordFault::InvalidEpoch(Epoch(9))),
        },
    ];
    for case in cases {
        let mut record = DomainRecord::empty(DomainId::new("d"));
        record.last_epoch = Epoch(5);
        for (slot, (boxes, epoch)) in case.replicas.iter().enumerate() {
            let boxes = boxes.iter().map(|number| box_id(*number)).collect();
            let assignment =
                Assignment { epoch: Epoch(*epoch), boxes, load: load("1"), phase: Phase::Ready };
            record.replicas.insert(replica(slot as u32), assignment);
        }
        let releasing = case.releasing.iter().map(|number| (box_id(*number), Epoch(1)));
        record.releasing.extend(releasing);
        let fault = case.fault.map(|fault| fault(box_id(2)));
        assert_eq!(record.check().err(), fault, "{}", case.name);
    }
}
