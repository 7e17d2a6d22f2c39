//! How often a controller repeats orders to boxes that it cannot reach.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use cherrystand_core::{
    DomainRecord, Formation, FormationInput, FormationStep, Millis, OrderEnd, Policy, ServiceName,
    SiteBox,
};
use cherrystand_testkit::FakeSiteDomain;
use support::site_engine;

/// The time between two steps of a controller that is woken all the time.
const STEP: Millis = Millis(4);

/// How long no box can be reached.
const UNREACHED: Millis = Millis(10_000);

/// The longest pause between two orders to one box.
const LONGEST_PAUSE: Millis = Millis(1_200);

/// Decides once.
fn decide(domain: &FakeSiteDomain, record: &DomainRecord, it: &mut Formation) -> FormationStep {
    let listed = domain.listed();
    let boxes: Vec<&SiteBox> = listed.iter().collect();
    it.step(FormationInput {
        now: domain.now(),
        domain: domain.domain(),
        service: &ServiceName::new("captions"),
        record,
        engine: &site_engine(),
        boxes: &boxes,
        departed: &[],
        silent: &BTreeSet::new(),
        dead: &BTreeSet::new(),
        probed: &BTreeSet::new(),
        ended_replicas: &BTreeMap::new(),
        left_epochs: &BTreeMap::new(),
        loads_allowed: u32::MAX,
        home: Some("large"),
        second: None,
        policy: Policy::default(),
    })
}

#[test]
fn orders_to_boxes_that_cannot_be_reached_pause() {
    for end in [OrderEnd::Refused, OrderEnd::Dark, OrderEnd::Cut] {
        let mut domain = FakeSiteDomain::new(9);
        let record = DomainRecord::empty(domain.domain().clone());
        let mut formation = Formation::default();
        let record = decide(&domain, &record, &mut formation).new_record.expect("replicas");
        let mut orders = decide(&domain, &record, &mut formation).orders;
        let first: BTreeSet<_> = orders.iter().map(|order| order.target.clone()).collect();
        assert!(!first.is_empty(), "boxes are ordered to join");
        let mut counts = BTreeMap::new();
        while domain.now() < UNREACHED {
            for order in &orders {
                *counts.entry(order.target.clone()).or_insert(0_u64) += 1;
                formation.record_order_end(order, end, false, domain.now());
            }
            domain.advance_time(STEP);
            orders = decide(&domain, &record, &mut formation).orders;
        }
        let allowed = UNREACHED.0 / LONGEST_PAUSE.0 + 6;
        assert!(counts.values().all(|count| *count <= allowed), "{end:?}: {counts:?}");
        let mut reached = BTreeSet::new();
        let until = domain.now() + LONGEST_PAUSE;
        while domain.now() <= until {
            reached.extend(orders.into_iter().map(|order| order.target));
            domain.advance_time(STEP);
            orders = decide(&domain, &record, &mut formation).orders;
        }
        assert!(reached.is_superset(&first), "{end:?}: {reached:?}");
    }
}
