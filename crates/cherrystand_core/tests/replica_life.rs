//! The replica lifecycle: forming, breaking, repair, draining and rollout.

mod support;

use cherrystand_core::{BoxId, Epoch, Evidence, Millis, Phase, Repair, RepairRule, Task};
use cherrystand_testkit::{DomainSetup, FakeDomain};
use support::{box_id, desired, formed, quick_policy, replica};

struct Case {
    name: &'static str,
    boxes: u32,
    replicas: u32,
    span: u32,
    act: fn(&mut FakeDomain),
    run: Millis,
    serving: &'static [u32],
    broken: &'static [u32],
}

#[test]
fn replicas_serve_as_far_as_their_boxes_allow() {
    let cases = [
        Case {
            name: "nothing happens",
            boxes: 5,
            replicas: 2,
            span: 2,
            act: |_| {},
            run: Millis(10_000),
            serving: &[0, 1],
            broken: &[],
        },
        Case {
            name: "a lost member is swapped for the spare",
            boxes: 5,
            replicas: 2,
            span: 2,
            act: |domain| domain.kill(&box_id(0), None),
            run: Millis(120_000),
            serving: &[0, 1],
            broken: &[],
        },
        Case {
            name: "without a spare the replica waits broken",
            boxes: 4,
            replicas: 2,
            span: 2,
            act: |domain| domain.kill(&box_id(1), None),
            run: Millis(60_000),
            serving: &[1],
            broken: &[0],
        },
        Case {
            name: "a member that restarts joins again",
            boxes: 4,
            replicas: 2,
            span: 2,
            act: |domain| domain.kill(&box_id(1), Some(Millis(20_000))),
            run: Millis(60_000),
            serving: &[0, 1],
            broken: &[],
        },
        Case {
            name: "one of two broken replicas is repaired with the boxes of the other",
            boxes: 4,
            replicas: 2,
            span: 2,
            act: |domain| {
                domain.kill(&box_id(0), None);
                domain.kill(&box_id(3), None);
            },
            run: Millis(400_000),
            serving: &[0],
            broken: &[],
        },
        Case {
            name: "a member that will leave is replaced",
            boxes: 5,
            replicas: 2,
            span: 2,
            act: |domain| domain.leaving.push(box_id(0)),
            run: Millis(60_000),
            serving: &[0, 1],
            broken: &[],
        },
        Case {
            name: "a box whose load stalls is swapped for a spare",
            boxes: 5,
            replicas: 2,
            span: 2,
            act: |domain| {
                domain.desired = vec![desired(0, 2, "2"), desired(1, 2, "1")];
                if let Some(fake) = domain.boxes.get_mut(&box_id(1)) {
                    fake.hangs_loading = true;
                }
            },
            run: Millis(120_000),
            serving: &[0, 1],
            broken: &[],
        },
        Case {
            name: "no replica is formed while most boxes are silent",
            boxes: 10,
            replicas: 2,
            span: 2,
            act: |domain| (0..8).for_each(|number| domain.kill(&box_id(number), None)),
            run: Millis(60_000),
            serving: &[],
            broken: &[0, 1],
        },
    ];
    for case in cases {
        let setup = DomainSetup { boxes: case.boxes, ..DomainSetup::default() };
        let mut domain = formed(setup, quick_policy(), case.replicas, case.span);
        (case.act)(&mut domain);
        domain.run_for(case.run);
        for slot in case.serving {
            assert!(domain.is_serving(&replica(*slot)), "{}: {slot}", case.name);
        }
        for slot in case.broken {
            let assignment = &domain.record.replicas[&replica(*slot)];
            assert_eq!(assignment.phase, Phase::Broken, "{}: {slot}", case.name);
        }
    }
}

#[test]
fn a_replica_stays_broken_until_every_member_reports_again() {
    let setup = DomainSetup { boxes: 5, ..DomainSetup::default() };
    let mut domain = formed(setup, quick_policy(), 2, 2);
    let before = domain.record.last_epoch;
    domain.kill(&box_id(1), None);
    domain.run_for(Millis(120_000));
    let epochs = domain.record.last_epoch.0 - before.0;
    let past = domain.record.explanations.iter();
    let past: Vec<String> = past.map(|past| format!("{} {}", past.epoch, past.evidence)).collect();
    assert_eq!(epochs, 1, "{past:#?}");
}

#[test]
fn a_planned_change_waits_for_requests_in_flight() {
    let setup = DomainSetup { boxes: 2, ..DomainSetup::default() };
    let mut domain = formed(setup, quick_policy(), 1, 2);
    let leader = domain.record.replicas[&replica(0)].boxes[0].clone();
    let set_in_flight = |domain: &mut FakeDomain, count| {
        if let Some(fake) = domain.boxes.get_mut(&leader) {
            fake.in_flight = count;
        }
    };
    set_in_flight(&mut domain, 1);
    domain.desired = vec![desired(0, 2, "2")];
    domain.run_for(Millis(60_000));
    let assignment = &domain.record.replicas[&replica(0)];
    assert_eq!((assignment.phase, assignment.load.version.as_str()), (Phase::Draining, "1"));
    set_in_flight(&mut domain, 0);
    domain.run_for(Millis(30_000));
    assert!(domain.is_serving(&replica(0)));
    assert_eq!(domain.record.replicas[&replica(0)].load.version, "2");
}

#[test]
fn engines_that_check_orders_ignore_outdated_epochs() {
    struct Case {
        checks_orders: bool,
        epoch: Epoch,
    }
    let cases = [
        Case { checks_orders: true, epoch: Epoch(2) },
        Case { checks_orders: false, epoch: Epoch(1) },
    ];
    for case in cases {
        let mut fake = cherrystand_testkit::FakeBox::new(case.checks_orders);
        let order = |epoch| cherrystand_core::Order {
            target: BoxId::new("b"),
            epoch: Epoch(epoch),
            task: Task::Join {
                replica: replica(0),
                rank: 0,
                members: Vec::new(),
                load: support::load("1"),
            },
        };
        fake.execute_order(&order(2), Millis(1), Millis(1));
        fake.execute_order(&order(1), Millis(1), Millis(1));
        assert_eq!(fake.epoch, case.epoch);
    }
}

#[test]
fn every_decision_is_explained() {
    let setup = DomainSetup { boxes: 3, ..DomainSetup::default() };
    let mut domain = formed(setup, quick_policy(), 1, 2);
    domain.kill(&box_id(1), None);
    domain.run_for(Millis(120_000));
    let reasons: Vec<&Evidence> =
        domain.record.explanations.iter().map(|past| &past.evidence).collect();
    let swapped = reasons.iter().any(|why| {
        matches!(why, Evidence::Swapped { lost, spares }
            if lost == &[box_id(1)] && spares == &[box_id(2)])
    });
    assert!(swapped, "{reasons:#?}");
    let priced = domain.record.explanations.iter().any(|past| past.prices.is_some());
    assert!(priced);
}

#[test]
fn baseline_rules_choose_their_repair() {
    struct Case {
        rule: RepairRule,
        boxes: u32,
        expected: Repair,
    }
    let cases = [
        Case { rule: RepairRule::WaitForBox, boxes: 8, expected: Repair::Wait },
        Case { rule: RepairRule::ReformAtOnce, boxes: 8, expected: Repair::Reform },
        Case { rule: RepairRule::ReformAtOnce, boxes: 5, expected: Repair::Wait },
    ];
    for case in cases {
        let setup = DomainSetup { boxes: case.boxes, ..DomainSetup::default() };
        let policy = cherrystand_core::RepairPolicy { rule: case.rule, ..quick_policy() };
        let mut domain = formed(setup, policy, 2, 2);
        let before = domain.record.replicas[&replica(0)].boxes.clone();
        domain.kill(&before[1], None);
        domain.run_for(Millis(30_000));
        let assignment = &domain.record.replicas[&replica(0)];
        let done = if assignment.boxes.iter().all(|id| !before.contains(id)) {
            Repair::Reform
        } else if assignment.boxes == before {
            Repair::Wait
        } else {
            Repair::Swap
        };
        assert_eq!(done, case.expected, "{:?}", case.rule);
    }
}

#[test]
fn a_released_box_is_reused_only_once_it_reports_idle() {
    let setup = DomainSetup { boxes: 2, checks_orders: false, ..DomainSetup::default() };
    let mut domain = formed(setup, quick_policy(), 1, 2);
    let set_deaf = |domain: &mut FakeDomain, deaf| {
        if let Some(fake) = domain.boxes.get_mut(&box_id(1)) {
            fake.ignores_orders = deaf;
        }
    };
    set_deaf(&mut domain, true);
    domain.desired = vec![desired(1, 2, "1")];
    domain.run_for(Millis(60_000));
    assert!(!domain.record.replicas.contains_key(&replica(1)), "{:?}", domain.record.replicas);
    set_deaf(&mut domain, false);
    domain.run_for(Millis(60_000));
    assert!(domain.is_serving(&replica(1)));
}

#[test]
fn a_replica_of_another_span_is_drained_and_formed_anew() {
    let setup = DomainSetup { boxes: 4, ..DomainSetup::default() };
    let mut domain = formed(setup, quick_policy(), 1, 2);
    domain.desired = vec![desired(0, 3, "1")];
    domain.run_for(Millis(60_000));
    assert!(domain.is_serving(&replica(0)), "{:?}", domain.record);
    assert_eq!(domain.record.replicas[&replica(0)].boxes.len(), 3);
}

#[test]
fn an_invalid_record_is_reported_and_not_overwritten() {
    let setup = DomainSetup { boxes: 4, ..DomainSetup::default() };
    let mut domain = formed(setup, quick_policy(), 2, 2);
    let twice = domain.record.replicas[&replica(0)].boxes.clone();
    if let Some(assignment) = domain.record.replicas.get_mut(&replica(1)) {
        assignment.boxes = twice.clone();
    }
    let fleet = cherrystand_core::Fleet::default();
    let step =
        cherrystand_core::Controller::new(quick_policy()).step(cherrystand_core::ControllerInput {
            record: &domain.record,
            desired: &domain.desired,
            fleet: &fleet,
            observations: &Default::default(),
            now: domain.now,
            unix_secs: 0,
        });
    assert_eq!(step.write, None);
    assert_eq!(step.fault, Some(cherrystand_core::RecordFault::DuplicateBox(twice[0].clone())));
}
