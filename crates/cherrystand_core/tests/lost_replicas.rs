//! Whether a replica is lost, so that its leader can send no more answers.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use cherrystand_core::{
    BoxId, CallerLimits, Epoch, Member, MemberState, RouteTable, Service, ServiceName, SiteBox,
    SiteConfig, SiteView,
};

const EPOCH: Epoch = Epoch(4);

fn known(id: &str, service: &str, member: Option<(u32, MemberState)>) -> SiteBox {
    SiteBox {
        loaded: vec!["m".to_owned()],
        member: member.map(|(rank, state)| Member {
            replica: "r".to_owned(),
            epoch: EPOCH,
            rank,
            state,
        }),
        ..support::site_box(id, service)
    }
}

/// Creates a view of one replica of three boxes, of which `c` is no longer listed, and a plain
/// endpoint.
fn view(leader: Option<(u32, MemberState)>, silent: &[&str], dead: &[&str]) -> SiteView {
    let engine = support::site_engine();
    let services = vec![
        Service {
            name: ServiceName::new("models"),
            engine: Some(engine),
            connections: None,
            cold: None,
        },
        Service { name: ServiceName::new("app"), engine: None, connections: None, cold: None },
    ];
    let config = SiteConfig {
        version: 1,
        routes: Vec::new(),
        services,
        limits: CallerLimits { header_bytes: 8_192, body_bytes: 8_192 },
        tenants: None,
    };
    let boxes = [
        known("a", "models", leader),
        known("b", "models", Some((1, MemberState::Ready))),
        known("other", "models", Some((1, MemberState::Ready))),
        known("plain", "app", None),
    ];
    let mut boxes: BTreeMap<BoxId, Arc<SiteBox>> =
        boxes.into_iter().map(|known| (known.id.clone(), Arc::new(known))).collect();
    if let Some(other) = boxes.get_mut(&BoxId::new("other"))
        && let Some(member) = &mut Arc::make_mut(other).member
    {
        member.epoch = Epoch(3);
    }
    let ids = |ids: &[&str]| ids.iter().map(|id| BoxId::new(*id)).collect::<Vec<_>>();
    SiteView {
        routes: Some(Arc::new(RouteTable::new(config))),
        boxes: Arc::new(boxes),
        silent: ids(silent).into_iter().chain(ids(dead)).collect(),
        dead: ids(dead).into_iter().collect(),
        assigned: Arc::new([(("r".to_owned(), EPOCH), ids(&["a", "b", "c"]))].into()),
        suspects: Arc::default(),
        evacuated: Arc::default(),
        cold: Arc::default(),
        boxes_listed: true,
        live_nodes: 2,
    }
}

#[test]
fn a_replica_is_lost_only_by_evidence() {
    struct Case {
        name: &'static str,
        asked: &'static str,
        leader: Option<(u32, MemberState)>,
        silent: &'static [&'static str],
        dead: &'static [&'static str],
        is_lost: bool,
    }
    let open = Some((0, MemberState::Open));
    let case = Case {
        name: "every member is there",
        asked: "a",
        leader: open,
        silent: &[],
        dead: &[],
        is_lost: false,
    };
    let cases = [
        Case { name: "its entry is gone, as of a box that leaves", asked: "gone", ..case },
        Case {
            name: "its entry is gone, and it is silent",
            asked: "gone",
            silent: &["gone"],
            ..case
        },
        Case {
            name: "its entry is gone, and it is dead",
            asked: "gone",
            dead: &["gone"],
            is_lost: true,
            ..case
        },
        Case { name: "the leader is silent", silent: &["a"], ..case },
        Case { name: "a member is silent", silent: &["b"], ..case },
        Case { name: "the leader is dead", dead: &["a"], is_lost: true, ..case },
        Case { name: "a member is dead", dead: &["b"], is_lost: true, ..case },
        Case {
            name: "a member that is no longer listed is dead",
            dead: &["c"],
            is_lost: true,
            ..case
        },
        Case { name: "a member that is no longer listed is silent", silent: &["c"], ..case },
        Case { name: "a box of an earlier epoch is dead", dead: &["other"], ..case },
        Case { name: "a plain endpoint", asked: "plain", ..case },
        Case { name: "a silent plain endpoint", asked: "plain", silent: &["plain"], ..case },
        Case {
            name: "a dead plain endpoint",
            asked: "plain",
            dead: &["plain"],
            is_lost: true,
            ..case
        },
        Case { name: "it is draining", leader: Some((0, MemberState::Closing)), ..case },
        Case {
            name: "it joins again",
            leader: Some((0, MemberState::Joining)),
            is_lost: true,
            ..case
        },
        Case {
            name: "it came apart",
            leader: Some((0, MemberState::Broken)),
            is_lost: true,
            ..case
        },
        Case {
            name: "it is no longer the leader",
            leader: Some((1, MemberState::Ready)),
            is_lost: true,
            ..case
        },
        Case { name: "it left", leader: None, is_lost: true, ..case },
        case,
    ];
    for case in cases {
        let view = view(case.leader, case.silent, case.dead);
        let is_lost = view.is_lost(&BoxId::new(case.asked));
        assert_eq!(is_lost, case.is_lost, "{}", case.name);
        // Peers are told of replicas that serve according to their entries but have dead members, and of
        // dead boxes without an entry.
        let is_reported = case.is_lost && case.asked == "a" && case.leader == open;
        let unlisted = case.dead.iter().filter(|id| !view.boxes.contains_key(&BoxId::new(**id)));
        let reported = is_reported.then_some(&"a").into_iter().chain(unlisted);
        let reported: Vec<BoxId> = reported.map(|id| BoxId::new(*id)).collect();
        assert_eq!(view.lost_leaders(), reported, "{}", case.name);
    }
}
