//! Entries among those of the boxes that another writer left.
#![allow(clippy::disallowed_methods, reason = "the machine of a test is not suspended")]

mod support;

use std::time::Duration;

use serde_json::{Value, json};
use support::caller_requests::{describe_failures, is_served, send_request, send_to_all};
use support::site::{MODEL_PATH, SERVICE_PATH, Site};
use support::wait_until;

/// The key of the odd entries.
const ODD: &str = "odd";

/// How long each entry stands before the next one.
const STANDS: Duration = Duration::from_millis(80);

/// An address at which nobody listens.
const NOWHERE: &str = "127.0.0.1:9";

/// Returns an entry that is as a box's own but for one field.
fn entry(field: &str, value: Value) -> Value {
    let mut entry = json!({
        "service": "models", "address": NOWHERE, "zone": "z1", "version": "v1", "slots": 8,
        "state": "ready", "cold_left_ms": 0.0, "seq_no": 3, "domain": "z1-d0", "staged": ["m"],
        "models": [{"name": "m"}],
        "group": {"name": "g", "epoch": 1, "rank": 0, "state": "ready"},
    });
    match field.split_once('.') {
        Some((outer, inner)) => entry[outer][inner] = value,
        None => entry[field] = value,
    }
    entry
}

/// Returns entries that can't be read, or hold numbers at their bounds.
fn odd_entries() -> Vec<Vec<u8>> {
    let numbers = [
        json!(u64::MAX),
        json!(u64::MAX - 1),
        json!(i64::MAX),
        json!(u32::MAX),
        json!(-1),
        json!(1e300),
        json!(null),
    ];
    let fields = ["slots", "seq_no", "cold_left_ms", "born", "group.epoch", "group.rank"];
    let bounds =
        fields.iter().flat_map(|field| numbers.iter().map(|value| entry(field, value.clone())));
    let addresses = ["127.0.0.1:65536", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1", "", "[::1]:80"];
    let addresses = addresses.iter().map(|address| entry("address", json!(address)));
    let states = ["joining", "ready", "open", "closing", "broken", "odd"];
    let states = states.iter().map(|state| entry("group.state", json!(state)));
    let nested = ["[", "{\"a\":", "{\"group\":["].map(|part| part.repeat(100_000).into_bytes());
    let huge = format!("{{\"service\": \"models\", \"slots\": {}}}", "9".repeat(10_000));
    let texts = [huge.into_bytes(), b"1e999999999".to_vec(), b"\xff\xfe".to_vec(), Vec::new()];
    let values = bounds.chain(addresses).chain(states).map(|value| value.to_string().into_bytes());
    values.chain(nested).chain(texts).collect()
}

/// Guards against daemons that end, or form no more replicas, by one odd entry.
#[test]
fn an_odd_entry_ends_no_daemon_and_keeps_no_replica_from_being_formed() {
    support::run(async {
        let mut site = Site::serving(2).await;
        let writing = async {
            for value in odd_entries() {
                site.stand_in.write_entry(ODD, &value);
                tokio::time::sleep(STANDS).await;
            }
        };
        let total = STANDS * odd_entries().len() as u32;
        let sending = send_to_all(&site.nodes, SERVICE_PATH, Duration::from_millis(100), total);
        let (sent, ()) = tokio::join!(sending, writing);
        assert_eq!(describe_failures(&sent), None);
        // What is worst for new replicas stays.
        for epoch in [u64::MAX, u64::MAX - 1, 1 << 63] {
            let value = entry("group.epoch", json!(epoch)).to_string();
            site.stand_in.write_entry(ODD, value.as_bytes());
            tokio::time::sleep(STANDS).await;
            let added = [format!("x-{epoch}"), format!("y-{epoch}")];
            for id in &added {
                site.stand_in.add_box(id, "models").await.expect("a box");
            }
            wait_until("a new replica serves", async || {
                let leaders = site.stand_in.leaders();
                added.iter().any(|id| leaders.values().flatten().any(|member| member == id))
            })
            .await;
        }
        for node in &site.nodes {
            let asked = send_request(node, MODEL_PATH, format!("n{}-last", node.number)).await;
            assert!(is_served(&asked), "{}", asked.answer.status);
        }
        assert!(site.nodes.iter_mut().all(|node| !node.process.has_ended()));
    });
}

/// Returns values that none of the daemons' own keys has, whatever it holds.
fn odd_values(held: &str) -> Vec<String> {
    let nested = ["[", "{\"a\":", "{\"replicas\":["].map(|part| part.repeat(100_000));
    let numbers = ["18446744073709551615", "18446744073709551616", "-1", "1e999"];
    let digits = |c: char| c.is_ascii_digit();
    let altered = numbers.map(|number| {
        let parts: Vec<&str> = held.split(digits).filter(|part| !part.is_empty()).collect();
        parts.join(number)
    });
    let cut = held.char_indices().nth(held.chars().count() / 2).map_or(0, |(at, _)| at);
    let texts = ["", "null", "[]", "{}", "0"].map(str::to_owned);
    let cut = held[..cut].to_owned();
    nested.into_iter().chain(altered).chain(texts).chain([cut]).collect()
}

/// Guards against daemons that end, or serve no more, by an odd value under a key of their own or of the
/// operators.
#[test]
fn an_odd_value_under_a_key_of_the_daemons_or_the_operators_ends_no_daemon() {
    support::run(async {
        let mut site = Site::serving(2).await;
        let mut keys = site.stand_in.store.keys("cherrystand/");
        keys.push("op/config".to_owned());
        let values: Vec<(&String, String)> = keys
            .iter()
            .flat_map(|key| {
                let held = site.stand_in.store.read(key).unwrap_or_default();
                odd_values(&held).into_iter().map(move |value| (key, value))
            })
            .collect();
        let total = STANDS * values.len() as u32;
        let writing = async {
            for (key, value) in &values {
                site.stand_in.store.write_value(key, value.as_bytes());
                tokio::time::sleep(STANDS).await;
            }
        };
        let sending = send_to_all(&site.nodes, SERVICE_PATH, Duration::from_millis(100), total);
        let (sent, ()) = tokio::join!(sending, writing);
        assert_eq!(describe_failures(&sent), None, "{keys:?}");
        assert!(site.nodes.iter_mut().all(|node| !node.process.has_ended()), "{keys:?}");
    });
}
