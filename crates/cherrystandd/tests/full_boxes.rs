//! Boxes at their limit of connections, which reset new ones and serve the open ones.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

mod support;

use std::time::Duration;

use cherrystand_testkit::{BoxMode, LinkCut, whole_stream};
use support::site::{MODEL_PATH, Node, Site, call};

/// How long the boxes are full.
const FULL: Duration = Duration::from_secs(5);

/// When the streams stand still for a moment, which has their boxes probed, and for how long.
const PAUSE_AFTER: Duration = Duration::from_millis(200);
const PAUSE: Duration = Duration::from_millis(700);

/// All boxes of the models.
const BOXES: [&str; 5] = ["i-1", "i-2", "i-3", "i-4", "i-5"];

/// How many streams each daemon serves.
const STREAMS: usize = 6;

/// How many new connections a second both daemons may open to one box that resets each of them: some
/// probes, orders and checks of the path.
const MAX_OPENED_PER_S: u64 = 20;

/// Sends streaming requests at the same time, and returns those that were not answered whole.
async fn broken_streams(node: &Node) -> Vec<String> {
    let all = (0..STREAMS).map(|number| async move {
        let id = format!("n{}s{number}", node.number);
        let answer = call(node, "POST", MODEL_PATH, &id, "k1").await;
        (answer.text() != whole_stream(&id)).then(|| format!("{id} is broken"))
    });
    futures_util::future::join_all(all).await.into_iter().flatten().collect()
}

/// Has all boxes reset new connections after `reset_after`, and describes what that broke.
async fn broken_by_full_boxes(reset_after: Duration) -> Vec<String> {
    let site = Site::serving_behind_links(2).await;
    let replicas = site.stand_in.leaders();
    let opened = || site.endpoint_links.iter().map(|links| links.opened()).sum::<u64>();
    let set_all = |mode| BOXES.into_iter().for_each(|id| site.stand_in.set_mode(id, mode));
    let trouble = async {
        tokio::time::sleep(PAUSE_AFTER).await;
        for links in &site.endpoint_links {
            links.cut(LinkCut::ResetNew(reset_after)).await.expect("a cut");
        }
        let before = opened();
        set_all(BoxMode::Pauses);
        tokio::time::sleep(PAUSE).await;
        set_all(BoxMode::Well);
        tokio::time::sleep(FULL - PAUSE).await;
        opened() - before
    };
    let streams = site.nodes.iter().map(broken_streams);
    let streams = futures_util::future::join_all(streams);
    let (broken, opened) = tokio::join!(streams, trouble);
    let mut broken = broken.concat();
    if site.stand_in.leaders() != replicas {
        broken.push("a replica was given up".to_owned());
    }
    if opened > MAX_OPENED_PER_S * FULL.as_secs() * BOXES.len() as u64 {
        broken.push(format!("{opened} connections were opened to full boxes"));
    }
    broken.extend(site.stand_in.violations());
    broken
}

/// Guards against a replica that is ended with its answers, and flooded with connections, because it
/// resets new ones and so answers no probe.
#[test]
fn a_full_replica_that_pauses_for_a_moment_is_not_taken_for_dead() {
    struct Case {
        name: &'static str,
        reset_after: Duration,
    }
    let cases = [
        Case { name: "reset at once", reset_after: Duration::ZERO },
        Case { name: "reset after a moment", reset_after: Duration::from_millis(30) },
    ];
    support::run(async {
        let all = cases.into_iter().map(|case| async move {
            let broken = broken_by_full_boxes(case.reset_after).await;
            broken.into_iter().map(move |text| format!("{}: {text}", case.name))
        });
        let broken = futures_util::future::join_all(all).await;
        let broken: Vec<String> = broken.into_iter().flatten().collect();
        assert!(broken.is_empty(), "{broken:#?}");
    });
}
