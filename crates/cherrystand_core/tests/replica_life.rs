//! The life of replicas: forming, breaking, mending, draining and rolling out.

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
    whole: &'static [u32],
    broken: &'static [u32],
}

#[test]
fn replicas_come_to_what_their_boxes_allow() {
    let cases = [
        Case {
            name: "nothing happens",
            boxes: 5,
            replicas: 2,
            span: 2,
            act: |_| {},
            run: Millis(10_000),
            whole: &[0, 1],
            broken: &[],
        },
        Case {
            name: "a lost member is swapped for the spare",
            boxes: 5,
            replicas: 2,
            span: 2,
            act: |domain| domain.kill(&box_id(0), None),
            run: Millis(120_000),
            whole: &[0, 1],
            broken: &[],
        },
        Case {
            name: "without a spare the replica waits broken",
            boxes: 4,
            replicas: 2,
            span: 2,
            act: |domain| domain.kill(&box_id(1), None),
            run: Millis(60_000),
            whole: &[1],
            broken: &[0],
        },
        Case {
            name: "a member that restarts is taken back",
            boxes: 4,
            replicas: 2,
            span: 2,
            act: |domain| domain.kill(&box_id(1), Some(Millis(20_000))),
            run: Millis(60_000),
            whole: &[0, 1],
            broken: &[],
        },
        Case {
            name: "two broken replicas make one whole",
            boxes: 4,
            replicas: 2,
            span: 2,
            act: |domain| {
                domain.kill(&box_id(0), None);
                domain.kill(&box_id(3), None);
            },
            run: Millis(400_000),
            whole: &[0],
            broken: &[],
        },
        Case {
            name: "a member that will leave is replaced",
            boxes: 5,
            replicas: 2,
            span: 2,
            act: |domain| domain.leaving.push(box_id(0)),
            run: Millis(60_000),
            whole: &[0, 1],
            broken: &[],
        },
        Case {
            name: "a box whose load does not end is swapped for a spare",
            boxes: 5,
            replicas: 2,
            span: 2,
            act: |domain| {
                domain.desired = vec![desired(0, 2, "2"), desired(1, 2, "1")];
                if let Some(fake) = domain.boxes.get_mut(&box_id(1)) {
                    fake.stuck = true;
                }
            },
            run: Millis(120_000),
            whole: &[0, 1],
            broken: &[],
        },
        Case {
            name: "when most boxes are silent nothing is formed anew",
            boxes: 10,
            replicas: 2,
            span: 2,
            act: |domain| (0..8).for_each(|number| domain.kill(&box_id(number), None)),
            run: Millis(60_000),
            whole: &[],
            broken: &[0, 1],
        },
    ];
    for case in cases {
        let setup = DomainSetup { boxes: case.boxes, ..DomainSetup::default() };
        let mut domain = formed(setup, quick_policy(), case.replicas, case.span);
        (case.act)(&mut domain);
        domain.run_for(case.run);
        for slot in case.whole {
            assert!(domain.is_whole(&replica(*slot)), "{}: {slot}", case.name);
        }
        for slot in case.broken {
            let held = &domain.record.replicas[&replica(*slot)];
            assert_eq!(held.phase, Phase::Broken, "{}: {slot}", case.name);
        }
    }
}

#[test]
fn a_break_is_not_taken_for_mended_before_every_member_answers_again() {
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
    let held = &domain.record.replicas[&replica(0)];
    assert_eq!((held.phase, held.load.version.as_str()), (Phase::Draining, "1"));
    set_in_flight(&mut domain, 0);
    domain.run_for(Millis(30_000));
    assert!(domain.is_whole(&replica(0)));
    assert_eq!(domain.record.replicas[&replica(0)].load.version, "2");
}

#[test]
fn orders_of_an_old_epoch_do_nothing_to_engines_that_check() {
    struct Case {
        checks_orders: bool,
        still_acts_on: Epoch,
    }
    let cases = [
        Case { checks_orders: true, still_acts_on: Epoch(2) },
        Case { checks_orders: false, still_acts_on: Epoch(1) },
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
        fake.obey(&order(2), Millis(1), Millis(1));
        fake.obey(&order(1), Millis(1), Millis(1));
        assert_eq!(fake.epoch, case.still_acts_on);
    }
}

#[test]
fn every_decision_says_why() {
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
fn baselines_do_what_their_names_say() {
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
        let held = &domain.record.replicas[&replica(0)];
        let done = if held.boxes.iter().all(|id| !before.contains(id)) {
            Repair::Reform
        } else if held.boxes == before {
            Repair::Wait
        } else {
            Repair::Swap
        };
        assert_eq!(done, case.expected, "{:?}", case.rule);
    }
}

#[test]
fn a_box_given_up_is_used_again_only_once_it_answers_that_it_is_idle() {
    let setup = DomainSetup { boxes: 2, checks_orders: false, ..DomainSetup::default() };
    let mut domain = formed(setup, quick_policy(), 1, 2);
    let set_deaf = |domain: &mut FakeDomain, deaf| {
        if let Some(fake) = domain.boxes.get_mut(&box_id(1)) {
            fake.deaf = deaf;
        }
    };
    set_deaf(&mut domain, true);
    domain.desired = vec![desired(1, 2, "1")];
    domain.run_for(Millis(60_000));
    assert!(!domain.record.replicas.contains_key(&replica(1)), "{:?}", domain.record.replicas);
    set_deaf(&mut domain, false);
    domain.run_for(Millis(60_000));
    assert!(domain.is_whole(&replica(1)));
}

#[test]
fn a_replica_of_another_span_is_drained_and_formed_anew() {
    let setup = DomainSetup { boxes: 4, ..DomainSetup::default() };
    let mut domain = formed(setup, quick_policy(), 1, 2);
    domain.desired = vec![desired(0, 3, "1")];
    domain.run_for(Millis(60_000));
    assert!(domain.is_whole(&replica(0)), "{:?}", domain.record);
    assert_eq!(domain.record.replicas[&replica(0)].boxes.len(), 3);
}

#[test]
fn a_record_that_breaks_a_rule_is_told_and_never_written_over() {
    let setup = DomainSetup { boxes: 4, ..DomainSetup::default() };
    let mut domain = formed(setup, quick_policy(), 2, 2);
    let twice = domain.record.replicas[&replica(0)].boxes.clone();
    if let Some(held) = domain.record.replicas.get_mut(&replica(1)) {
        held.boxes = twice.clone();
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
